//! Ids accept what they print and refuse everything else.

use rstest::rstest;
use verbenahead_core::{Digest, RequestId, WorkspaceId};

#[rstest]
#[case("")]
#[case("two words")]
#[case("semi;colon")]
#[case("ünï")]
fn a_bad_name_is_refused(#[case] text: &str) {
    let result = WorkspaceId::try_new(text);

    assert!(result.is_err(), "{text} was accepted");
}

#[test]
fn a_request_id_reads_what_it_prints() {
    let id = RequestId(42);

    let read = id.to_string().parse();

    assert_eq!(read, Ok(id));
}

#[test]
fn a_digest_reads_what_it_prints() {
    let digest = Digest::of(b"key");

    let read = digest.to_string().parse();

    assert_eq!(read, Ok(digest));
}
