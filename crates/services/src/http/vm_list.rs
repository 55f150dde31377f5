//! The list of VMs over HTTP.

use std::sync::PoisonError;

use async_trait::async_trait;
use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, StatusCode, header};

use super::platform::HttpPlatform;
use crate::{
    calls::{decode, read_error, unexpected_status},
    errors::Result,
    vm_list::{VmList, VmRecord},
};

const SERVICE: &str = "VM list";

/// `CachedList` is the list as of the last read, with its entity tag.
#[derive(Debug, Clone)]
pub(super) struct CachedList {
    tag: HeaderValue,
    records: Vec<VmRecord>,
}

#[async_trait]
impl VmList for HttpPlatform {
    /// Reads the list. The platform sends it only if it has changed since the last read.
    async fn vms(&self) -> Result<Vec<VmRecord>> {
        let cached = self.cached_list();
        let mut headers = HeaderMap::new();
        if let Some(cached) = &cached {
            headers.insert(header::IF_NONE_MATCH, cached.tag.clone());
        }
        let answer = self
            .calls
            .send_with(Method::GET, "/v1/vms", headers, Bytes::new())
            .await
            .map_err(|error| read_error(SERVICE, error))?;
        match (answer.status, cached) {
            (StatusCode::NOT_MODIFIED, Some(cached)) => Ok(cached.records),
            (StatusCode::OK, _) => {
                let records: Vec<VmRecord> = decode(SERVICE, &answer)?;
                self.cache_list(answer.headers.get(header::ETAG), &records);
                Ok(records)
            }
            _ => Err(unexpected_status(SERVICE, &answer)),
        }
    }
}

impl HttpPlatform {
    fn cached_list(&self) -> Option<CachedList> {
        let cached = self.cached_list.lock();
        cached.unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn cache_list(&self, tag: Option<&HeaderValue>, records: &[VmRecord]) {
        let cached = tag.map(|tag| CachedList {
            tag: tag.clone(),
            records: records.to_vec(),
        });
        *self
            .cached_list
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = cached;
    }
}
