//! Simulated network for the measurements of membership and news: it runs in virtual time and
//! counts the bytes of the encoded messages.

mod counts;
mod network;
mod wire_cost;

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use anyhow::ensure;
use tokio::time::{Instant, sleep};
use verbenahead_membership::{MembershipHandles, NewsItem, NewsSnapshot, PushPolicy};

pub use counts::Counts;
pub use network::{Network, NetworkOptions, address};
pub use wire_cost::{WireCost, measure_wire_cost};

/// Time limit for the nodes of a run to discover each other.
const JOIN_LIMIT: Duration = Duration::from_secs(300);

/// Time limit for an item to reach all nodes.
const SPREAD_LIMIT: Duration = Duration::from_secs(300);

/// Polling period of the nodes' state.
const POLL_PERIOD: Duration = Duration::from_millis(1);

/// Idle time before the publication, longer than the idle timeout of connections.
const IDLE_TIME: Duration = Duration::from_secs(90);

/// `Spread` is the time and traffic for one news item to reach all nodes.
#[derive(Debug, Clone, Copy)]
pub struct Spread {
    /// Seconds from the publication until the last node knew the item.
    pub seconds: f64,
    /// News calls of all nodes.
    pub calls: f64,
    /// Message bytes of these calls.
    pub bytes: f64,
    /// Connections opened for these calls.
    pub connections: f64,
}

/// Runs an async measurement in virtual time.
///
/// # Errors
///
/// When the runtime cannot be built or the measurement fails.
pub fn in_virtual_time<T>(run: impl Future<Output = anyhow::Result<T>>) -> anyhow::Result<T> {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()?
        .block_on(run)
}

/// Publishes an item on one node of an idle network and waits until all nodes know it.
///
/// # Errors
///
/// When the nodes do not discover each other or the item does not reach all nodes in time.
pub async fn measure_spread(
    options: NetworkOptions,
    loss: f64,
    item: NewsItem,
    is_known: impl Fn(&NewsSnapshot) -> bool,
) -> anyhow::Result<Spread> {
    let network = Network::new(options.clone());
    let nodes = start_nodes(&network).await?;
    sleep(IDLE_TIME).await;
    network.take_counts();
    network.set_loss(loss);
    let start = Instant::now();
    let publisher = usize::try_from(options.seed)? % nodes.len();
    nodes[publisher].news.publish(item).await?;
    let news: Vec<_> = nodes.iter().map(|node| node.news.subscribe()).collect();
    while !news.iter().all(|news| is_known(&news.borrow())) {
        ensure!(
            start.elapsed() < SPREAD_LIMIT,
            "measure: the item did not reach all nodes"
        );
        sleep(POLL_PERIOD).await;
    }
    let seconds = start.elapsed().as_secs_f64();
    sleep(Duration::from_secs(1)).await;
    let counts = network.take_counts();
    Ok(Spread {
        seconds,
        calls: counts.news.calls as f64,
        bytes: counts.news.bytes as f64,
        connections: counts.news.connections as f64,
    })
}

/// Starts all nodes of a network and waits until each sees all others alive.
///
/// # Errors
///
/// When a node cannot be started or `JOIN_LIMIT` passes first.
pub async fn start_nodes(network: &Arc<Network>) -> anyhow::Result<Vec<MembershipHandles>> {
    let count = network.options().nodes;
    let seeds: Vec<SocketAddr> = (0..3).map(network::address).collect();
    let mut nodes = Vec::with_capacity(count);
    for index in 0..count {
        nodes.push(network.start(index, seeds.clone())?);
    }
    let start = Instant::now();
    let knows_all = |node: &MembershipHandles| {
        let members = node.membership.members();
        members.iter().filter(|member| member.is_alive()).count() == count
    };
    while !nodes.iter().all(knows_all) {
        ensure!(
            start.elapsed() < JOIN_LIMIT,
            "measure: the nodes did not find each other"
        );
        sleep(Duration::from_millis(500)).await;
    }
    Ok(nodes)
}

/// Returns the push policies to compare, by name.
pub fn policies() -> BTreeMap<String, PushPolicy> {
    let policies = [
        PushPolicy::AllPeers,
        PushPolicy::RingTargets,
        PushPolicy::AllPeersAndRingTargets,
    ];
    policies.map(|policy| (policy.to_string(), policy)).into()
}
