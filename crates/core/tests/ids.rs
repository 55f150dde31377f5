//! Tests of parsing and printing ids.

use rstest::rstest;
use verbenahead_core::{Digest, RequestId, WorkspaceId};

#[rstest]
#[case("")]
#[case("two words")]
#[case("semi;colon")]
#[case("ünï")]
fn an_invalid_name_is_rejected(#[case] text: &str) {
    let result = WorkspaceId::try_new(text);

    assert!(result.is_err(), "{text} was accepted");
}

#[test]
fn a_request_id_parses_from_its_display_text() {
    let id = RequestId(42);

    let parsed = id.to_string().parse();

    assert_eq!(parsed, Ok(id));
}

#[test]
fn a_digest_parses_from_its_display_text() {
    let digest = Digest::of(b"key");

    let parsed = digest.to_string().parse();

    assert_eq!(parsed, Ok(digest));
}
