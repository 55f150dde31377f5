//! Tests of the planned moves when upstreams are reclaimed.

mod common;

use std::time::Duration;

use common::{candidate, load, rng};
use rand::Rng;
use verbenahead_core::units::{TokenRate, Tokens};
use verbenahead_policy::{
    CandidateState, LeavingUpstream, LeavingWork, Move, MoveKind, ReclaimOptions, plan_moves,
};

fn stream(max_remaining_tokens: u64, context: u64) -> LeavingWork {
    LeavingWork {
        upstream: 0,
        max_remaining_tokens: Some(Tokens(max_remaining_tokens)),
        interval: Duration::from_millis(20),
        context: Tokens(context),
        key: context,
        idle: Duration::ZERO,
    }
}

fn ended(idle: u64, context: u64) -> LeavingWork {
    LeavingWork {
        max_remaining_tokens: None,
        idle: Duration::from_secs(idle),
        ..stream(0, context)
    }
}

fn plan(work: &[LeavingWork], remaining: u64, export_rate: f64) -> Vec<Move> {
    let leaving = [LeavingUpstream {
        remaining: Duration::from_secs(remaining),
        export_rate: TokenRate(export_rate),
    }];
    let targets: Vec<_> = (0..4).map(candidate).collect();
    let options = ReclaimOptions::default();
    let mut plan = plan_moves(work, &leaving, &targets, &options, |_, _| Tokens(0));
    plan.sort_by_key(|step| step.work);
    plan
}

fn kinds(plan: &[Move]) -> Vec<MoveKind> {
    plan.iter().map(|step| step.kind).collect()
}

#[test]
fn stream_that_ends_in_time_stays() {
    let work = [stream(100, 5000), stream(1000, 5000)];

    let plan = plan(&work, 10, 10_000.0);

    assert_eq!(kinds(&plan), [MoveKind::Stay, MoveKind::Transfer]);
}

#[test]
fn transfers_are_limited_by_the_remaining_time() {
    let work = [
        stream(5000, 40_000),
        stream(5000, 40_000),
        stream(5000, 40_000),
    ];

    let plan = plan(&work, 10, 10_000.0);

    let expected = [MoveKind::Transfer, MoveKind::Transfer, MoveKind::Recompute];
    assert_eq!(kinds(&plan), expected);
    assert_eq!(plan[1].delay, Duration::from_secs(4));
}

#[test]
fn ended_answers_are_moved_after_streams_latest_first() {
    let work = [ended(50, 40_000), ended(5, 40_000), stream(5000, 40_000)];

    let plan = plan(&work, 10, 10_000.0);

    let expected = [MoveKind::Drop, MoveKind::Transfer, MoveKind::Transfer];
    assert_eq!(kinds(&plan), expected);
}

#[test]
fn without_export_streams_are_recomputed_evenly_over_the_targets() {
    let work: Vec<_> = (0..8).map(|_| stream(5000, 2000)).collect();

    let plan = plan(&work, 10, 0.0);

    let mut per_target = [0; 4];
    plan.iter()
        .for_each(|step| per_target[step.target.unwrap()] += 1);
    assert!(plan.iter().all(|step| step.kind == MoveKind::Recompute));
    assert_eq!(per_target, [2; 4]);
}

#[test]
fn stream_is_recomputed_where_most_is_cached() {
    let targets: Vec<_> = (0..4).map(candidate).collect();
    let leaving = [LeavingUpstream {
        remaining: Duration::from_secs(5),
        export_rate: TokenRate(0.0),
    }];
    let cached = |_: usize, target: usize| Tokens(if target == 2 { 1800 } else { 0 });

    let options = ReclaimOptions::default();
    let plan = plan_moves(&[stream(5000, 2000)], &leaving, &targets, &options, cached);

    assert_eq!(plan[0].target, Some(2));
}

#[test]
fn work_moves_only_to_ready_upstreams() {
    let mut rng = rng(7);
    let mut targets: Vec<_> = (0..6).map(candidate).collect();
    targets[0].state = CandidateState::Leaving;
    targets[3].state = CandidateState::Suspected;
    targets[5].state = CandidateState::CircuitOpen;
    targets[1].load = load(5000.0);
    let work: Vec<_> = (0..200)
        .map(|_| stream(rng.random_range(0..2000), rng.random_range(100..9000)))
        .collect();
    let leaving = [LeavingUpstream {
        remaining: Duration::from_secs(10),
        export_rate: TokenRate(50_000.0),
    }];

    let options = ReclaimOptions::default();
    let plan = plan_moves(&work, &leaving, &targets, &options, |_, _| Tokens(0));

    let used = plan.iter().filter_map(|step| step.target);
    assert_eq!(plan.len(), work.len());
    assert!(used.clone().all(|target| [1, 2, 4].contains(&target)));
    assert!(used.count() > 0);
}

#[test]
fn transfers_do_not_overload_one_target() {
    let work: Vec<_> = (0..40)
        .map(|_| LeavingWork {
            key: 5,
            ..stream(5000, 100)
        })
        .collect();

    let plan = plan(&work, 10, 100_000.0);

    let mut per_target = [0; 4];
    plan.iter()
        .for_each(|step| per_target[step.target.unwrap()] += 1);
    assert!(
        per_target.iter().all(|count| *count <= 25),
        "{per_target:?}"
    );
}

#[test]
fn without_targets_streams_stay() {
    let leaving = [LeavingUpstream {
        remaining: Duration::from_secs(1),
        export_rate: TokenRate(1000.0),
    }];

    let options = ReclaimOptions::default();
    let plan = plan_moves(&[stream(5000, 2000)], &leaving, &[], &options, |_, _| {
        Tokens(0)
    });

    assert_eq!(kinds(&plan), [MoveKind::Stay]);
}
