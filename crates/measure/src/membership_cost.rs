//! Bytes, calls and processor time of the membership per node.
//!
//! The nodes run in virtual time with a one-way delay of 1.5 ms, and the bytes of their encoded
//! messages are counted. The overhead per call and per connection is measured on a real
//! connection with mutual TLS. Bytes are those sent and received by a node, without TCP and IP
//! headers.

use std::{net::SocketAddr, time::Duration};

use anyhow::ensure;
use tokio::time::{Instant, sleep};
use verbenahead_membership::{MemberState, MembershipHandles, PushPolicy};

use crate::{
    record::Record,
    registry::MeasureOptions,
    spread::{
        Counts, Network, NetworkOptions, WireCost, in_virtual_time, measure_wire_cost, start_nodes,
    },
};

const MEASURE: &str = "membership_cost";
const POLICY: &str = "ring_probes";
const NODES: &[usize] = &[4, 16, 64, 330];

/// Time before counting starts, in which connections are opened and claims stop being forwarded.
const WARM_UP: Duration = Duration::from_secs(300);

/// Time over which calls are counted.
const COUNTING_TIME: Duration = Duration::from_secs(120);

/// Time between two replacements of a node in the profile `replacement`.
const REPLACEMENT_PERIOD: Duration = Duration::from_secs(10);

/// Time limit for all nodes to see a killed node as dead.
const DETECTION_LIMIT: Duration = Duration::from_secs(120);

/// Polling period of the nodes' state.
const POLL_PERIOD: Duration = Duration::from_millis(10);

/// `Condition` is what happens to the nodes while calls are counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Condition {
    Quiet,
    Replacement,
}

/// `Cost` is the result of one run.
struct Cost {
    counts: Counts,
    core_fraction: f64,
    detection_s: Option<f64>,
}

/// Runs the measurement.
///
/// # Errors
///
/// When the nodes do not discover each other, or a killed node is not detected in time.
pub fn run(options: &MeasureOptions) -> anyhow::Result<()> {
    let wire = measure_wire_cost()?;
    for (value, unit) in [
        (wire.connection_bytes, "bytes per new connection"),
        (wire.call_overhead_bytes, "bytes per call beside messages"),
    ] {
        print("wire/mutual_tls", options.seed, value, unit)?;
    }
    for nodes in NODES {
        for (name, condition) in [
            ("quiet", Condition::Quiet),
            ("replacement", Condition::Replacement),
        ] {
            let profile = format!("nodes_{nodes}/{name}");
            if !options.wants(&profile) {
                continue;
            }
            for seed in options.seed_range() {
                measure(&profile, *nodes, condition, seed, wire)?;
            }
        }
    }
    Ok(())
}

fn measure(
    profile: &str,
    nodes: usize,
    condition: Condition,
    seed: u64,
    wire: WireCost,
) -> anyhow::Result<()> {
    let cost = in_virtual_time(run_once(nodes, condition, seed))?;
    if let Some(detection_s) = cost.detection_s {
        print(
            profile,
            seed,
            detection_s,
            "s until a killed node is dead for all",
        )?;
    }
    let counts = &cost.counts;
    let calls = (counts.membership.calls + counts.news.calls) as f64;
    let messages = (counts.membership.bytes + counts.news.bytes) as f64;
    let connections = (counts.membership.connections + counts.news.connections) as f64;
    let bytes = messages + calls * wire.call_overhead_bytes + connections * wire.connection_bytes;
    // Each call counts at both of its ends.
    let per_node = 2.0 / nodes as f64 / COUNTING_TIME.as_secs_f64();
    print(
        profile,
        seed,
        calls * per_node,
        "calls/s made and served per node",
    )?;
    print(profile, seed, messages * per_node, "message B/s per node")?;
    print(profile, seed, bytes * per_node, "B/s per node")?;
    print(
        profile,
        seed,
        100.0 * cost.core_fraction,
        "% of a core per node without transport",
    )
}

async fn run_once(nodes: usize, condition: Condition, seed: u64) -> anyhow::Result<Cost> {
    let network = Network::new(NetworkOptions {
        nodes,
        seed,
        push_policy: PushPolicy::default(),
    });
    let mut handles = start_nodes(&network).await?;
    sleep(WARM_UP).await;
    network.take_counts();
    let start = std::time::Instant::now();
    match condition {
        Condition::Quiet => sleep(COUNTING_TIME).await,
        Condition::Replacement => {
            let rounds = COUNTING_TIME.as_secs() / REPLACEMENT_PERIOD.as_secs();
            for round in 0..usize::try_from(rounds)? {
                let seeds = seeds_after(round, nodes);
                handles.remove(0).membership.depart().await?;
                network.kill(round);
                handles.push(network.start(nodes + round, seeds)?);
                sleep(REPLACEMENT_PERIOD).await;
            }
        }
    }
    let busy = start.elapsed().as_secs_f64();
    let counts = network.take_counts();
    let detection_s = match condition {
        Condition::Quiet => {
            network.kill(nodes - 1);
            handles.truncate(nodes - 1);
            Some(detection_time(&handles).await?)
        }
        Condition::Replacement => None,
    };
    Ok(Cost {
        counts,
        core_fraction: busy / COUNTING_TIME.as_secs_f64() / nodes as f64,
        detection_s,
    })
}

/// Returns the time until all survivors see a killed node as dead, in seconds.
async fn detection_time(survivors: &[MembershipHandles]) -> anyhow::Result<f64> {
    let start = Instant::now();
    let sees_dead_node = |node: &MembershipHandles| {
        let members = node.membership.members();
        members
            .iter()
            .any(|member| member.state == MemberState::Dead)
    };
    while !survivors.iter().all(sees_dead_node) {
        ensure!(
            start.elapsed() < DETECTION_LIMIT,
            "measure: a killed node was not found dead"
        );
        sleep(POLL_PERIOD).await;
    }
    Ok(start.elapsed().as_secs_f64())
}

/// Returns the addresses of two nodes that still run after the round.
fn seeds_after(round: usize, nodes: usize) -> Vec<SocketAddr> {
    let last = round + nodes - 1;
    [round + 1, last].map(crate::spread::address).into()
}

fn print(profile: &str, seed: u64, value: f64, unit: &str) -> anyhow::Result<()> {
    let record = Record {
        measure: MEASURE,
        profile,
        policy: POLICY,
        seed,
        value,
        unit,
    };
    record.print()
}
