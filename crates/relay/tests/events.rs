//! Tests of the splitting of streams into events.

use bytes::Bytes;
use proptest::prelude::*;
use rstest::rstest;
use verbenahead_relay::{dialect::EventId, events::EventSplitter};

fn split(parts: &[&[u8]]) -> (Vec<Bytes>, bool) {
    let mut splitter = EventSplitter::default();
    let mut events = Vec::new();
    for part in parts {
        splitter.push(part);
        while let Some(event) = splitter.next_event() {
            events.push(event.bytes);
        }
    }
    (events, splitter.has_partial_event())
}

#[rstest]
#[case::plain(b"id: 7\ndata: x\n\n", Some(7))]
#[case::no_space(b"id:7\ndata: x\n\n", Some(7))]
#[case::after_another_line(b"weight-versions: 3\nid: 8\ndata: x\n\n", Some(8))]
#[case::carriage_returns(b"id: 7\r\ndata: x\r\n\r\n", Some(7))]
#[case::none(b"data: x\n\n", None)]
#[case::no_number(b"id: x\n\n", None)]
fn the_id_of_an_event_is_parsed(#[case] bytes: &[u8], #[case] id: Option<u64>) {
    let mut splitter = EventSplitter::default();
    splitter.push(bytes);

    let event = splitter.next_event().expect("an event");

    assert_eq!(event.id, id.map(EventId));
    assert_eq!(event.bytes, Bytes::copy_from_slice(bytes));
}

#[test]
fn an_incomplete_event_stays_buffered() {
    let (events, has_partial_event) = split(&[b"id: 1\ndata: a\n\nid: 2\ndata: b\n"]);

    assert_eq!(events.len(), 1);
    assert!(has_partial_event);
}

proptest! {
    #[test]
    fn events_do_not_depend_on_how_the_bytes_are_chunked(
        texts in proptest::collection::vec("[a-z ]{0,12}", 1..8),
        cuts in proptest::collection::vec(0usize..200, 0..12),
    ) {
        let whole: String = texts
            .iter()
            .enumerate()
            .map(|(id, text)| format!("id: {id}\ndata: {text}\n\n"))
            .collect();
        let mut cuts: Vec<usize> = cuts.iter().map(|cut| cut % (whole.len() + 1)).collect();
        cuts.extend([0, whole.len()]);
        cuts.sort_unstable();
        let parts: Vec<&[u8]> = cuts
            .windows(2)
            .map(|pair| &whole.as_bytes()[pair[0]..pair[1]])
            .collect();

        let (events, has_partial_event) = split(&parts);

        prop_assert_eq!(events.len(), texts.len());
        prop_assert!(!has_partial_event);
        prop_assert_eq!(events.concat(), whole.into_bytes());
    }

    #[test]
    fn any_bytes_are_returned_unchanged(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let mut splitter = EventSplitter::default();
        splitter.push(&bytes);
        let mut out = Vec::new();
        while let Some(event) = splitter.next_event() {
            out.extend_from_slice(&event.bytes);
        }

        prop_assert_eq!(out.len() + splitter.len(), bytes.len());
        prop_assert!(bytes.starts_with(&out));
    }
}
