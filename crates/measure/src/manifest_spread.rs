//! Time from the publication of a manifest until all nodes know its head.
//!
//! Runs in virtual time with a one-way delay of 1.5 ms, without the time to fetch and apply the
//! body. In the baseline each node polls the head every 10 s with a random phase.

use rand::{Rng as _, SeedableRng as _, rngs::StdRng};
use verbenahead_core::{Digest, Generation};
use verbenahead_membership::{ManifestHead, NewsItem};

use crate::{
    record::Record,
    registry::MeasureOptions,
    spread::{NetworkOptions, Spread, in_virtual_time, measure_spread, policies},
};

const MEASURE: &str = "manifest_spread";
const NODES: &[usize] = &[4, 8, 16, 64, 330];
const LOSSES: &[f64] = &[0.0, 0.1, 0.33];

/// Period with which a node polls the head, in seconds.
const HEAD_POLL_S: f64 = 10.0;

/// Runs the measurement.
///
/// # Errors
///
/// When the news does not reach all nodes.
pub fn run(options: &MeasureOptions) -> anyhow::Result<()> {
    for nodes in NODES {
        for loss in LOSSES {
            let profile = format!("nodes_{nodes}/loss_{loss}");
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
    print("poll_only", poll_only(nodes, seed), "s")?;
    for (name, push_policy) in policies() {
        let head = ManifestHead {
            generation: Generation(7),
            digest: Digest::of("manifest"),
        };
        let network = NetworkOptions {
            nodes,
            seed,
            push_policy,
        };
        let item = NewsItem::ManifestHead(head);
        let spread = in_virtual_time(measure_spread(network, loss, item, |news| {
            news.manifest_head == Some(head)
        }))?;
        let Spread {
            seconds,
            calls,
            bytes,
            connections,
        } = spread;
        print(&name, seconds, "s")?;
        let nodes = nodes as f64;
        print(&name, calls / nodes, "calls per node")?;
        print(&name, bytes / nodes, "message bytes per node")?;
        print(&name, connections / nodes, "new connections per node")?;
    }
    Ok(())
}

/// Returns the time until the last node reads the head, in seconds.
fn poll_only(nodes: usize, seed: u64) -> f64 {
    let mut rng = StdRng::seed_from_u64(seed);
    let phases = (0..nodes).map(|_| rng.random_range(0.0..HEAD_POLL_S));
    phases.fold(0.0, f64::max)
}
