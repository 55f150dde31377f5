//! The HTTP adapter and what its services share.

use std::sync::Mutex;

use http::StatusCode;
use serde::de::DeserializeOwned;

use super::{
    calls::{Answer, CallError, Calls},
    options::HttpPlatformOptions,
    vm_list::KnownList,
};
use crate::{
    errors::{Error, Result},
    table::WriteOutcome,
};

/// `HttpPlatform` reaches the platform's services over HTTP. It makes connections when they are
/// needed. After a call that timed out, later calls use new connections.
#[derive(Debug)]
pub struct HttpPlatform {
    pub(super) calls: Calls,
    pub(super) known_list: Mutex<Option<KnownList>>,
}

impl HttpPlatform {
    /// Builds the adapter.
    ///
    /// # Errors
    ///
    /// [`Error::InvalidOption`] when the connect timeout is not shorter than the call timeout, no
    /// connection is allowed, or the secret does not fit into a header.
    pub fn try_new(options: HttpPlatformOptions) -> Result<Self> {
        let calls = Calls::try_new(options)?;
        Ok(Self {
            calls,
            known_list: Mutex::default(),
        })
    }
}

pub(super) fn read_error(service: &'static str, error: CallError) -> Error {
    Error::unavailable(service, error)
}

pub(super) fn unexpected_status(service: &'static str, answer: &Answer) -> Error {
    if answer.status.is_server_error() || answer.status == StatusCode::TOO_MANY_REQUESTS {
        return Error::unavailable(service, format!("status {}", answer.status));
    }
    Error::malformed(service, format!("status {}", answer.status))
}

pub(super) fn decode<T: DeserializeOwned>(service: &'static str, answer: &Answer) -> Result<T> {
    serde_json::from_slice(&answer.body).map_err(|error| Error::malformed(service, error))
}

pub(super) fn write_error(error: CallError) -> WriteOutcome {
    match error {
        CallError::NotSent(reason) => WriteOutcome::NotSent(reason),
        CallError::Unanswered(reason) => WriteOutcome::Unknown(reason),
    }
}
