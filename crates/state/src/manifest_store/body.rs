//! Bodies of manifests in the object store.
//!
//! A body is stored under its digest, so repeated writes are harmless and need no condition.

use bytes::Bytes;
use tokio::time::timeout_at;
use verbenahead_core::Digest;
use verbenahead_services::{ObjectName, ObjectStore, WriteOutcome};

use crate::{
    errors::{Error, Result},
    retry::{Backoff, RetryOptions},
};

const BODY_PREFIX: &str = "manifests/";

fn object_name(digest: Digest) -> ObjectName {
    ObjectName(format!("{BODY_PREFIX}{digest}"))
}

/// Reads the body with this digest. Retries failed reads until the deadline.
pub(crate) async fn get(
    objects: &dyn ObjectStore,
    digest: Digest,
    options: RetryOptions,
) -> Result<Option<Bytes>> {
    let name = object_name(digest);
    let mut backoff = Backoff::start(options);
    loop {
        let reason = match timeout_at(backoff.call_deadline(), objects.get(&name)).await {
            Ok(Ok(data)) => return Ok(data),
            Ok(Err(err)) => err.to_string(),
            Err(_) => "the call timed out".to_owned(),
        };
        if !backoff.pause().await {
            return Err(Error::unavailable(reason));
        }
    }
}

/// Writes a body. Retries until the write is known to have taken effect or the deadline passes.
pub(crate) async fn put(
    objects: &dyn ObjectStore,
    digest: Digest,
    data: Bytes,
    options: RetryOptions,
) -> Result<()> {
    let name = object_name(digest);
    let mut backoff = Backoff::start(options);
    loop {
        let call = objects.put(&name, data.clone());
        let reason = match timeout_at(backoff.call_deadline(), call).await {
            Ok(WriteOutcome::Done(_)) => return Ok(()),
            Ok(WriteOutcome::Unknown(reason) | WriteOutcome::NotSent(reason)) => reason,
            Ok(WriteOutcome::Refused(_)) => "the object store refused the body".to_owned(),
            Err(_) => "the call timed out".to_owned(),
        };
        if !backoff.pause().await {
            return Err(Error::unavailable(reason));
        }
    }
}
