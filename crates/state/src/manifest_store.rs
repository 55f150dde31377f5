//! Publication of manifests.
//!
//! The body is stored in the object store under its digest. One conditional transaction then
//! updates the head row and adds a row to the history. A manifest is accepted when this
//! transaction has taken effect.

pub mod body;
pub mod head;
pub mod publish;

use std::{fmt, sync::Arc};

use bytes::Bytes;
use verbenahead_core::{Digest, Generation};
use verbenahead_services::{ObjectStore, Row, Table};

use crate::{
    errors::{Error, Result},
    manifest_store::{
        head::{HISTORY_TABLE, decode, head_key, history_key},
        publish::decode_head_row,
    },
    retry::{RetryOptions, read_with_retries},
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
    /// Builds a store on top of the platform's services.
    pub fn new(table: Arc<dyn Table>, objects: Arc<dyn ObjectStore>, retry: RetryOptions) -> Self {
        Self {
            table,
            objects,
            retry,
        }
    }

    /// Reads the head. Returns `None` before the first publication.
    ///
    /// # Errors
    ///
    /// Fails when the table does not answer in time or the row is malformed.
    pub async fn head(&self) -> Result<Option<Head>> {
        let (_, head) = decode_head_row(self.head_row().await?)?;
        Ok(head)
    }

    /// Reads the body with this digest and verifies the digest.
    ///
    /// # Errors
    ///
    /// [`Error::Unavailable`] when the object store does not answer in time,
    /// [`Error::MissingBody`] when there is no such body, [`Error::WrongDigest`] when the stored
    /// body has another digest.
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

    /// Reads at most `limit` accepted generations, newest first.
    ///
    /// # Errors
    ///
    /// Fails when the table does not answer or a row is malformed.
    pub async fn history(&self, limit: usize) -> Result<Vec<Head>> {
        let rows = self.table.list(HISTORY_TABLE, "", None, limit).await?;
        rows.iter().map(|(_, row)| decode(&row.value)).collect()
    }

    /// Reads one accepted generation. Returns `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// Fails when the table does not answer in time or the row is malformed.
    pub async fn generation(&self, generation: Generation) -> Result<Option<Head>> {
        let key = history_key(generation);
        let row = read_with_retries(self.table.as_ref(), &key, self.retry).await?;
        row.map(|row| decode(&row.value)).transpose()
    }

    async fn head_row(&self) -> Result<Option<Row>> {
        read_with_retries(self.table.as_ref(), &head_key(), self.retry).await
    }
}
