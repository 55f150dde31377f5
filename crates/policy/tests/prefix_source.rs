//! Tests of the source of a cached prefix. Load pattern: replicas are added and removed, so the
//! owner of a prefix changes while other replicas still have it cached.

mod common;

use common::{load, upstream, zone};
use rstest::rstest;
use verbenahead_core::units::{HourlyPrice, Tokens};
use verbenahead_policy::{Affinity, Candidate, CandidateState, RouteRequest, hash, prefix_source};

const KEY: u64 = 77;

fn candidate(number: usize, cached: u64) -> Candidate {
    Candidate {
        upstream: upstream(number),
        zone: zone("a"),
        state: CandidateState::Ready,
        load: load(0.0),
        cached: Tokens(cached),
        price: HourlyPrice(0.0),
    }
}

fn source(candidates: &[Candidate], chosen: usize, shared: u64) -> Option<usize> {
    let zone = zone("a");
    let req = RouteRequest {
        zone: &zone,
        prompt: Tokens(12_000),
        affinity: Some(Affinity {
            key: KEY,
            tokens: Tokens(shared),
        }),
        objective: std::time::Duration::from_secs(1),
    };
    prefix_source(&req, candidates, chosen)
}

/// Returns the index of the candidate that ranks first for the key among all but `except`.
fn first_ranked(candidates: &[Candidate], except: usize) -> usize {
    let others = (0..candidates.len()).filter(|index| *index != except);
    let score = |index: &usize| hash::rendezvous_score(KEY, candidates[*index].upstream.as_str());
    others
        .max_by_key(score)
        .expect("there are other candidates")
}

#[test]
fn replica_with_the_longest_cached_prefix_is_the_source() {
    let candidates = [candidate(0, 0), candidate(1, 512), candidate(2, 5_000)];

    assert_eq!(source(&candidates, 0, 5_382), Some(2));
}

#[test]
fn highest_ranked_other_replica_is_the_source_when_no_cache_is_known() {
    let candidates: Vec<_> = (0..5).map(|n| candidate(n, 0)).collect();

    let found = source(&candidates, 1, 5_382);

    assert_eq!(found, Some(first_ranked(&candidates, 1)));
}

#[rstest]
#[case::cached(5_382, 5_382)]
#[case::nearly_cached(5_300, 5_382)]
#[case::little_shared(0, 100)]
fn few_missing_tokens_are_not_fetched(#[case] cached: u64, #[case] shared: u64) {
    let candidates = [candidate(0, cached), candidate(1, 5_382)];

    assert_eq!(source(&candidates, 0, shared), None);
}

#[test]
fn single_replica_has_no_source() {
    assert_eq!(source(&[candidate(0, 0)], 0, 5_382), None);
}
