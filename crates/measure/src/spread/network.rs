//! A simulated network of membership nodes in one process.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use async_trait::async_trait;
use prost::Message;
use rand::{Rng as _, SeedableRng as _, rngs::StdRng};
use tokio::time::{Instant, sleep, timeout_at};
use verbenahead_core::{AvailabilityZone, HashMap, Incarnation, NodeId, timer::TimerService};
use verbenahead_membership::{
    Ack, Error, IndirectProbe, MemberExchange, Membership, MembershipHandles, MembershipOptions,
    NewsItem, NewsOptions, NodeIdentity, PeerTransport, Ping, PushPolicy, Result, WallClock,
};
use verbenahead_peer::wire;

use super::counts::{CallKind, Counts};

/// One-way delay of a message between two nodes.
const ONE_WAY_DELAY: Duration = Duration::from_micros(1_500);

/// Number of availability zones.
const ZONES: usize = 4;

/// `NetworkOptions` describes a network.
#[derive(Debug, Clone)]
pub struct NetworkOptions {
    /// Number of nodes.
    pub nodes: usize,
    /// Seed of message loss and of the nodes.
    pub seed: u64,
    /// Peers to which news is pushed.
    pub push_policy: PushPolicy,
}

/// `Network` carries the calls of its nodes and counts them.
pub struct Network {
    options: NetworkOptions,
    nodes: Mutex<HashMap<SocketAddr, MembershipHandles>>,
    counts: Mutex<Counts>,
    loss: Mutex<f64>,
    rng: Mutex<StdRng>,
}

impl Network {
    /// Builds a network without nodes.
    pub fn new(options: NetworkOptions) -> Arc<Self> {
        let rng = StdRng::seed_from_u64(options.seed);
        Arc::new(Self {
            options,
            nodes: Mutex::default(),
            counts: Mutex::default(),
            loss: Mutex::default(),
            rng: Mutex::new(rng),
        })
    }

    /// Returns the options.
    pub fn options(&self) -> &NetworkOptions {
        &self.options
    }

    /// Starts a node.
    ///
    /// # Errors
    ///
    /// When the state chart of members is invalid.
    pub fn start(
        self: &Arc<Self>,
        index: usize,
        seeds: Vec<SocketAddr>,
    ) -> anyhow::Result<MembershipHandles> {
        let from = address(index);
        let membership = Membership {
            options: MembershipOptions::default(),
            news_options: NewsOptions {
                push_policy: self.options.push_policy,
                ..NewsOptions::default()
            },
            identity: identity(index)?,
            seeds,
            transport: Arc::new(SimulatedTransport {
                from,
                network: self.clone(),
            }),
            clock: WallClock::default(),
            rng: StdRng::seed_from_u64(self.options.seed << 32 | index as u64),
        };
        let handles = membership.start(&TimerService)?;
        lock(&self.nodes).insert(from, handles.clone());
        Ok(handles)
    }

    /// Removes a node without notice to its peers.
    pub fn kill(&self, index: usize) {
        lock(&self.nodes).remove(&address(index));
    }

    /// Sets the probability with which a message is lost.
    pub fn set_loss(&self, probability: f64) {
        *lock(&self.loss) = probability;
    }

    /// Returns the counts since the last call and resets them.
    pub fn take_counts(&self) -> Counts {
        lock(&self.counts).take()
    }

    fn is_lost(&self) -> bool {
        let loss = *lock(&self.loss);
        lock(&self.rng).random_bool(loss)
    }

    async fn call<T, F>(
        &self,
        route: Route,
        deadline: Duration,
        request_bytes: usize,
        serve: impl FnOnce(MembershipHandles) -> F + Send,
        response_bytes: impl Fn(&T) -> usize + Send,
    ) -> Result<T>
    where
        T: Send,
        F: Future<Output = Result<T>> + Send,
    {
        let end = Instant::now() + deadline;
        let Route { kind, from, to } = route;
        let exchange = async {
            sleep(ONE_WAY_DELAY).await;
            let node = lock(&self.nodes).get(&to).cloned();
            let Some(node) = node else {
                return Err(Error::call(to, "connection refused"));
            };
            if self.is_lost() {
                std::future::pending::<()>().await;
            }
            let answer = serve(node).await?;
            sleep(ONE_WAY_DELAY).await;
            if self.is_lost() {
                std::future::pending::<()>().await;
            }
            Ok(answer)
        };
        let result = timeout_at(end, exchange)
            .await
            .unwrap_or_else(|_| Err(Error::call(to, "deadline passed")));
        let answer_bytes = result.as_ref().map_or(0, response_bytes);
        lock(&self.counts).add(kind, from, to, request_bytes + answer_bytes);
        result
    }
}

/// Kind and end points of a call.
#[derive(Debug, Clone, Copy)]
struct Route {
    kind: CallKind,
    from: SocketAddr,
    to: SocketAddr,
}

/// Peer transport of one node over the simulated network.
struct SimulatedTransport {
    from: SocketAddr,
    network: Arc<Network>,
}

impl SimulatedTransport {
    fn route(&self, kind: CallKind, to: SocketAddr) -> Route {
        let from = self.from;
        Route { kind, from, to }
    }
}

fn news_bytes(items: &[NewsItem]) -> usize {
    let items = items.iter().cloned().map(Into::into).collect();
    wire::PushNewsRequest { items }.encoded_len()
}

#[async_trait]
impl PeerTransport for SimulatedTransport {
    async fn ping(&self, peer: SocketAddr, ping: Ping, deadline: Duration) -> Result<Ack> {
        let route = self.route(CallKind::Membership, peer);
        let bytes = wire::PingRequest::from(ping.clone()).encoded_len();
        let serve =
            |node: MembershipHandles| async move { node.membership.ping_received(ping).await };
        let response_bytes = |ack: &Ack| wire::PingResponse::from(ack.clone()).encoded_len();
        self.network
            .call(route, deadline, bytes, serve, response_bytes)
            .await
    }

    async fn probe_indirectly(
        &self,
        peer: SocketAddr,
        probe: IndirectProbe,
        deadline: Duration,
    ) -> Result<bool> {
        let route = self.route(CallKind::Membership, peer);
        let bytes = wire::ProbeIndirectlyRequest::from(probe.clone()).encoded_len();
        let serve = |node: MembershipHandles| async move {
            node.membership.indirect_probe_received(probe).await
        };
        let response_bytes = |is_reached: &bool| {
            wire::ProbeIndirectlyResponse {
                is_reached: *is_reached,
            }
            .encoded_len()
        };
        self.network
            .call(route, deadline, bytes, serve, response_bytes)
            .await
    }

    async fn exchange_members(
        &self,
        peer: SocketAddr,
        exchange: MemberExchange,
        deadline: Duration,
    ) -> Result<MemberExchange> {
        let route = self.route(CallKind::Membership, peer);
        let size = |exchange: &MemberExchange| {
            wire::ExchangeMembersRequest::from(exchange.clone()).encoded_len()
        };
        let bytes = size(&exchange);
        let serve = |node: MembershipHandles| async move {
            node.membership.exchange_received(exchange).await
        };
        self.network.call(route, deadline, bytes, serve, size).await
    }

    async fn push_news(
        &self,
        peer: SocketAddr,
        items: Vec<NewsItem>,
        deadline: Duration,
    ) -> Result<()> {
        let route = self.route(CallKind::News, peer);
        let bytes = news_bytes(&items);
        let serve = |node: MembershipHandles| async move { node.news.push_received(items).await };
        self.network
            .call(route, deadline, bytes, serve, |()| 0)
            .await
    }

    async fn exchange_news(
        &self,
        peer: SocketAddr,
        items: Vec<NewsItem>,
        deadline: Duration,
    ) -> Result<Vec<NewsItem>> {
        let route = self.route(CallKind::News, peer);
        let bytes = news_bytes(&items);
        let serve =
            |node: MembershipHandles| async move { node.news.exchange_received(items).await };
        let response_bytes = |items: &Vec<NewsItem>| news_bytes(items);
        self.network
            .call(route, deadline, bytes, serve, response_bytes)
            .await
    }
}

/// Returns the address of a node.
pub fn address(index: usize) -> SocketAddr {
    let [_, _, high, low] = (index as u32).to_be_bytes();
    SocketAddr::from(([10, 0, high, low], 7_400))
}

fn identity(index: usize) -> anyhow::Result<NodeIdentity> {
    Ok(NodeIdentity {
        node: NodeId::try_new(format!("entry-{index:05}"))?,
        incarnation: Incarnation(1_764_800_000_000),
        address: address(index),
        zone: AvailabilityZone::try_new(format!("region-1-zone-{}", index % ZONES))?,
    })
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
