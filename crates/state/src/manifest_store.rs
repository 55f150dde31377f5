//! Publication of manifests.
//!
//! The body goes to the object store under its digest. One conditional write then sets the head
//! row and adds a row to the history. A manifest is accepted when that write is known to have
//! taken effect.

pub mod body;
pub mod head;
pub mod publish;

use std::{fmt, sync::Arc};

use bytes::Bytes;
use verbenahead_core::{Digest, Generation};
use verbenahead_services::{ObjectStore, Row, Table};

use crate::{
    conditional::{RetryOptions, read_until_known},
    errors::{Error, Result},
    manifest_store::{
        head::{HISTORY_TABLE, decode, head_key, history_key},
        publish::with_head,
    },
};

pub use head::{Head, PublicationId};
pub use publish::{PublishOutcome, PublishRequest, ReadBackOutcome, UnknownPublication};

/// `ManifestStore` publishes and reads manifests. Clones share the platform's services.
#[derive(Clone)]
pub struct ManifestStore {
    table: Arc<dyn Table>,
    objects: Arc<dyn ObjectStore>,
    retry: RetryOptions,
}

impl fmt::Debug for ManifestStore {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ManifestStore")
            .field("retry", &self.retry)
            .finish_non_exhaustive()
    }
}

impl ManifestStore {
    /// Builds a store over the platform's services.
    pub fn new(table: Arc<dyn Table>, objects: Arc<dyn ObjectStore>, retry: RetryOptions) -> Self {
        Self {
            table,
            objects,
            retry,
        }
    }

    /// Reads the head, or `None` before the first publication.
    ///
    /// # Errors
    ///
    /// When the table gives no answer in time or the row is malformed.
    pub async fn head(&self) -> Result<Option<Head>> {
        let (_, head) = with_head(self.head_row().await?)?;
        Ok(head)
    }

    /// Reads the body with this digest, and checks the digest.
    ///
    /// # Errors
    ///
    /// When the object store gives no answer in time, has no such body, or has another one.
    pub async fn body(&self, digest: Digest) -> Result<Bytes> {
        let data = body::get(self.objects.as_ref(), digest, self.retry).await?;
        let data = data.ok_or(Error::MissingBody { digest })?;
        let actual = Digest::of(&data);
        if actual != digest {
            return Err(Error::WrongDigest {
                expected: digest,
                actual,
            });
        }
        Ok(data)
    }

    /// Reads at most `limit` accepted generations, the newest first.
    ///
    /// # Errors
    ///
    /// When the table gives no answer or a row is malformed.
    pub async fn history(&self, limit: usize) -> Result<Vec<Head>> {
        let rows = self.table.list(HISTORY_TABLE, "", None, limit).await?;
        rows.iter().map(|(_, row)| decode(&row.value)).collect()
    }

    /// Reads one accepted generation.
    ///
    /// # Errors
    ///
    /// When the table gives no answer in time or the row is malformed.
    pub async fn generation(&self, generation: Generation) -> Result<Option<Head>> {
        let key = history_key(generation);
        let row = read_until_known(self.table.as_ref(), &key, self.retry).await?;
        row.map(|row| decode(&row.value)).transpose()
    }

    async fn head_row(&self) -> Result<Option<Row>> {
        read_until_known(self.table.as_ref(), &head_key(), self.retry).await
    }
}
