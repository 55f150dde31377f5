//! Tests of the fingerprints by which requests that come again are recognised.

use bytes::Bytes;
use http::{Method, Uri};
use rstest::rstest;
use verbenahead_core::WorkspaceId;
use verbenahead_core::units::Tokens;
use verbenahead_relay::{
    Fingerprint, SegmentedBody,
    dialect::{PromptPart, PromptShape},
};

fn fingerprint(method: Method, target: &'static str, workspace: &str, body: &str) -> Fingerprint {
    let workspace = (!workspace.is_empty()).then(|| {
        let id: WorkspaceId = workspace.parse().expect("a valid id");
        id
    });
    let uri = Uri::from_static(target);
    let body = SegmentedBody::from(Bytes::copy_from_slice(body.as_bytes()));
    Fingerprint::of(&method, &uri, workspace.as_ref(), &body, None)
}

#[test]
fn a_request_that_comes_again_has_the_same_fingerprint() {
    let first = fingerprint(Method::POST, "/file/1?draft=0", "paving", "a filing");
    let again = fingerprint(
        Method::POST,
        "http://desk.example/file/1?draft=0",
        "paving",
        "a filing",
    );

    assert_eq!(first, again);
    assert_eq!(first.to_string(), again.to_string());
}

#[rstest]
#[case::method(Method::PUT, "/file/1", "paving", "a filing")]
#[case::path(Method::POST, "/file/2", "paving", "a filing")]
#[case::query(Method::POST, "/file/1?draft=1", "paving", "a filing")]
#[case::workspace(Method::POST, "/file/1", "diggers", "a filing")]
#[case::no_workspace(Method::POST, "/file/1", "", "a filing")]
#[case::body(Method::POST, "/file/1", "paving", "another filing")]
#[case::no_body(Method::POST, "/file/1", "paving", "")]
fn requests_that_differ_have_different_fingerprints(
    #[case] method: Method,
    #[case] target: &'static str,
    #[case] workspace: &str,
    #[case] body: &str,
) {
    let subject = fingerprint(Method::POST, "/file/1", "paving", "a filing");

    assert_ne!(fingerprint(method, target, workspace, body), subject);
}

#[rstest]
#[case::in_the_head("", false)]
#[case::in_the_body("a prompt", true)]
fn prompts_in_the_head_tell_requests_without_a_body_apart(
    #[case] body: &str,
    #[case] is_same: bool,
) {
    let prompt = |id| PromptShape {
        parts: vec![PromptPart {
            id,
            tokens: Tokens(50),
        }],
        ..PromptShape::default()
    };
    let uri = Uri::from_static("/draft/1");
    let fingerprint = |prompt: PromptShape| {
        let body = SegmentedBody::from(Bytes::copy_from_slice(body.as_bytes()));
        Fingerprint::of(&Method::POST, &uri, None, &body, Some(&prompt))
    };

    assert_eq!(fingerprint(prompt(1)) == fingerprint(prompt(2)), is_same);
    assert_eq!(fingerprint(prompt(1)), fingerprint(prompt(1)));
}
