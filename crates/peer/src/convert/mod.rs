//! Conversions between the generated messages and the types of this workspace.

mod failure;
mod feed;
mod journal;
mod member;
mod news;
mod origin;
mod placement;
mod quarantine;
mod quota;
mod report;
mod rollout;

use bytes::Bytes;
use verbenahead_core::RequestId;

use crate::errors::{Error, Result};

pub(crate) use journal::{decode_outcomes, encode_outcomes};

/// Converts all items. Returns the error of the first malformed one.
pub(crate) fn try_convert_all<T, U>(items: Vec<T>) -> Result<Vec<U>>
where
    U: TryFrom<T, Error = Error>,
{
    items.into_iter().map(U::try_from).collect()
}

/// Converts all items.
pub(crate) fn convert_all<T, U: From<T>>(items: Vec<T>) -> Vec<U> {
    items.into_iter().map(U::from).collect()
}

/// Returns the value of a required field.
///
/// # Errors
///
/// [`Error::Malformed`] when the field is missing.
pub(crate) fn required<T>(field: &'static str, value: Option<T>) -> Result<T> {
    value.ok_or_else(|| Error::malformed(field, "it is missing"))
}

/// Parses an id.
pub(crate) fn parse_id<T>(field: &'static str, text: String) -> Result<T>
where
    T: TryFrom<String>,
    T::Error: ToString,
{
    T::try_from(text).map_err(|e| Error::malformed(field, e.to_string()))
}

/// Decodes a request id of 16 bytes, big-endian.
pub(crate) fn decode_request_id(bytes: &[u8]) -> Result<RequestId> {
    let bytes = bytes
        .try_into()
        .map_err(|_| Error::malformed("request", "it is not 16 bytes"))?;
    Ok(RequestId(u128::from_be_bytes(bytes)))
}

/// Encodes a request id as 16 bytes, big-endian.
pub(crate) fn encode_request_id(request: RequestId) -> Bytes {
    Bytes::copy_from_slice(&request.0.to_be_bytes())
}
