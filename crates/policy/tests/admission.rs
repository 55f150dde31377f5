//! Tests of admission control, token buckets and limit splits.

mod common;

use std::{collections::VecDeque, time::Duration};

use common::{at, rng, workspace};
use proptest::{
    prelude::*,
    test_runner::{RngAlgorithm, RngSeed},
};
use rand::Rng;
use rstest::rstest;
use verbenahead_core::{
    WorkspaceId,
    units::{TokenRate, Tokens},
};
use verbenahead_manifest::Priority;
use verbenahead_policy::{
    Admission, AdmissionOptions, AdmissionRequest, Capacity, LimitSplit, LimitSplitOptions, Permit,
    Refusal, RefusalReason, Timestamp, TokenBucket,
};

/// Returns admission to a service with 10 slots and a service time of 1 s, so that up to 30
/// requests may be in flight. The workspaces `large` and `small` have equal shares.
fn admission() -> Admission {
    let capacity = Capacity {
        slots: 10.0,
        service_time: Duration::from_secs(1),
    };
    let options = AdmissionOptions {
        max_queue_time: Duration::from_secs(2),
        ..AdmissionOptions::default()
    };
    let mut admission = Admission::new(options, capacity);
    admission.set_share(&workspace("large"), 1);
    admission.set_share(&workspace("small"), 1);
    admission
}

fn request(workspace: &WorkspaceId) -> AdmissionRequest<'_> {
    AdmissionRequest {
        workspace,
        priority: Priority::Interactive,
        tokens: Tokens(100),
        service_time: Duration::from_secs(1),
        deadline: at(1000.0),
    }
}

/// Sends requests of one workspace until one is refused.
fn fill(admission: &mut Admission, name: &str, now: Timestamp) -> (Vec<Permit>, Refusal) {
    let id = workspace(name);
    let mut permits = Vec::new();
    loop {
        match admission.try_admit(&request(&id), now) {
            Ok(permit) => permits.push(permit),
            Err(refusal) => return (permits, refusal),
        }
    }
}

#[test]
fn a_workspace_borrows_capacity_without_demand() {
    let mut admission = admission();

    let (permits, refusal) = fill(&mut admission, "large", at(0.0));

    assert_eq!(permits.len(), 28);
    assert_eq!(refusal.reason, RefusalReason::ShareUsedUp);
}

#[test]
fn a_workspace_gets_its_share_while_another_borrows() {
    let mut admission = admission();
    let _large = fill(&mut admission, "large", at(0.0));

    let (small, _) = fill(&mut admission, "small", at(0.0));

    assert!(small.len() >= 9, "{}", small.len());
}

#[test]
fn a_workspace_regains_its_share_when_borrowed_slots_are_released() {
    let mut admission = admission();
    let (mut borrowed, _) = fill(&mut admission, "large", at(0.0));
    let mut small = fill(&mut admission, "small", at(0.0)).0;

    for round in 0..20 {
        let now = at(f64::from(round) * 0.1);
        admission.release(borrowed.pop().unwrap(), Tokens(100), now);
        borrowed.extend(admission.try_admit(&request(&workspace("large")), now));
        small.extend(admission.try_admit(&request(&workspace("small")), now));
    }

    assert!(small.len() >= 15, "{}", small.len());
}

#[test]
fn a_workspace_with_a_tiny_share_has_one_slot() {
    let mut admission = admission();
    admission.set_share(&workspace("large"), 1000);
    let _large = fill(&mut admission, "large", at(0.0));

    let small = admission.try_admit(&request(&workspace("small")), at(0.0));

    assert!(small.is_ok());
}

#[rstest]
#[case::in_time(2.3, true)]
#[case::too_late(2.1, false)]
fn a_request_that_cannot_meet_its_deadline_is_refused(
    #[case] deadline: f64,
    #[case] is_admitted: bool,
) {
    let mut admission = admission();
    let large = workspace("large");
    let ahead: Vec<_> = (0..15)
        .map(|_| admission.try_admit(&request(&large), at(0.0)))
        .collect();
    let small = workspace("small");
    let req = AdmissionRequest {
        deadline: at(deadline),
        ..request(&small)
    };

    let admitted = admission.try_admit(&req, at(0.0));

    assert!(ahead.iter().all(Result::is_ok));
    assert_eq!(admitted.is_ok(), is_admitted);
    let reason = admitted.err().map(|refusal| refusal.reason);
    assert!(is_admitted || reason == Some(RefusalReason::DeadlineUnreachable));
}

#[rstest]
#[case(Priority::Batch, 10)]
#[case(Priority::Normal, 25)]
#[case(Priority::Interactive, 28)]
fn lower_priorities_are_refused_first(#[case] priority: Priority, #[case] max_in_flight: usize) {
    let id = workspace("large");
    let mut admission = admission();
    let req = AdmissionRequest {
        priority,
        ..request(&id)
    };

    let mut permits = Vec::new();
    while let Ok(permit) = admission.try_admit(&req, at(0.0)) {
        permits.push(permit);
    }

    assert_eq!(permits.len(), max_in_flight);
}

#[test]
fn lower_priority_work_does_not_delay_higher_priorities() {
    let mut admission = admission();
    let large = workspace("large");
    let normal = AdmissionRequest {
        priority: Priority::Normal,
        ..request(&large)
    };
    let _ahead: Vec<_> = (0..25)
        .map(|_| admission.try_admit(&normal, at(0.0)))
        .collect();
    let small = workspace("small");
    let urgent = AdmissionRequest {
        deadline: at(1.1),
        ..request(&small)
    };

    let admitted = admission.try_admit(&urgent, at(0.0));

    assert!(admitted.is_ok());
}

#[test]
fn retry_delays_spread_at_the_rate_of_the_service() {
    let mut admission = admission();
    let _permits = fill(&mut admission, "large", at(0.0));
    let large = workspace("large");

    let delays: Vec<_> = (0..50)
        .map(|_| {
            admission
                .try_admit(&request(&large), at(0.0))
                .unwrap_err()
                .retry_after
        })
        .collect();

    let is_rising = delays.windows(2).all(|pair| pair[0] <= pair[1]);
    assert!(is_rising);
    assert!(delays[49] >= Duration::from_secs(5), "{:?}", delays[49]);
}

#[test]
fn excess_requests_of_a_workspace_delay_only_its_own_retries() {
    let mut admission = admission();
    let _large = fill(&mut admission, "large", at(0.0));
    let _small = fill(&mut admission, "small", at(0.0));
    let large = workspace("large");
    let flood = (0..500).map(|_| admission.try_admit(&request(&large), at(0.0)));
    let last = flood.last().unwrap().unwrap_err().retry_after;

    let small = admission
        .try_admit(&request(&workspace("small")), at(0.0))
        .unwrap_err();

    assert!(last >= Duration::from_secs(20), "{last:?}");
    assert!(
        small.retry_after <= Duration::from_secs(3),
        "{:?}",
        small.retry_after
    );
}

#[test]
fn an_unknown_workspace_is_refused() {
    let mut admission = admission();

    let refusal = admission
        .try_admit(&request(&workspace("other")), at(0.0))
        .unwrap_err();

    assert_eq!(refusal.reason, RefusalReason::UnknownWorkspace);
}

#[test]
fn a_token_limit_is_settled_by_actual_usage() {
    let mut admission = admission();
    let large = workspace("large");
    admission.set_limit(&large, Some(TokenRate(10.0)), at(0.0));

    let permit = admission.try_admit(&request(&large), at(0.0)).unwrap();
    let refusal = admission.try_admit(&request(&large), at(0.0)).unwrap_err();
    admission.release(permit, Tokens(0), at(0.0));
    let after = admission.try_admit(&request(&large), at(0.0));

    assert_eq!(refusal.reason, RefusalReason::TokenLimit);
    assert_eq!(refusal.retry_after, Duration::from_secs(10));
    assert!(after.is_ok());
}

#[test]
fn a_request_larger_than_the_burst_leaves_a_debt() {
    let mut bucket = TokenBucket::new(TokenRate(10.0), Duration::from_secs(1), at(0.0));

    let wait = bucket.wait(Tokens(100), at(0.0));
    bucket.take(Tokens(100), at(0.0));

    assert_eq!(wait, Duration::ZERO);
    assert_eq!(
        bucket.wait(Tokens(1), at(0.0)),
        Duration::from_secs_f64(9.1)
    );
}

fn split() -> LimitSplit {
    LimitSplit::new(LimitSplitOptions::default())
}

#[test]
fn an_allocation_follows_demand() {
    let mut busy = split();
    let others = [TokenRate(10.0); 3];
    let mut allocation = TokenRate(0.0);

    for second in 0..10 {
        allocation = busy.update(
            TokenRate(1000.0),
            TokenRate(900.0),
            &others,
            at(f64::from(second)),
        );
    }

    assert!((900.0..=1000.0).contains(&allocation.0), "{allocation}");
}

#[test]
fn an_allocation_falls_immediately_and_rises_slowly() {
    let mut split = split();
    let limit = TokenRate(1000.0);
    let idle = [TokenRate(0.0); 3];
    let busy = [TokenRate(3000.0); 3];

    let first = split.update(limit, TokenRate(3000.0), &idle, at(0.0));
    let soon = split.update(limit, TokenRate(3000.0), &idle, at(1.0));
    let fallen = split.update(limit, TokenRate(3000.0), &busy, at(1.1));

    assert_eq!(first.0, 250.0);
    assert!((353.0..354.0).contains(&soon.0), "{soon}");
    assert_eq!(fallen.0, 250.0);
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 128,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(42),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn allocations_stay_within_the_bound_for_any_views_of_demand(
        views in proptest::collection::vec(
            (0.0..1e4, proptest::collection::vec(0.0..1e4, 3..12)),
            4..12,
        ),
    ) {
        let limit = TokenRate(1000.0);
        let seen = views.iter().map(|(_, others)| others.len() + 1).min().unwrap_or(1);
        let bound = split().overshoot_bound(limit, views.len(), seen);

        let allocations = views.iter().map(|(own, others)| {
            let others: Vec<_> = others.iter().copied().map(TokenRate).collect();
            let mut split = split();
            (0..20).map(|s| split.update(limit, TokenRate(*own), &others, at(f64::from(s))).0)
                .last()
                .unwrap_or_default()
        });

        prop_assert!(allocations.sum::<f64>() <= bound.0 * 1.000_001);
    }

    #[test]
    fn allocations_add_up_to_the_limit_when_views_agree(
        demands in proptest::collection::vec(1.0..1e3, 2..12),
    ) {
        let limit = TokenRate(1000.0);

        let allocations = (0..demands.len()).map(|own| {
            let others: Vec<_> = (0..demands.len())
                .filter(|other| *other != own)
                .map(|other| TokenRate(demands[other]))
                .collect();
            let mut split = split();
            (0..20).map(|s| split.update(limit, TokenRate(demands[own]), &others, at(f64::from(s))).0)
                .last()
                .unwrap_or_default()
        });

        prop_assert!(allocations.sum::<f64>() <= 1000.001);
    }

    #[test]
    fn requests_in_flight_match_a_model_and_stay_within_the_limit(
        seed in any::<u64>(),
        steps in 1..400_usize,
    ) {
        let mut admission = admission();
        let mut rng = rng(seed);
        let mut permits: VecDeque<Permit> = VecDeque::new();
        let names = [workspace("large"), workspace("small")];

        for step in 0..steps {
            let now = at(step as f64 * 0.01);
            let req = request(&names[rng.random_range(0..2)]);
            if rng.random_bool(0.7) {
                permits.extend(admission.try_admit(&req, now).ok());
            } else if let Some(permit) = permits.pop_front() {
                admission.release(permit, Tokens(100), now);
            }
            prop_assert_eq!(admission.in_flight() as usize, permits.len());
            // The limit is 30. Within its share, a workspace may exceed it by a quarter plus one
            // request per workspace.
            prop_assert!(permits.len() <= 39);
        }
    }
}
