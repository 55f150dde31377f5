//! Entity tags and preconditions. The entity tag of a manifest is its generation.

use http::{HeaderMap, HeaderValue, StatusCode, header};
use verbenahead_core::{Generation, RunOutcome};

use super::problem::OperatorProblem;

/// Returns the entity tag of a generation.
pub(super) fn entity_tag(generation: Generation) -> HeaderValue {
    let tag = HeaderValue::from_str(&format!("\"{generation}\""));
    tag.unwrap_or(HeaderValue::from_static("\"0\""))
}

/// Reads the generation that the publisher expects to be the head from `If-Match`.
///
/// # Errors
///
/// Returns a problem with status 428 when the header is absent, and with status 400 when it is not
/// a single strong entity tag that holds a generation.
pub(super) fn expected_generation(headers: &HeaderMap) -> Result<Generation, OperatorProblem> {
    let Some(value) = headers.get(header::IF_MATCH) else {
        let detail = "If-Match with the generation of the head is needed, or \"0\" at first";
        return Err(refuse(StatusCode::PRECONDITION_REQUIRED, detail));
    };
    let text = value.to_str().unwrap_or_default().trim();
    let number = text
        .strip_prefix('"')
        .and_then(|text| text.strip_suffix('"'))
        .filter(|text| text.bytes().all(|b| b.is_ascii_digit()));
    let generation = number.and_then(|text| text.parse().ok());
    generation.ok_or_else(|| {
        let detail = "If-Match must hold one generation, such as \"7\"";
        refuse(StatusCode::BAD_REQUEST, detail)
    })
}

fn refuse(status: StatusCode, detail: &str) -> OperatorProblem {
    OperatorProblem::new("precondition", status, detail).with_outcome(RunOutcome::NotRun)
}
