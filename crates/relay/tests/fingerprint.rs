//! Tests of the fingerprints by which requests that come again are recognised.

use http::{Method, Uri};
use rstest::rstest;
use verbenahead_core::WorkspaceId;
use verbenahead_relay::Fingerprint;

fn fingerprint(method: Method, target: &'static str, workspace: &str, body: &str) -> Fingerprint {
    let workspace = (!workspace.is_empty()).then(|| {
        let id: WorkspaceId = workspace.parse().expect("a valid id");
        id
    });
    let uri = Uri::from_static(target);
    Fingerprint::of(&method, &uri, workspace.as_ref(), body.as_bytes())
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
