//! The object store.

use async_trait::async_trait;
use bytes::Bytes;
use derive_more::Display;

use crate::{errors::Result, table::WriteOutcome};

/// `ObjectName` names an object, such as `manifests/sha256:…`.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Display)]
pub struct ObjectName(pub String);

/// `ObjectStore` is the platform's store for large values.
#[async_trait]
pub trait ObjectStore: Send + Sync + 'static {
    /// Reads an object. Returns `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// When the platform gives no usable answer.
    async fn get(&self, name: &ObjectName) -> Result<Option<Bytes>>;

    /// Writes a whole object, replacing one of the same name.
    async fn put(&self, name: &ObjectName, data: Bytes) -> WriteOutcome;
}
