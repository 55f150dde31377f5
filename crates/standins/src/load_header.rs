//! The header field with a load report.

use http::HeaderValue;
use verbenahead_upstream::LoadReport;

/// `LOAD_HEADER` names the header field with the load report as JSON.
pub const LOAD_HEADER: &str = "verbenahead-load";

/// Returns the value of the header field.
pub(crate) fn load_header(load: &LoadReport) -> HeaderValue {
    let json = serde_json::to_string(load).unwrap_or_default();
    HeaderValue::try_from(json).unwrap_or_else(|_| HeaderValue::from_static("{}"))
}
