//! Tests of the simulation that the measurements use.

use verbenahead_measure::{
    fake::{
        cache::BlockCache,
        conditions::{CacheEvents, Reclaim, RunOptions},
        moves::MoveRule,
        outcome::RunOutcome,
        profile,
        retry::RetryRule,
        run::Run,
    },
    router::own::OwnRouter,
};
use verbenahead_policy::{BlockHash, RouteOptions};

fn run(seed: u64, moves: MoveRule) -> RunOutcome {
    let profile = profile::quesada();
    let options = RunOptions {
        profile: profile.clone(),
        seed,
        duration: 60.0,
        report_period: 0.5,
        report_lag: 0.5,
        cache_events: Some(CacheEvents {
            lag: 2.0,
            loss: 0.1,
        }),
        reclaim: Some(Reclaim {
            zone: 0,
            at: 30.0,
            notice: 10.0,
        }),
        moves,
        swing: 0.0,
        burst: None,
        retry: RetryRule::Never,
    };
    let mut router = OwnRouter::new(&profile, RouteOptions::default());
    Run::new(options, &mut router).finish()
}

fn blocks(numbers: std::ops::Range<u64>) -> Vec<BlockHash> {
    numbers.map(BlockHash).collect()
}

#[test]
fn runs_with_the_same_seed_are_equal() {
    let first = run(3, MoveRule::Planned);
    let second = run(3, MoveRule::Planned);
    let other = run(4, MoveRule::Planned);

    assert_eq!(first.answers, second.answers);
    assert_eq!(first.recomputed, second.recomputed);
    assert_ne!(first.answers, other.answers);
}

#[test]
fn no_request_is_lost_when_a_zone_is_reclaimed() {
    let planned = run(5, MoveRule::Planned);
    let resent = run(5, MoveRule::Resend);

    assert_eq!(planned.lost_at, []);
    assert_eq!(resent.lost_at, []);
    assert!(planned.transferred > 0);
    assert_eq!(resent.transferred, 0);
}

#[test]
fn a_full_cache_evicts_the_tail_of_the_least_recently_used_prefix() {
    let mut cache = BlockCache::new(10);

    cache.insert(&blocks(0..6));
    cache.insert(&blocks(10..16));

    assert_eq!(cache.len(), 10);
    assert_eq!(cache.prefix(&blocks(0..6)), 4);
    assert_eq!(cache.prefix(&blocks(10..16)), 6);
}
