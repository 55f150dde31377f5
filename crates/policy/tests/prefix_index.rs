//! Tests of the prefix index and of the subsets of upstreams.

mod common;

use common::{at, upstream, zone};
use rstest::rstest;
use verbenahead_core::{NodeId, units::Tokens};
use verbenahead_policy::{
    BlockOptions, CacheEvent, CacheEventKind, PrefixIndex, PrefixIndexOptions, PromptBlocks,
    Timestamp,
    subset::{Member, owners, subset},
};

/// Returns the blocks of a prompt of `count` blocks, the first of which is the same for all texts.
fn blocks(text: &str, count: usize) -> PromptBlocks {
    let prompt: String = (0..count * 256)
        .map(|index| {
            if index < 256 {
                's'
            } else {
                text.as_bytes()[index % text.len()] as char
            }
        })
        .collect();
    PromptBlocks::from_prompt("model", prompt.as_bytes(), &BlockOptions::default())
}

fn event(sequence: u64, happened_at: Timestamp, kind: CacheEventKind) -> CacheEvent {
    CacheEvent {
        sequence,
        happened_at,
        kind,
    }
}

#[test]
fn longest_common_prefix_is_found() {
    let mut index = PrefixIndex::default();
    index.on_sent(&upstream(1), &blocks("draft", 10), at(0.0));

    let same = index.cached(&upstream(1), &blocks("draft", 12));
    let other = index.cached(&upstream(1), &blocks("other", 12));
    let unknown = index.cached(&upstream(2), &blocks("draft", 12));

    assert_eq!((same, other, unknown), (Tokens(640), Tokens(64), Tokens(0)));
}

#[test]
fn models_do_not_share_blocks() {
    let options = BlockOptions::default();
    let text = vec![b'x'; 1024];

    let first = PromptBlocks::from_prompt("one", &text, &options);
    let second = PromptBlocks::from_prompt("two", &text, &options);

    assert_ne!(first.hashes()[0], second.hashes()[0]);
    assert_eq!(first.hashes().len(), 4);
}

#[rstest]
#[case::older_than_the_last_use(0.5, 640)]
#[case::newer_than_the_last_use(1.5, 0)]
fn eviction_is_applied_only_when_newer_than_the_last_use(
    #[case] happened: f64,
    #[case] cached: u64,
) {
    let mut index = PrefixIndex::default();
    let prompt = blocks("draft", 10);
    index.on_sent(&upstream(1), &prompt, at(1.0));

    let removed = CacheEventKind::Removed(prompt.hashes().to_vec());
    index.on_event(&upstream(1), &event(1, at(happened), removed));

    assert_eq!(index.cached(&upstream(1), &prompt), Tokens(cached));
}

#[test]
fn gap_in_the_events_is_returned_and_keeps_the_index() {
    let mut index = PrefixIndex::default();
    let prompt = blocks("draft", 4);
    let stored = CacheEventKind::Stored(prompt.hashes().to_vec());

    let first = index.on_event(&upstream(1), &event(7, at(0.0), stored));
    let second = index.on_event(
        &upstream(1),
        &event(9, at(0.1), CacheEventKind::Stored(vec![])),
    );

    assert!(!first);
    assert!(second);
    assert_eq!(index.cached(&upstream(1), &prompt), Tokens(256));
}

#[test]
fn reported_cached_tokens_correct_the_estimate() {
    let mut index = PrefixIndex::default();
    let prompt = blocks("draft", 10);
    index.on_sent(&upstream(1), &prompt, at(0.0));

    index.on_reported_cached(&upstream(1), &prompt, Tokens(128), at(1.0));

    assert_eq!(index.cached(&upstream(1), &prompt), Tokens(128));
}

#[test]
fn index_stays_within_its_limit_and_keeps_recently_used_blocks() {
    let options = PrefixIndexOptions {
        blocks_per_upstream: 200,
    };
    let mut index = PrefixIndex::new(options);
    let kept = blocks("kept", 10);

    for round in 0..100 {
        index.on_sent(&upstream(1), &kept, at(f64::from(round)));
        index.on_sent(
            &upstream(1),
            &blocks(&format!("text{round}"), 10),
            at(f64::from(round)),
        );
    }

    assert_eq!(index.cached(&upstream(1), &kept), Tokens(640));
    assert_eq!(index.cached(&upstream(1), &blocks("text1", 10)), Tokens(64));
}

#[test]
fn removed_upstream_has_nothing_cached() {
    let mut index = PrefixIndex::default();
    let prompt = blocks("draft", 4);
    index.on_sent(&upstream(1), &prompt, at(0.0));

    index.forget(&upstream(1));

    assert_eq!(index.cached(&upstream(1), &prompt), Tokens(0));
    assert!(index.is_empty());
}

fn members(count: usize) -> Vec<Member> {
    let zones = ["a", "b", "c", "d"];
    (0..count)
        .map(|index| Member {
            upstream: upstream(index),
            zone: zone(zones[index % zones.len()]),
        })
        .collect()
}

fn node(number: usize) -> NodeId {
    NodeId::try_new(format!("node-{number}")).unwrap()
}

#[test]
fn subset_has_members_in_every_zone_and_changes_by_one() {
    let all = members(720);
    let before = subset(&node(1), &all, 10);

    let without: Vec<_> = all
        .iter()
        .filter(|m| m.upstream != all[before[0]].upstream)
        .cloned()
        .collect();
    let after = subset(&node(1), &without, 10);

    let names = |chosen: &[usize], members: &[Member]| -> Vec<String> {
        chosen
            .iter()
            .map(|index| members[*index].upstream.to_string())
            .collect()
    };
    let before_names = names(&before, &all);
    let kept = names(&after, &without)
        .into_iter()
        .filter(|name| before_names.contains(name));
    assert_eq!((before.len(), after.len()), (40, 40));
    assert_eq!(kept.count(), 39);
}

#[test]
fn every_replica_is_in_enough_subsets_at_the_target_size() {
    let all = members(720);
    let mut nodes_per_replica = vec![0; all.len()];

    for number in 0..330 {
        for index in subset(&node(number), &all, 10) {
            nodes_per_replica[index] += 1;
        }
    }

    assert_eq!(nodes_per_replica.iter().sum::<usize>(), 330 * 40);
    assert!(
        nodes_per_replica.iter().all(|count| *count >= 4),
        "{:?}",
        nodes_per_replica.iter().min()
    );
}

#[test]
fn owners_change_only_when_one_is_removed() {
    let all = members(100);
    let mut moved = 0;

    for key in 0..500 {
        let before = owners(key, &all, 2);
        let after = owners(key, &all[..99], 2);
        moved += usize::from(before != after);
        assert!(before == after || before.contains(&99));
    }

    assert!((1..30).contains(&moved), "{moved} of 500 moved");
}
