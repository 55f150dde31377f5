//! Small workspaces beside a large one that asks too much, and limits split over nodes.

use rand::{Rng, SeedableRng, rngs::StdRng};
use verbenahead_core::units::TokenRate;
use verbenahead_policy::{
    AdmissionOptions, LimitSplit, LimitSplitOptions, RouteOptions, Timestamp,
};

use crate::{
    fake::{
        admission::NodeAdmissions,
        conditions::{Burst, RunOptions},
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

/// Length of a run, in seconds.
const DURATION: f64 = 260.0;

/// The burst of the largest workspace.
const BURST: Burst = Burst {
    from: 60.0,
    to: 180.0,
    factor: 4.0,
    workspace: Some(0),
};

/// Part of the places that the load before the burst takes.
const BASE_LOAD: f64 = 0.5;

/// Time between two reports, and their age, in seconds.
const REPORT_PERIOD: f64 = 0.5;

/// Workspaces that count as small.
const SMALL: [usize; 2] = [3, 4];

/// Runs the measurement.
///
/// # Errors
///
/// When a record cannot be written.
pub fn run(options: &MeasureOptions) -> anyhow::Result<()> {
    for mut profile in profile::select(options.profile.as_deref()) {
        for kind in &mut profile.kinds {
            kind.turns = 1..=1;
        }
        profile.requests_per_second = BASE_LOAD * profile.full_rate();
        for has_admission in [true, false] {
            measure_shares(&profile, has_admission, options)?;
        }
    }
    measure_limits(options)
}

fn measure_shares(
    profile: &Profile,
    has_admission: bool,
    options: &MeasureOptions,
) -> anyhow::Result<()> {
    let policy = if has_admission {
        "verbenahead"
    } else {
        "no_admission"
    };
    let label = format!("{}/large_workspace_burst", profile.name);
    let series = |measure, unit| Series::new(measure, label.clone(), policy, unit);
    let mut small = series("fairness.small_in_time", "ratio");
    let mut large = series("fairness.large_in_time", "ratio");
    let mut places = series("fairness.answers_in_time", "answers/s");
    for seed in options.seed_range() {
        let outcome = run_once(profile, has_admission, seed);
        small.push(
            seed,
            in_time(&outcome, |workspace| SMALL.contains(&workspace)),
        );
        large.push(seed, in_time(&outcome, |workspace| workspace == 0));
        places.push(seed, outcome.goodput(BURST.from, BURST.to));
    }
    [small, large, places].iter().try_for_each(Series::print)
}

fn run_once(profile: &Profile, has_admission: bool, seed: u64) -> RunOutcome {
    let options = RunOptions {
        profile: profile.clone(),
        seed,
        duration: DURATION,
        report_period: REPORT_PERIOD,
        report_lag: REPORT_PERIOD,
        cache_events: None,
        reclaim: None,
        moves: MoveRule::Resend,
        swing: 0.0,
        burst: Some(BURST),
        retry: RetryRule::Never,
    };
    let mut router = OwnRouter::new(profile, RouteOptions::default());
    let admission =
        || NodeAdmissions::new(profile, AdmissionOptions::default(), &profile.workspaces);
    Run::new(options, &mut router)
        .with_admission(has_admission.then(admission))
        .finish()
}

/// Returns the part of some workspaces' requests of the burst that were answered in time. A
/// request whose caller gave up counts as not answered.
fn in_time(outcome: &RunOutcome, is_counted: impl Fn(usize) -> bool) -> f64 {
    let is_within = |at: f64| (BURST.from..BURST.to).contains(&at);
    let answers = outcome.answers.iter();
    let good = answers.filter(|a| is_counted(a.workspace) && is_within(a.asked_at) && a.is_in_time);
    let lost = outcome.lost_at.iter();
    let lost = lost.filter(|(workspace, at)| is_counted(*workspace) && is_within(*at));
    let good = good.count() as f64;
    good / (good + lost.count() as f64)
}

/// Nodes among which a limit is split.
const NODES: usize = 16;

/// The limit, in tokens per second.
const LIMIT: f64 = 10_000.0;

/// Seconds for which demand is followed.
const SECONDS: usize = 300;

/// Seconds by which a node learns late of the others' demand.
const VIEW_LAG: usize = 2;

/// Measures how much of a limit is used and exceeded while demand moves between the nodes.
fn measure_limits(options: &MeasureOptions) -> anyhow::Result<()> {
    for policy in ["verbenahead", "even_split"] {
        let series = |measure, unit| Series::new(measure, "moving_demand", policy, unit);
        let mut used = series(
            "fairness.limit_used",
            "ratio of what was wanted and allowed",
        );
        let mut over = series("fairness.limit_overshoot", "ratio of the limit");
        for seed in options.seed_range() {
            let (use_ratio, overshoot) = follow_demand(policy == "verbenahead", seed);
            used.push(seed, use_ratio);
            over.push(seed, overshoot);
        }
        used.print()?;
        over.print()?;
    }
    Ok(())
}

/// Returns the used part of the limit, and the largest excess over it.
fn follow_demand(is_split_by_demand: bool, seed: u64) -> (f64, f64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut splits = vec![LimitSplit::new(LimitSplitOptions::default()); NODES];
    let mut demands: Vec<Vec<f64>> = Vec::new();
    let (mut used, mut possible, mut overshoot) = (0.0, 0.0, 0.0_f64);
    for second in 0..SECONDS {
        let demand = match second % DEMAND_SECONDS {
            0 => draw_demand(&mut rng),
            _ => demands[second - 1].clone(),
        };
        let seen = second.saturating_sub(VIEW_LAG);
        let now = Timestamp::from_secs_f64(second as f64);
        let part = |node: usize, split: &mut LimitSplit| -> f64 {
            if !is_split_by_demand {
                return LIMIT / NODES as f64;
            }
            let view = demands.get(seen).unwrap_or(&demand);
            let others = (0..NODES).filter(|other| *other != node);
            let others: Vec<_> = others.map(|other| TokenRate(view[other])).collect();
            split
                .update(TokenRate(LIMIT), TokenRate(demand[node]), &others, now)
                .0
        };
        let parts = splits
            .iter_mut()
            .enumerate()
            .map(|(node, split)| part(node, split));
        let parts: Vec<_> = parts.collect();
        let taken: f64 = parts
            .iter()
            .zip(&demand)
            .map(|(part, want)| part.min(*want))
            .sum();
        used += taken.min(LIMIT);
        possible += demand.iter().sum::<f64>().min(LIMIT);
        overshoot = overshoot.max(taken / LIMIT - 1.0);
        demands.push(demand);
    }
    (used / possible, overshoot)
}

/// Seconds after which demand moves to other nodes.
const DEMAND_SECONDS: usize = 30;

/// Draws the demand of the nodes: a few have most of it.
fn draw_demand(rng: &mut StdRng) -> Vec<f64> {
    let total = LIMIT * rng.random_range(0.5..2.0);
    let weights: Vec<f64> = (0..NODES).map(|_| rng.random::<f64>().powi(4)).collect();
    let sum: f64 = weights.iter().sum();
    weights.iter().map(|weight| total * weight / sum).collect()
}
