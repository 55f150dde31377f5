//! Fleet cost, and how far the latency target for the first token is met.

use verbenahead_policy::RouteOptions;

use crate::{
    fake::{
        conditions::{Reclaim, RunOptions},
        fleet::{Fleet, FleetRule, Refusals},
        moves::MoveRule,
        outcome::RunOutcome,
        profile::{self, Profile},
        retry::RetryRule,
        run::Run,
    },
    registry::MeasureOptions,
    router::own::OwnRouter,
    summary::Series,
};

/// Duration of a run, in seconds.
const DURATION: f64 = 3600.0;

/// Warm-up time whose latencies are not counted, in seconds.
const WARM_UP: f64 = 300.0;

/// Period and lag of load reports, in seconds.
const REPORT_PERIOD: f64 = 1.0;

/// Relative amplitude of the load around its mean.
const LOAD_SWING: f64 = 0.3;

/// Reclaim of a zone, near the peak of the load.
const RECLAIM: Reclaim = Reclaim {
    zone: 2,
    at: 2200.0,
    notice: 10.0,
};

/// Period around the reclaim in which VM starts are refused.
const REFUSALS: Refusals = Refusals {
    from: 2150.0,
    to: 2800.0,
};

/// `Condition` is what happens during a run.
#[derive(Debug, Clone, Copy)]
struct Condition {
    name: &'static str,
    reclaim: Option<Reclaim>,
    refusals: Option<Refusals>,
}

const CONDITIONS: [Condition; 3] = [
    Condition {
        name: "quiet",
        reclaim: None,
        refusals: None,
    },
    Condition {
        name: "zone_reclaimed",
        reclaim: Some(RECLAIM),
        refusals: None,
    },
    Condition {
        name: "refused_starts",
        reclaim: Some(RECLAIM),
        refusals: Some(REFUSALS),
    },
];

/// Fleet policies with their names.
const POLICIES: [(&str, FleetRule); 3] = [
    ("verbenahead", FleetRule::Own),
    ("on_demand_only", FleetRule::OnDemandOnly),
    ("on_demand_without_spare", FleetRule::OnDemandWithoutSpare),
];

/// Runs the measurement.
///
/// # Errors
///
/// When a record cannot be written.
pub fn run(options: &MeasureOptions) -> anyhow::Result<()> {
    for profile in profile::select(options.profile.as_deref()) {
        for condition in &CONDITIONS {
            for (name, rule) in POLICIES {
                measure(&profile, condition, name, rule, options)?;
            }
        }
    }
    Ok(())
}

fn measure(
    profile: &Profile,
    condition: &Condition,
    policy: &str,
    rule: FleetRule,
    options: &MeasureOptions,
) -> anyhow::Result<()> {
    let label = format!("{}/{}", profile.name, condition.name);
    let series = |measure, unit| Series::new(measure, label.clone(), policy, unit);
    let mut cost = series("cost_at_latency", "price");
    let mut p95 = series("cost_at_latency.first_token_p95", "ms");
    let mut met = series("cost_at_latency.first_token_met", "ratio");
    let mut after = series("cost_at_latency.met_after_reclaim", "ratio");
    for seed in options.seed_range() {
        let outcome = run_once(profile, condition, rule, seed);
        let target = profile.first_token.as_secs_f64();
        cost.push(seed, outcome.cost);
        p95.push(
            seed,
            outcome.first_token_quantile(0.95, WARM_UP, DURATION) * 1000.0,
        );
        met.push(seed, outcome.first_token_met(target, WARM_UP, DURATION));
        let from = RECLAIM.at - RECLAIM.notice;
        after.push(
            seed,
            outcome.first_token_met(target, from, from + AFTER_RECLAIM_WINDOW),
        );
    }
    [cost, p95, met, after].iter().try_for_each(Series::print)
}

/// Window after the reclaim notice over which the target is evaluated, in seconds.
const AFTER_RECLAIM_WINDOW: f64 = 300.0;

fn run_once(profile: &Profile, condition: &Condition, rule: FleetRule, seed: u64) -> RunOutcome {
    let options = RunOptions {
        profile: profile.clone(),
        seed,
        duration: DURATION,
        report_period: REPORT_PERIOD,
        report_lag: REPORT_PERIOD,
        cache_events: None,
        reclaim: condition.reclaim,
        moves: MoveRule::Planned,
        swing: LOAD_SWING,
        burst: None,
        retry: RetryRule::Never,
    };
    let mut router = OwnRouter::new(profile, RouteOptions::default());
    let fleet = Fleet::new(profile, rule, condition.refusals);
    Run::new(options, &mut router)
        .with_fleet(Some(fleet))
        .finish()
}
