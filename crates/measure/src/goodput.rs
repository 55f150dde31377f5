//! Rate of answers in time before, during and after a burst.

use verbenahead_policy::{AdmissionOptions, RouteOptions};

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
const DURATION: f64 = 320.0;

/// `Condition` is a burst and its name.
#[derive(Debug, Clone, Copy)]
struct Condition {
    name: &'static str,
    burst: Burst,
}

/// Bursts of different length.
const CONDITIONS: [Condition; 2] = [
    Condition {
        name: "burst",
        burst: Burst {
            from: 90.0,
            to: 120.0,
            factor: 3.0,
            workspace: None,
        },
    },
    Condition {
        name: "long_burst",
        burst: Burst {
            from: 90.0,
            to: 180.0,
            factor: 3.0,
            workspace: None,
        },
    },
];

/// Load before the burst, as a fraction of the request rate that full batches sustain.
const BASE_LOAD: f64 = 0.65;

/// Period and lag of load reports, in seconds.
const REPORT_PERIOD: f64 = 0.5;

/// Window over which the rate after a burst is measured, in seconds.
const AFTER_BURST_WINDOW: f64 = 60.0;

/// Fraction of requests answered in time from which the service counts as recovered.
const RECOVERED_RATIO: f64 = 0.95;

/// Longest recovery time that is measured, in seconds.
const MAX_RECOVERY: f64 = 40.0;

/// Window over which recovery is evaluated, in seconds.
const RECOVERY_WINDOW: f64 = 10.0;

/// `Policy` is a way to handle overload.
#[derive(Debug, Clone, Copy)]
struct Policy {
    name: &'static str,
    has_admission: bool,
    retry: RetryRule,
}

/// Fraction of the callers' patience after which an attempt without a first token times out.
const TIMEOUT_RATIO: f64 = 0.25;

fn policies(patience: f64) -> [Policy; 3] {
    let timeout = patience * TIMEOUT_RATIO;
    [
        Policy {
            name: "verbenahead",
            has_admission: true,
            retry: RetryRule::Budgeted(timeout),
        },
        Policy {
            name: "no_admission",
            has_admission: false,
            retry: RetryRule::Never,
        },
        Policy {
            name: "unbounded_retry",
            has_admission: false,
            retry: RetryRule::Unbounded(timeout),
        },
    ]
}

/// Runs the measurement.
///
/// # Errors
///
/// When a record cannot be written.
pub fn run(options: &MeasureOptions) -> anyhow::Result<()> {
    for profile in profile::select(options.profile.as_deref()) {
        let profile = with_base_load(profile);
        let patience = profile.kinds.iter().map(|kind| kind.patience);
        let patience = patience.fold(f64::INFINITY, f64::min);
        for condition in &CONDITIONS {
            for policy in policies(patience) {
                measure(&profile, condition, &policy, options)?;
            }
        }
    }
    Ok(())
}

/// Sets the load before the burst. Conversations have one turn, because follow-up turns would
/// blur the end of the burst.
fn with_base_load(mut profile: Profile) -> Profile {
    for kind in &mut profile.kinds {
        kind.turns = 1..=1;
    }
    profile.requests_per_second = BASE_LOAD * profile.full_rate();
    profile
}

fn measure(
    profile: &Profile,
    condition: &Condition,
    policy: &Policy,
    options: &MeasureOptions,
) -> anyhow::Result<()> {
    let burst = condition.burst;
    let label = format!("{}/{}", profile.name, condition.name);
    let series = |measure, unit| Series::new(measure, label.clone(), policy.name, unit);
    let mut before = series("goodput.before", "answers/s");
    let mut during = series("goodput.during", "answers/s");
    let mut after = series("goodput.after_10_s", "ratio of the rate before");
    let mut recovery = series("goodput.recovery", "s");
    for seed in options.seed_range() {
        let outcome = run_once(profile, burst, policy, seed);
        let base = outcome.goodput(burst.from - 60.0, burst.from);
        before.push(seed, base);
        during.push(seed, outcome.goodput(burst.from, burst.to));
        let from = burst.to + 10.0;
        after.push(
            seed,
            outcome.goodput(from, from + AFTER_BURST_WINDOW) / base,
        );
        recovery.push(seed, recovery_time(&outcome, burst));
    }
    [before, during, after, recovery]
        .iter()
        .try_for_each(Series::print)
}

fn run_once(profile: &Profile, burst: Burst, policy: &Policy, seed: u64) -> RunOutcome {
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
        burst: Some(burst),
        retry: policy.retry,
    };
    let mut router = OwnRouter::new(profile, RouteOptions::default());
    let admission =
        || NodeAdmissions::new(profile, AdmissionOptions::default(), &profile.workspaces);
    let admission = policy.has_admission.then(admission);
    Run::new(options, &mut router)
        .with_admission(admission)
        .finish()
}

/// Returns the time from the end of the burst until requests are answered in time again, in
/// seconds, at most `MAX_RECOVERY`.
fn recovery_time(outcome: &RunOutcome, burst: Burst) -> f64 {
    let last = MAX_RECOVERY;
    let seconds = 0..last as u32;
    let is_good = |delay: &u32| {
        let from = burst.to + f64::from(*delay);
        outcome.good_ratio(from, from + RECOVERY_WINDOW) >= RECOVERED_RATIO
    };
    seconds
        .map(f64::from)
        .zip(0..)
        .find(|(_, s)| is_good(s))
        .map_or(last, |(s, _)| s)
}
