//! Recomputed tokens in steady state and after the reclaim of a zone.

use verbenahead_policy::RouteOptions;

use crate::{
    fake::{
        conditions::{CacheEvents, Reclaim, RunOptions},
        moves::MoveRule,
        outcome::RunOutcome,
        profile::{self, Profile},
        retry::RetryRule,
        run::Run,
    },
    registry::MeasureOptions,
    router::{
        Router,
        baseline::{LeastReported, RoundRobin, UnboundedAffinity},
        own::OwnRouter,
    },
    summary::Series,
};

/// Duration of a run, in seconds.
const DURATION: f64 = 420.0;

/// Warm-up time that is not counted, in seconds.
const WARM_UP: f64 = 120.0;

/// Time at which the replicas of the reclaimed zone stop, in seconds.
const RECLAIM_AT: f64 = 240.0;

/// Time from the notice of a reclaim to the stop, in seconds.
const NOTICE: f64 = 10.0;

/// Period of load reports, in seconds.
const REPORT_PERIOD: f64 = 0.5;

/// Lag of load reports, in seconds.
const REPORT_LAG: f64 = 0.5;

/// Lag of load reports in the condition `lagging_load`, in seconds.
const LONG_REPORT_LAG: f64 = 5.0;

/// Lag in seconds and loss ratio of the replicas' cache events.
const CACHE_EVENTS: CacheEvents = CacheEvents {
    lag: 2.0,
    loss: 0.1,
};

/// `Condition` is what happens during a run.
#[derive(Debug, Clone, Copy)]
struct Condition {
    name: &'static str,
    report_lag: f64,
    reclaim: Option<Reclaim>,
    counted_from: f64,
}

fn conditions() -> [Condition; 3] {
    let quiet = Condition {
        name: "quiet",
        report_lag: REPORT_LAG,
        reclaim: None,
        counted_from: WARM_UP,
    };
    [
        quiet,
        Condition {
            name: "lagging_load",
            report_lag: LONG_REPORT_LAG,
            ..quiet
        },
        Condition {
            name: "zone_reclaimed",
            reclaim: Some(Reclaim {
                zone: 0,
                at: RECLAIM_AT,
                notice: NOTICE,
            }),
            counted_from: RECLAIM_AT - NOTICE,
            ..quiet
        },
    ]
}

/// `Policy` is a router with a rule for moving requests of reclaimed replicas.
struct Policy {
    name: &'static str,
    router: Box<dyn Router>,
    moves: MoveRule,
}

fn policies(profile: &Profile) -> Vec<Policy> {
    let policy = |name, router: Box<dyn Router>, moves| Policy {
        name,
        router,
        moves,
    };
    let own = || Box::new(OwnRouter::new(profile, RouteOptions::default()));
    let affinity = UnboundedAffinity {
        blocks: profile.baseline_blocks,
    };
    let resend = MoveRule::Resend;
    vec![
        policy("verbenahead", own(), MoveRule::Planned),
        policy("verbenahead_without_moves", own(), resend),
        policy("round_robin", Box::<RoundRobin>::default(), resend),
        policy(
            "least_reported_load",
            Box::<LeastReported>::default(),
            resend,
        ),
        policy("affinity_without_load_bound", Box::new(affinity), resend),
    ]
}

/// Runs the measurement.
///
/// # Errors
///
/// When a record cannot be written.
pub fn run(options: &MeasureOptions) -> anyhow::Result<()> {
    for profile in profile::select(options.profile.as_deref()) {
        for condition in conditions() {
            measure(&profile, &condition, options)?;
        }
    }
    Ok(())
}

fn measure(
    profile: &Profile,
    condition: &Condition,
    options: &MeasureOptions,
) -> anyhow::Result<()> {
    let names: Vec<_> = policies(profile).iter().map(|policy| policy.name).collect();
    for (index, name) in names.iter().enumerate() {
        let label = format!("{}/{}", profile.name, condition.name);
        let series = |measure, unit| Series::new(measure, label.clone(), *name, unit);
        let mut tokens = series("recomputed_tokens", "tokens");
        let mut by_reclaim = series("recomputed_tokens.by_reclaim", "tokens");
        let mut first_token = series("recomputed_tokens.first_token_p95", "ms");
        let mut lost = series("recomputed_tokens.lost", "requests");
        for seed in options.seed_range() {
            let policy = policies(profile).swap_remove(index);
            let outcome = run_once(profile, condition, policy, seed);
            let from = condition.counted_from;
            let all = outcome.recomputed_between(from, DURATION) as f64;
            tokens.push(seed, all);
            if condition.reclaim.is_some() {
                let without = without_reclaim(profile, condition, index, seed);
                by_reclaim.push(seed, all - without);
            }
            let p95 = outcome.first_token_quantile(0.95, from, DURATION);
            first_token.push(seed, p95 * 1000.0);
            lost.push(seed, outcome.lost_at.len() as f64);
        }
        tokens.print()?;
        if condition.reclaim.is_some() {
            by_reclaim.print()?;
        }
        first_token.print()?;
        lost.print()?;
    }
    Ok(())
}

/// Returns the tokens that the same policy recomputes in the same period without the reclaim.
fn without_reclaim(profile: &Profile, condition: &Condition, policy: usize, seed: u64) -> f64 {
    let quiet = Condition {
        reclaim: None,
        ..*condition
    };
    let policy = policies(profile).swap_remove(policy);
    let outcome = run_once(profile, &quiet, policy, seed);
    outcome.recomputed_between(condition.counted_from, DURATION) as f64
}

fn run_once(profile: &Profile, condition: &Condition, mut policy: Policy, seed: u64) -> RunOutcome {
    let options = RunOptions {
        profile: profile.clone(),
        seed,
        duration: DURATION,
        report_period: REPORT_PERIOD,
        report_lag: condition.report_lag,
        cache_events: Some(CACHE_EVENTS),
        reclaim: condition.reclaim,
        moves: policy.moves,
        swing: 0.0,
        burst: None,
        retry: RetryRule::Never,
    };
    Run::new(options, policy.router.as_mut()).finish()
}
