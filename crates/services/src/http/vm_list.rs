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

/// `KnownList` is the list as it was read last, with its entity tag.
#[derive(Debug, Clone)]
pub(super) struct KnownList {
    tag: HeaderValue,
    records: Vec<VmRecord>,
}

#[async_trait]
impl VmList for HttpPlatform {
    /// Reads the list. It is only carried over the network again when it has changed.
    async fn vms(&self) -> Result<Vec<VmRecord>> {
        let known = self.known_list();
        let mut headers = HeaderMap::new();
        if let Some(known) = &known {
            headers.insert(header::IF_NONE_MATCH, known.tag.clone());
        }
        let answer = self
            .calls
            .send_with(Method::GET, "/v1/vms", headers, Bytes::new())
            .await
            .map_err(|error| read_error(SERVICE, error))?;
        match (answer.status, known) {
            (StatusCode::NOT_MODIFIED, Some(known)) => Ok(known.records),
            (StatusCode::OK, _) => {
                let records: Vec<VmRecord> = decode(SERVICE, &answer)?;
                self.remember_list(answer.headers.get(header::ETAG), &records);
                Ok(records)
            }
            _ => Err(unexpected_status(SERVICE, &answer)),
        }
    }
}

impl HttpPlatform {
    fn known_list(&self) -> Option<KnownList> {
        let known = self.known_list.lock();
        known.unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn remember_list(&self, tag: Option<&HeaderValue>, records: &[VmRecord]) {
        let known = tag.map(|tag| KnownList {
            tag: tag.clone(),
            records: records.to_vec(),
        });
        *self
            .known_list
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = known;
    }
}
