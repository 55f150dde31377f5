//! Time from the notice of a leaving upstream until all nodes know it.
//!
//! Runs in virtual time with a one-way delay of 1.5 ms. In the baseline nodes only poll the
//! platform's list, which lags by 30 s, every 5 s with a random phase each.

use rand::{Rng as _, SeedableRng as _, rngs::StdRng};
use verbenahead_core::{Incarnation, UpstreamId};
use verbenahead_membership::{NewsItem, UnixMillis, UpstreamLeaving};

use crate::{
    record::Record,
    registry::MeasureOptions,
    spread::{NetworkOptions, in_virtual_time, measure_spread, policies},
};

const MEASURE: &str = "leaving";
const NODES: &[usize] = &[4, 8, 16];
const LOSSES: &[f64] = &[0.0, 0.1, 0.33];

/// Lag of the platform's list in seconds.
const LIST_LAG_S: f64 = 30.0;

/// Period with which a node polls the list, in seconds.
const LIST_POLL_S: f64 = 5.0;

/// Time from the notice until the upstream stops, in milliseconds.
const NOTICE_MS: u64 = 30_000;

/// Runs the measurement.
///
/// # Errors
///
/// When the news does not reach all nodes.
pub fn run(options: &MeasureOptions) -> anyhow::Result<()> {
    for nodes in NODES {
        for loss in LOSSES {
            let profile = format!("nodes_{nodes}/loss_{loss}/list_30s_late");
            if !options.wants(&profile) {
                continue;
            }
            for seed in options.seed_range() {
                measure(&profile, *nodes, *loss, seed)?;
            }
        }
    }
    Ok(())
}

fn measure(profile: &str, nodes: usize, loss: f64, seed: u64) -> anyhow::Result<()> {
    let print = |policy: &str, value, unit| {
        let record = Record {
            measure: MEASURE,
            profile,
            policy,
            seed,
            value,
            unit,
        };
        record.print()
    };
    print("list_only", list_only(nodes, seed), "s")?;
    for (name, push_policy) in policies() {
        let upstream = UpstreamId::try_new("upstream-7")?;
        let incarnation = Incarnation(3);
        let item = NewsItem::UpstreamLeaving(UpstreamLeaving {
            upstream: upstream.clone(),
            incarnation,
            deadline: UnixMillis(UnixMillis::now().0 + NOTICE_MS),
        });
        let network = NetworkOptions {
            nodes,
            seed,
            push_policy,
        };
        let spread = in_virtual_time(measure_spread(network, loss, item, |news| {
            news.upstream_status(&upstream, incarnation).is_some()
        }))?;
        print(&name, spread.seconds, "s")?;
    }
    Ok(())
}

/// Returns the time until the last node reads the notice from the list, in seconds.
fn list_only(nodes: usize, seed: u64) -> f64 {
    let mut rng = StdRng::seed_from_u64(seed);
    let phases = (0..nodes).map(|_| rng.random_range(0.0..LIST_POLL_S));
    LIST_LAG_S + phases.fold(0.0, f64::max)
}
