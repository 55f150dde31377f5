//! A simulated network between memberships in one process, with message loss, broken links and
//! frozen nodes.

#![allow(dead_code)]

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use async_trait::async_trait;
use rand::{Rng as _, SeedableRng as _, rngs::StdRng};
use tokio::{
    sync::mpsc,
    time::{Instant, sleep, sleep_until, timeout_at},
};
use verbenahead_core::{
    AvailabilityZone, HashMap, HashSet, Incarnation, NodeId,
    timer::{Tick, TimerService},
};
use verbenahead_membership::{
    Ack, Error, IndirectProbe, Member, MemberExchange, MemberState, Membership, MembershipHandles,
    MembershipOptions, NewsItem, NewsOptions, NodeIdentity, PeerTransport, Ping, Result,
    UnixMillis, WallClock,
};

pub const ONE_WAY_DELAY: Duration = Duration::from_micros(1_500);
pub const START: UnixMillis = UnixMillis(1_000_000_000_000);
pub const ZONES: usize = 4;

const TICK_PERIOD: Duration = Duration::from_millis(250);
const FROZEN_POLL: Duration = Duration::from_millis(50);

#[derive(Default)]
struct Faults {
    cuts: HashSet<(SocketAddr, SocketAddr)>,
    frozen: HashSet<SocketAddr>,
    loss: f64,
}

pub struct Network {
    nodes: Mutex<HashMap<SocketAddr, MembershipHandles>>,
    faults: Mutex<Faults>,
    rng: Mutex<StdRng>,
}

impl Network {
    pub fn new(seed: u64) -> Arc<Self> {
        Arc::new(Self {
            nodes: Mutex::default(),
            faults: Mutex::default(),
            rng: Mutex::new(StdRng::seed_from_u64(seed)),
        })
    }

    pub fn start(self: &Arc<Self>, index: usize, seeds: Vec<SocketAddr>) -> MembershipHandles {
        self.start_incarnation(index, 1, seeds)
    }

    pub fn start_incarnation(
        self: &Arc<Self>,
        index: usize,
        incarnation: u64,
        seeds: Vec<SocketAddr>,
    ) -> MembershipHandles {
        self.start_with_identity(identity(index, incarnation), seeds, index as u64)
    }

    pub fn start_with_identity(
        self: &Arc<Self>,
        identity: NodeIdentity,
        seeds: Vec<SocketAddr>,
        seed: u64,
    ) -> MembershipHandles {
        let from = identity.address;
        let membership = Membership {
            options: MembershipOptions::default(),
            news_options: NewsOptions::default(),
            identity,
            seeds,
            transport: Arc::new(Link {
                from,
                network: self.clone(),
            }),
            clock: WallClock::starting_at(START),
            rng: StdRng::seed_from_u64(seed),
        };
        let ticks = self.gated_ticks(from);
        let handles = membership
            .start_with_ticks(ticks, &TimerService)
            .expect("the chart is valid");
        self.nodes().insert(from, handles.clone());
        handles
    }

    /// Removes a node without an announcement to the others.
    pub fn kill(&self, index: usize) {
        self.nodes().remove(&address(index));
    }

    /// Drops all messages from `from` to `to`.
    pub fn cut_one_way(&self, from: usize, to: usize) {
        self.faults().cuts.insert((address(from), address(to)));
    }

    pub fn cut(&self, a: usize, b: usize) {
        self.cut_one_way(a, b);
        self.cut_one_way(b, a);
    }

    pub fn heal(&self) {
        self.faults().cuts.clear();
    }

    pub fn freeze(&self, index: usize) {
        self.faults().frozen.insert(address(index));
    }

    pub fn thaw(&self, index: usize) {
        self.faults().frozen.remove(&address(index));
    }

    /// Sets the probability with which a message is lost.
    pub fn set_loss(&self, share: f64) {
        self.faults().loss = share;
    }

    fn nodes(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, MembershipHandles>> {
        self.nodes.lock().expect("no test thread panicked")
    }

    fn faults(&self) -> std::sync::MutexGuard<'_, Faults> {
        self.faults.lock().expect("no test thread panicked")
    }

    /// Returns the ticks of a node, which are held back while it is frozen.
    fn gated_ticks(self: &Arc<Self>, node: SocketAddr) -> mpsc::Receiver<Tick> {
        let mut ticks = TimerService.subscribe(TICK_PERIOD, TICK_PERIOD);
        let (tx, rx) = mpsc::channel(1);
        let network = self.clone();
        tokio::spawn(async move {
            while let Some(tick) = ticks.recv().await {
                network.wait_while_frozen(node).await;
                if tx.send(tick).await.is_err() {
                    return;
                }
            }
        });
        rx
    }

    async fn wait_while_frozen(&self, node: SocketAddr) {
        while self.faults().frozen.contains(&node) {
            sleep(FROZEN_POLL).await;
        }
    }

    fn is_lost(&self, from: SocketAddr, to: SocketAddr) -> bool {
        let faults = self.faults();
        let is_cut = faults.cuts.contains(&(from, to));
        let mut rng = self.rng.lock().expect("no test thread panicked");
        is_cut || rng.random_bool(faults.loss)
    }

    fn node(&self, address: SocketAddr) -> Option<MembershipHandles> {
        self.nodes().get(&address).cloned()
    }

    /// Delivers a request and its answer, and fails at the deadline.
    async fn call<T, F>(
        &self,
        from: SocketAddr,
        to: SocketAddr,
        deadline: Duration,
        serve: impl FnOnce(MembershipHandles) -> F + Send,
    ) -> Result<T>
    where
        F: Future<Output = Result<T>> + Send,
    {
        let end = Instant::now() + deadline;
        let exchange = async {
            sleep(ONE_WAY_DELAY).await;
            self.wait_while_frozen(to).await;
            let Some(node) = self.node(to) else {
                return Err(Error::call(to, "connection refused"));
            };
            if self.is_lost(from, to) {
                std::future::pending::<()>().await;
            }
            let answer = serve(node).await;
            sleep(ONE_WAY_DELAY).await;
            if self.is_lost(to, from) {
                std::future::pending::<()>().await;
            }
            answer
        };
        let result = timeout_at(end, exchange)
            .await
            .unwrap_or_else(|_| Err(Error::call(to, "deadline passed")));
        self.wait_while_frozen(from).await;
        result
    }
}

struct Link {
    from: SocketAddr,
    network: Arc<Network>,
}

#[async_trait]
impl PeerTransport for Link {
    async fn ping(&self, peer: SocketAddr, ping: Ping, deadline: Duration) -> Result<Ack> {
        self.network
            .call(self.from, peer, deadline, |node| async move {
                node.membership.ping_received(ping).await
            })
            .await
    }

    async fn probe_indirectly(
        &self,
        peer: SocketAddr,
        probe: IndirectProbe,
        deadline: Duration,
    ) -> Result<bool> {
        self.network
            .call(self.from, peer, deadline, |node| async move {
                node.membership.indirect_probe_received(probe).await
            })
            .await
    }

    async fn exchange_members(
        &self,
        peer: SocketAddr,
        exchange: MemberExchange,
        deadline: Duration,
    ) -> Result<MemberExchange> {
        self.network
            .call(self.from, peer, deadline, |node| async move {
                node.membership.exchange_received(exchange).await
            })
            .await
    }

    async fn push_news(
        &self,
        peer: SocketAddr,
        items: Vec<NewsItem>,
        deadline: Duration,
    ) -> Result<()> {
        self.network
            .call(self.from, peer, deadline, |node| async move {
                node.news.push_received(items).await
            })
            .await
    }

    async fn exchange_news(
        &self,
        peer: SocketAddr,
        items: Vec<NewsItem>,
        deadline: Duration,
    ) -> Result<Vec<NewsItem>> {
        self.network
            .call(self.from, peer, deadline, |node| async move {
                node.news.exchange_received(items).await
            })
            .await
    }
}

pub fn address(index: usize) -> SocketAddr {
    let index = u16::try_from(index).expect("few nodes");
    SocketAddr::from(([127, 0, 0, 1], 10_000 + index))
}

pub fn node_id(index: usize) -> NodeId {
    NodeId::try_new(format!("node-{index}")).expect("a valid id")
}

pub fn zone(index: usize) -> AvailabilityZone {
    AvailabilityZone::try_new(format!("zone-{}", index % ZONES)).expect("a valid zone")
}

pub fn identity(index: usize, incarnation: u64) -> NodeIdentity {
    NodeIdentity {
        node: node_id(index),
        incarnation: Incarnation(incarnation),
        address: address(index),
        zone: zone(index),
    }
}

/// Starts nodes whose seeds are the first two, and waits until all know each other.
pub async fn start_all(network: &Arc<Network>, count: usize) -> Vec<MembershipHandles> {
    let nodes: Vec<_> = (0..count)
        .map(|index| network.start(index, vec![address(0), address(1)]))
        .collect();
    let all: Vec<_> = (0..count).collect();
    for node in &nodes {
        until(|| alive(node) == all, Duration::from_secs(30)).await;
    }
    nodes
}

/// Returns the indices of the members that `node` sees in `state`.
pub fn in_state(node: &MembershipHandles, state: MemberState) -> Vec<usize> {
    let members = node.membership.members();
    let mut indices: Vec<_> = members
        .iter()
        .filter(|member| member.state == state)
        .map(index_of)
        .collect();
    indices.sort_unstable();
    indices
}

pub fn alive(node: &MembershipHandles) -> Vec<usize> {
    in_state(node, MemberState::Alive)
}

fn index_of(member: &Member) -> usize {
    let text = member.node.as_str().trim_start_matches("node-");
    text.parse().expect("ids end with the index")
}

/// Waits in virtual time until `condition` holds. Panics if it does not hold within `limit`.
pub async fn until(condition: impl Fn() -> bool, limit: Duration) {
    let end = Instant::now() + limit;
    while !condition() {
        assert!(Instant::now() < end, "the condition did not hold in time");
        sleep_until(Instant::now() + Duration::from_millis(20)).await;
    }
}
