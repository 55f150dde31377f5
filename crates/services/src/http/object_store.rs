//! The object store over HTTP.

use async_trait::async_trait;
use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode};

use super::{platform::HttpPlatform, wire::percent_encode};
use crate::{
    calls::{read_error, unexpected_status, write_error},
    errors::Result,
    object_store::{ObjectName, ObjectStore},
    table::WriteOutcome,
};

const SERVICE: &str = "object store";

#[async_trait]
impl ObjectStore for HttpPlatform {
    async fn get(&self, name: &ObjectName) -> Result<Option<Bytes>> {
        let answer = self.calls.send(Method::GET, &object_path(name)).await;
        let answer = answer.map_err(|error| read_error(SERVICE, error))?;
        match answer.status {
            StatusCode::OK => Ok(Some(answer.body)),
            StatusCode::NOT_FOUND => Ok(None),
            _ => Err(unexpected_status(SERVICE, &answer)),
        }
    }

    async fn put(&self, name: &ObjectName, data: Bytes) -> WriteOutcome {
        let path = object_path(name);
        let answer = self
            .calls
            .send_with(Method::PUT, &path, HeaderMap::new(), data)
            .await;
        match answer {
            Ok(answer) if answer.status.is_success() => WriteOutcome::Done(Vec::new()),
            Ok(answer) => WriteOutcome::Unknown(unexpected_status(SERVICE, &answer).to_string()),
            Err(error) => write_error(error),
        }
    }
}

fn object_path(name: &ObjectName) -> String {
    format!("/v1/objects/{}", percent_encode(&name.0))
}
