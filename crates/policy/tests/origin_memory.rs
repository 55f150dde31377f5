//! Tests of the memory of the versions at which streams began, and of the ranking of nodes for a key.

use std::time::Duration;

use verbenahead_core::NodeId;
use verbenahead_policy::{
    OriginMemory, OriginMemoryOptions, Timestamp, collector_choice::first_choices,
};

fn at(seconds: u64) -> Timestamp {
    Timestamp(Duration::from_secs(seconds))
}

fn memory() -> OriginMemory {
    OriginMemory::new(OriginMemoryOptions {
        period: Duration::from_secs(60),
        max_streams: 100,
    })
}

#[test]
fn the_first_version_of_a_stream_is_remembered_for_a_time() {
    let mut memory = memory();
    memory.record(1, 7, at(0));
    memory.record(1, 8, at(1));
    assert_eq!(memory.version(1), Some(7));
    assert_eq!(memory.version(2), None);

    memory.record(2, 8, at(59));
    assert_eq!(memory.version(1), Some(7));
    memory.record(3, 8, at(60));

    assert_eq!(memory.version(1), None);
    assert_eq!(memory.version(2), Some(8));
}

#[test]
fn the_latest_streams_are_remembered_within_a_bound() {
    let mut memory = memory();
    for stream in 0..10_000 {
        memory.record(stream, 7, at(1));
    }

    assert!((0..9_900).all(|stream| memory.version(stream).is_none()));
    assert!((9_901..10_000).all(|stream| memory.version(stream).is_some()));
}

#[test]
fn the_choices_for_a_key_change_only_with_the_nodes_chosen() {
    let nodes: Vec<NodeId> = (0..50)
        .map(|n| NodeId::try_new(format!("node-{n}")).expect("valid id"))
        .collect();
    for key in 0..200 {
        let chosen = first_choices(key, &nodes, 3);
        assert_eq!(chosen.len(), 3);
        assert_eq!(chosen[..2], first_choices(key, &nodes, 2));

        let without_first = nodes.iter().filter(|node| *node != chosen[0]);
        assert_eq!(first_choices(key, without_first, 2), chosen[1..]);
    }
    assert_eq!(first_choices(1, &nodes[..1], 3), [&nodes[0]]);
}
