//! Answers in time through a burst and after it.

use verbenahead_policy::{AdmissionOptions, RouteOptions};

use crate::{
    fake::{
        door::Door,
        outcome::RunOutcome,
        profile::{self, Profile},
        retry::RetryRule,
        run::{Burst, Run, RunOptions},
    },
    registry::MeasureOptions,
    router::{Router, baseline::LeastReported, own::OwnRouter},
    summary::Series,
};

/// Length of a run, in seconds.
const DURATION: f64 = 300.0;

/// The burst.
const BURST: Burst = Burst {
    from: 90.0,
    to: 120.0,
    factor: 3.0,
    workspace: None,
};

/// Part of the places that the load before the burst takes.
const BASE_LOAD: f64 = 0.65;

/// Time between two reports, and their age, in seconds.
const REPORT_PERIOD: f64 = 0.5;

/// Part of the requests that must be answered in time to count as recovered.
const RECOVERED: f64 = 0.95;

/// Length of the window over which recovery is judged, in seconds.
const WINDOW: f64 = 10.0;

/// `Policy` is a way to treat overload.
#[derive(Debug, Clone, Copy)]
struct Policy {
    name: &'static str,
    has_admission: bool,
    has_own_routing: bool,
    retry: RetryRule,
}

/// Part of the callers' patience after which an attempt without a first token is overdue.
const TIMEOUT_RATIO: f64 = 0.25;

fn policies(patience: f64) -> [Policy; 3] {
    let timeout = patience * TIMEOUT_RATIO;
    [
        Policy {
            name: "verbenahead",
            has_admission: true,
            has_own_routing: true,
            retry: RetryRule::Budgeted(timeout),
        },
        Policy {
            name: "no_admission",
            has_admission: false,
            has_own_routing: true,
            retry: RetryRule::Never,
        },
        Policy {
            name: "unbounded_retry",
            has_admission: false,
            has_own_routing: false,
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
        let profile = loaded(profile);
        let patience = profile.kinds.iter().map(|kind| kind.patience);
        let patience = patience.fold(f64::INFINITY, f64::min);
        for policy in policies(patience) {
            measure(&profile, &policy, options)?;
        }
    }
    Ok(())
}

/// Sets the load before the burst, of single requests so that the burst has a sharp end.
fn loaded(mut profile: Profile) -> Profile {
    for kind in &mut profile.kinds {
        kind.turns = 1..=1;
    }
    profile.requests_per_second = BASE_LOAD * profile.full_rate();
    profile
}

fn measure(profile: &Profile, policy: &Policy, options: &MeasureOptions) -> anyhow::Result<()> {
    let label = format!("{}/burst", profile.name);
    let series = |measure, unit| Series::new(measure, label.clone(), policy.name, unit);
    let mut before = series("goodput.before", "answers/s");
    let mut during = series("goodput.during", "answers/s");
    let mut after = series("goodput.after_10_s", "ratio of the rate before");
    let mut recovery = series("goodput.recovery", "s");
    for seed in options.seed..options.seed + options.seeds {
        let outcome = run_once(profile, policy, seed);
        let base = outcome.goodput(BURST.from - 60.0, BURST.from);
        before.push(seed, base);
        during.push(seed, outcome.goodput(BURST.from, BURST.to));
        let from = BURST.to + 10.0;
        after.push(seed, outcome.goodput(from, from + 60.0) / base);
        recovery.push(seed, recovery_time(&outcome));
    }
    [before, during, after, recovery]
        .iter()
        .try_for_each(Series::print)
}

fn run_once(profile: &Profile, policy: &Policy, seed: u64) -> RunOutcome {
    let options = RunOptions {
        profile: profile.clone(),
        seed,
        duration: DURATION,
        report_period: REPORT_PERIOD,
        report_lag: REPORT_PERIOD,
        cache_events: None,
        reclaim: None,
        burst: Some(BURST),
        retry: policy.retry,
    };
    let mut router: Box<dyn Router> = match policy.has_own_routing {
        true => Box::new(OwnRouter::new(profile, RouteOptions::default())),
        false => Box::new(LeastReported::default()),
    };
    let door = || Door::new(profile, AdmissionOptions::default(), &profile.workspaces);
    let door = policy.has_admission.then(door);
    Run::new(options, router.as_mut()).with_door(door).finish()
}

/// Returns the time after the burst from which on requests are answered in time again, or the
/// rest of the run when there is none.
fn recovery_time(outcome: &RunOutcome) -> f64 {
    let last = DURATION - BURST.to - WINDOW - MARGIN;
    let seconds = 0..last as u32;
    let is_good = |delay: &u32| {
        let from = BURST.to + f64::from(*delay);
        outcome.good_ratio(from, from + WINDOW) >= RECOVERED
    };
    seconds
        .map(f64::from)
        .zip(0..)
        .find(|(_, s)| is_good(s))
        .map_or(last, |(s, _)| s)
}

/// Time before the end of a run in which requests may still be worked on, in seconds.
const MARGIN: f64 = 90.0;
