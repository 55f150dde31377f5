//! Conversions between the messages on the wire and the own types.

mod journal;
mod member;
mod news;
mod report;

use bytes::Bytes;
use verbenahead_core::RequestId;

use crate::errors::{Error, Result};

pub(crate) use journal::{outcomes, results};

/// Converts all items, or reports the first that is malformed.
pub(crate) fn try_all<T, U>(items: Vec<T>) -> Result<Vec<U>>
where
    U: TryFrom<T, Error = Error>,
{
    items.into_iter().map(U::try_from).collect()
}

/// Converts all items.
pub(crate) fn all<T, U: From<T>>(items: Vec<T>) -> Vec<U> {
    items.into_iter().map(U::from).collect()
}

/// Returns a field that must be present.
pub(crate) fn required<T>(field: &'static str, value: Option<T>) -> Result<T> {
    value.ok_or_else(|| Error::malformed(field, "it is missing"))
}

/// Reads an id.
pub(crate) fn id<T>(field: &'static str, text: String) -> Result<T>
where
    T: TryFrom<String>,
    T::Error: ToString,
{
    T::try_from(text).map_err(|e| Error::malformed(field, e.to_string()))
}

/// Reads a request id of 16 bytes.
pub(crate) fn request_id(bytes: &[u8]) -> Result<RequestId> {
    let bytes = bytes
        .try_into()
        .map_err(|_| Error::malformed("request", "it is not 16 bytes"))?;
    Ok(RequestId(u128::from_be_bytes(bytes)))
}

/// Writes a request id as 16 bytes.
pub(crate) fn request_bytes(request: RequestId) -> Bytes {
    Bytes::copy_from_slice(&request.0.to_be_bytes())
}
