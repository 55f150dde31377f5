//! Response header with the load report of a server.

use http::HeaderValue;
use verbenahead_upstream::LoadReport;

/// `LOAD_HEADER` is the name of the header, whose value is a [`LoadReport`] in JSON.
pub const LOAD_HEADER: &str = "verbenahead-load";

/// Returns the value of the header for `load`.
pub(crate) fn load_header(load: &LoadReport) -> HeaderValue {
    let json = serde_json::to_string(load).unwrap_or_default();
    HeaderValue::try_from(json).unwrap_or_else(|_| HeaderValue::from_static("{}"))
}
