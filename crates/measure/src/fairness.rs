//! Fairness to small workspaces during a burst of a large one, and limits split over nodes.

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

/// Duration of a run, in seconds.
const DURATION: f64 = 260.0;

/// The burst of the largest workspace.
const BURST: Burst = Burst {
    from: 60.0,
    to: 180.0,
    factor: 4.0,
    workspace: Some(0),
};

/// Load before the burst, as a fraction of the request rate that full batches sustain.
const BASE_LOAD: f64 = 0.5;

/// Period and lag of load reports, in seconds.
const REPORT_PERIOD: f64 = 0.5;

/// Indices of the small workspaces.
const SMALL_WORKSPACES: [usize; 2] = [3, 4];

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
    let mut answer_rate = series("fairness.answers_in_time", "answers/s");
    for seed in options.seed_range() {
        let outcome = run_once(profile, has_admission, seed);
        small.push(
            seed,
            in_time(&outcome, |workspace| SMALL_WORKSPACES.contains(&workspace)),
        );
        large.push(seed, in_time(&outcome, |workspace| workspace == 0));
        answer_rate.push(seed, outcome.goodput(BURST.from, BURST.to));
    }
    [small, large, answer_rate]
        .iter()
        .try_for_each(Series::print)
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

/// Returns the fraction of requests answered in time, over requests of the selected workspaces
/// during the burst. A request whose caller gave up counts as not answered.
fn in_time(outcome: &RunOutcome, is_counted: impl Fn(usize) -> bool) -> f64 {
    let is_within = |at: f64| (BURST.from..BURST.to).contains(&at);
    let answers = outcome.answers.iter();
    let good = answers.filter(|a| is_counted(a.workspace) && is_within(a.asked_at) && a.is_in_time);
    let lost = outcome.lost_at.iter();
    let lost = lost.filter(|(workspace, at)| is_counted(*workspace) && is_within(*at));
    let good = good.count() as f64;
    good / (good + lost.count() as f64)
}

/// Number of nodes over which the limit is split.
const NODES: usize = 16;

/// The limit, in tokens per second.
const TOKEN_LIMIT: f64 = 10_000.0;

/// Duration of the simulation, in seconds.
const SIMULATED_SECONDS: usize = 300;

/// Delay with which a node sees the demand on other nodes, in seconds.
const VIEW_LAG_SECONDS: usize = 2;

/// Measures how much of a limit is used, and by how much it is exceeded, while demand shifts
/// between nodes.
fn measure_limits(options: &MeasureOptions) -> anyhow::Result<()> {
    for policy in ["verbenahead", "even_split"] {
        let series = |measure, unit| Series::new(measure, "moving_demand", policy, unit);
        let mut used = series(
            "fairness.limit_used",
            "ratio of what was wanted and allowed",
        );
        let mut over = series("fairness.limit_overshoot", "ratio of the limit");
        for seed in options.seed_range() {
            let (use_ratio, overshoot) = simulate_limit(policy == "verbenahead", seed);
            used.push(seed, use_ratio);
            over.push(seed, overshoot);
        }
        used.print()?;
        over.print()?;
    }
    Ok(())
}

/// Simulates shifting demand. Returns the used fraction of the allowed demand and the largest
/// overshoot, as a fraction of the limit.
fn simulate_limit(is_split_by_demand: bool, seed: u64) -> (f64, f64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut splits = vec![LimitSplit::new(LimitSplitOptions::default()); NODES];
    let mut demands: Vec<Vec<f64>> = Vec::new();
    let (mut used, mut possible, mut overshoot) = (0.0, 0.0, 0.0_f64);
    for second in 0..SIMULATED_SECONDS {
        let demand = match second % DEMAND_SHIFT_SECONDS {
            0 => draw_demand(&mut rng),
            _ => demands[second - 1].clone(),
        };
        let seen = second.saturating_sub(VIEW_LAG_SECONDS);
        let now = Timestamp::from_secs_f64(second as f64);
        let share = |node: usize, split: &mut LimitSplit| -> f64 {
            if !is_split_by_demand {
                return TOKEN_LIMIT / NODES as f64;
            }
            let view = demands.get(seen).unwrap_or(&demand);
            let others = (0..NODES).filter(|other| *other != node);
            let others: Vec<_> = others.map(|other| TokenRate(view[other])).collect();
            split
                .update(
                    TokenRate(TOKEN_LIMIT),
                    TokenRate(demand[node]),
                    &others,
                    now,
                )
                .0
        };
        let shares = splits
            .iter_mut()
            .enumerate()
            .map(|(node, split)| share(node, split));
        let shares: Vec<_> = shares.collect();
        let taken: f64 = shares
            .iter()
            .zip(&demand)
            .map(|(share, wanted)| share.min(*wanted))
            .sum();
        used += taken.min(TOKEN_LIMIT);
        possible += demand.iter().sum::<f64>().min(TOKEN_LIMIT);
        overshoot = overshoot.max(taken / TOKEN_LIMIT - 1.0);
        demands.push(demand);
    }
    (used / possible, overshoot)
}

/// Period after which demand shifts to other nodes, in seconds.
const DEMAND_SHIFT_SECONDS: usize = 30;

/// Draws a skewed demand per node, in tokens per second.
fn draw_demand(rng: &mut StdRng) -> Vec<f64> {
    let total = TOKEN_LIMIT * rng.random_range(0.5..2.0);
    let weights: Vec<f64> = (0..NODES).map(|_| rng.random::<f64>().powi(4)).collect();
    let sum: f64 = weights.iter().sum();
    weights.iter().map(|weight| total * weight / sum).collect()
}
