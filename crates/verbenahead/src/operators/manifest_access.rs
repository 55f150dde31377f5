//! Publication and reading of manifests on the platform.

use bytes::Bytes;
use verbenahead_core::{Generation, time::WallClock};
use verbenahead_state::{
    Head, ManifestStore, PublicationId, PublishOutcome, PublishRequest, ReadBackOutcome,
    UnknownPublication,
};

use super::{
    backend::{ManifestHead, Publication, PublicationOutcome, StoredManifest},
    errors::{Error, Result},
};

/// `ManifestAccess` publishes and reads manifests in a [`ManifestStore`] for the operator API.
#[derive(Debug, Clone)]
pub struct ManifestAccess {
    store: ManifestStore,
    clock: WallClock,
}

impl From<Head> for ManifestHead {
    fn from(head: Head) -> Self {
        Self {
            generation: head.generation,
            digest: head.digest,
            publisher: head.publisher,
            published_at: head.published_at,
        }
    }
}

impl ManifestAccess {
    /// Builds a `ManifestAccess` over a store. `clock` gives the times of publications.
    pub fn new(store: ManifestStore, clock: WallClock) -> Self {
        Self { store, clock }
    }

    /// Publishes a manifest. When the outcome is unknown, the store is read back once to determine it.
    pub async fn publish(&self, publication: Publication) -> PublicationOutcome {
        let req = PublishRequest {
            expect: publication.expect,
            publisher: publication.publisher,
            publication: PublicationId::random(&mut rand::rng()),
            now: self.clock.now(),
        };
        match self.store.publish(&req, publication.text).await {
            PublishOutcome::Accepted(head) => PublicationOutcome::Accepted(head.into()),
            PublishOutcome::Conflict(head) => PublicationOutcome::Conflict(head.map(Into::into)),
            PublishOutcome::NotAccepted(reason) => PublicationOutcome::NotAccepted(reason),
            PublishOutcome::Unknown(unknown) => self.read_back(req.expect, unknown).await,
        }
    }

    async fn read_back(
        &self,
        expect: Generation,
        unknown: UnknownPublication,
    ) -> PublicationOutcome {
        match self.store.read_back(&unknown).await {
            ReadBackOutcome::Accepted(head) => PublicationOutcome::Accepted(head.into()),
            ReadBackOutcome::NotAccepted(head) => not_accepted(expect, head, unknown.reason),
            ReadBackOutcome::Unknown(reason) => {
                PublicationOutcome::Unknown(format!("{}; read back: {reason}", unknown.reason))
            }
        }
    }

    /// Reads the head, or `None` before the first publication.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unavailable`] when the platform gives no usable answer.
    pub async fn head(&self) -> Result<Option<ManifestHead>> {
        let head = self.store.head().await.map_err(Error::unavailable)?;
        Ok(head.map(Into::into))
    }

    /// Reads an accepted manifest, or `None` when there is no such generation.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unavailable`] when the platform gives no usable answer.
    pub async fn manifest(&self, generation: Generation) -> Result<Option<StoredManifest>> {
        let head = self.store.generation(generation).await;
        let Some(head) = head.map_err(Error::unavailable)? else {
            return Ok(None);
        };
        let text: Bytes = self
            .store
            .body(head.digest)
            .await
            .map_err(Error::unavailable)?;
        Ok(Some(StoredManifest {
            head: head.into(),
            text,
        }))
    }

    /// Reads at most `limit` accepted manifests, newest first.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unavailable`] when the platform gives no usable answer.
    pub async fn history(&self, limit: usize) -> Result<Vec<ManifestHead>> {
        let heads = self
            .store
            .history(limit)
            .await
            .map_err(Error::unavailable)?;
        Ok(heads.into_iter().map(Into::into).collect())
    }
}

/// Classifies a publication that was not accepted: a conflict if the head differs from `expect`.
fn not_accepted(expect: Generation, head: Option<Head>, reason: String) -> PublicationOutcome {
    let generation = head
        .as_ref()
        .map(|head| head.generation)
        .unwrap_or_default();
    if generation == expect {
        return PublicationOutcome::NotAccepted(reason);
    }
    PublicationOutcome::Conflict(head.map(Into::into))
}
