//! Messages survive encoding and decoding unchanged, and malformed messages are rejected.

mod support;

use bytes::Bytes;
use prost::Message as _;
use rstest::rstest;
use support::{append, member, record};
use verbenahead_core::{Digest, Generation, Incarnation, UpstreamId};
use verbenahead_membership::{
    ManifestHead, Member, MemberState, NewsItem, Ping, StateDigest, UnixMillis, UpstreamGone,
    UpstreamLeaving,
};
use verbenahead_peer::{JournalAppend, JournalRecord, wire};

fn items() -> Vec<NewsItem> {
    let upstream = UpstreamId::try_new("upstream-1").expect("a valid id");
    let incarnation = Incarnation(3);
    vec![
        NewsItem::ManifestHead(ManifestHead {
            generation: Generation(5),
            digest: Digest::of("manifest"),
        }),
        NewsItem::UpstreamLeaving(UpstreamLeaving {
            upstream: upstream.clone(),
            incarnation,
            deadline: UnixMillis(1),
        }),
        NewsItem::UpstreamGone(UpstreamGone {
            upstream,
            incarnation,
            since: UnixMillis(2),
        }),
    ]
}

#[rstest]
#[case(MemberState::Alive)]
#[case(MemberState::Leaving)]
#[case(MemberState::Suspect)]
#[case(MemberState::Dead)]
fn member_round_trips_within_its_size_bound(#[case] state: MemberState) {
    let mut sent = member(3);
    sent.state = state;
    sent.incarnation = Incarnation(u64::MAX);
    sent.address = "[2001:db8::1]:65535".parse().expect("an address");

    let wire = wire::PingRequest {
        claims: vec![sent.clone().into()],
        ..wire::PingRequest::default()
    };
    let decoded = Member::try_from(wire.claims[0].clone());

    assert_eq!(decoded.expect("valid message"), sent);
    assert!(wire.encoded_len() <= sent.max_encoded_bytes());
}

#[test]
fn news_round_trips() {
    for item in items() {
        let decoded = NewsItem::try_from(wire::NewsItem::from(item.clone()));

        assert_eq!(decoded.expect("valid message"), item);
    }
}

#[test]
fn journals_round_trip_within_their_size_bound() {
    let sent = record(u128::MAX, &["a", "", "long token"]);
    let added = append(7, u64::MAX, u64::MAX, &["b"]);

    let wire = wire::JournalRecord::from(sent.clone());
    let size = wire.encoded_len();
    let decoded = JournalRecord::try_from(wire);
    let decoded_append = JournalAppend::try_from(wire::JournalAppend::from(added.clone()));

    assert_eq!(decoded.expect("valid message"), sent);
    assert_eq!(decoded_append.expect("valid message"), added);
    assert!(size <= sent.max_encoded_bytes());
}

#[test]
fn malformed_messages_are_rejected() {
    let valid = wire::Member::from(member(1));
    let no_address = wire::Member {
        address: None,
        ..valid.clone()
    };
    let no_state = wire::Member {
        state: 0,
        ..valid.clone()
    };
    let unknown_state = wire::Member {
        state: 99,
        ..valid.clone()
    };
    let bad_name = wire::Member {
        node: "two words".to_owned(),
        ..valid.clone()
    };
    let bad_ip = wire::Member {
        address: Some(wire::Address {
            ip: Bytes::from_static(&[1, 2, 3]),
            port: 1,
        }),
        ..valid.clone()
    };
    let bad_port = wire::Member {
        address: Some(wire::Address {
            ip: Bytes::from_static(&[1, 2, 3, 4]),
            port: 65_536,
        }),
        ..valid
    };
    let ping = Ping::try_from(wire::PingRequest::default());
    let short_id = wire::JournalAppend {
        request: Bytes::from_static(b"short"),
        ..wire::JournalAppend::default()
    };

    for member in [
        no_address,
        no_state,
        unknown_state,
        bad_name,
        bad_ip,
        bad_port,
    ] {
        assert!(Member::try_from(member.clone()).is_err(), "{member:?}");
    }
    assert!(ping.is_err());
    assert!(JournalAppend::try_from(short_id).is_err());
    assert!(NewsItem::try_from(wire::NewsItem::default()).is_err());
    assert_eq!(StateDigest(255).to_string(), "00000000000000ff");
}
