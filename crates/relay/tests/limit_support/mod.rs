//! Simulated deployment of nodes in front of one replica with a limit, in virtual time.

#[path = "../network_support/mod.rs"]
mod network_support;

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use network_support::{
    Link, Network, REPORTS, STEP, address, chosen, full_roster, node_id, replica,
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use tokio::time::{Instant, sleep};
use verbenahead_core::units::RequestRate;
use verbenahead_membership::{QuotaMessage, SharedRoster};
use verbenahead_policy::RepeatBudgetOptions;
use verbenahead_relay::{
    AgreedClock, NodeCounts, QuotaTransport, ReplicaLimits, SharedQuotas, SharedQuotasOptions,
    UsageOptions, UsageTracker, dialect::CallerRequestId, upstream::UpstreamEntry,
};

pub use network_support::Condition;

/// Time for which nodes tell each other of a limit.
const NEWS_PERIOD: Duration = Duration::from_secs(10);

/// `Deployment` is a set of nodes that all know the replica.
pub struct Deployment {
    pub nodes: Vec<Node>,
    pub network: Arc<Network<QuotaMessage>>,
    /// Limit that the replica names in its answers.
    limit: Mutex<Option<RequestRate>>,
    sent: Mutex<Vec<Instant>>,
    rng: Mutex<StdRng>,
}

/// `Node` is one node of the deployment.
pub struct Node {
    limits: ReplicaLimits,
    quotas: Arc<SharedQuotas>,
    pub upstream: Arc<UpstreamEntry>,
    roster: SharedRoster,
}

impl QuotaTransport for Link<QuotaMessage> {
    fn send(&self, to: SocketAddr, message: &QuotaMessage) {
        self.carry(to, *message);
    }
}

fn usage_tracker(nodes: usize, clock: &Arc<AgreedClock>) -> Arc<UsageTracker> {
    let options = UsageOptions {
        retries: RepeatBudgetOptions::default(),
        usage_window: Duration::from_secs(5),
        usage_report_due: Duration::from_secs(10),
    };
    let tracker = UsageTracker::new(options, Arc::clone(clock));
    let (live, known) = (nodes, nodes);
    tracker.set_nodes(NodeCounts { live, known });
    Arc::new(tracker)
}

impl Deployment {
    /// Starts `count` nodes that all know each other, in front of a replica that names `limit`.
    pub fn start(count: usize, limit: f64, seed: u64) -> Arc<Self> {
        let network = Network::new(count, seed);
        let build = |n| {
            let roster = full_roster(n, count);
            let link = Link {
                from: n,
                network: Arc::clone(&network),
            };
            let quotas = Arc::new(SharedQuotas::new(
                SharedQuotasOptions::default(),
                node_id(n),
                roster.clone(),
                Arc::new(link),
            ));
            quotas.set_listed();
            let receiver = Arc::downgrade(&quotas);
            network.add_receiver(Arc::new(move |message, from| {
                if let Some(quotas) = receiver.upgrade() {
                    quotas.handle(message, from);
                }
            }));
            let clock = Arc::new(AgreedClock::default());
            let tracker = usage_tracker(count, &clock);
            Node {
                limits: ReplicaLimits::new(Arc::clone(&quotas), tracker, clock),
                quotas,
                upstream: Arc::new(replica("i-limited")),
                roster,
            }
        };
        let nodes = (0..count).map(build).collect();
        let deployment = Arc::new(Self {
            nodes,
            network,
            limit: Mutex::new(Some(RequestRate(limit))),
            sent: Mutex::default(),
            rng: Mutex::new(StdRng::seed_from_u64(seed ^ 0x5eed)),
        });
        for n in 0..count {
            tokio::spawn(Arc::clone(&deployment).step_regularly(n));
        }
        deployment
    }

    async fn step_regularly(self: Arc<Self>, n: usize) {
        while self.network.wait_for(n).await {
            self.nodes[n].quotas.step(None);
            {
                let mut roster = self.nodes[n].roster.lock();
                roster.forget_silent();
                let others = roster.known_count() - 1;
                roster.set_report_interval(STEP * others.div_ceil(REPORTS).max(1) as u32);
            }
            for _ in 0..REPORTS {
                let to = self.draw(self.nodes.len());
                if self.network.delivers_report(n, to) {
                    self.report(n, to);
                }
            }
            sleep(STEP).await;
        }
    }

    fn report(&self, from: usize, to: usize) {
        let report = self.network.next_report(from);
        let node = &self.nodes[to];
        if let Some(news) = self.nodes[from].upstream.limit_news(NEWS_PERIOD) {
            node.upstream.apply_limit_news(news, &node_id(from));
        }
        node.roster.lock().apply_report(report, address(from));
        node.quotas.clear_suspicion(&node_id(from));
    }

    /// Sets the limit that the replica names from now on.
    pub fn set_limit(&self, limit: Option<f64>) {
        *lock(&self.limit) = limit.map(RequestRate);
    }

    /// Returns the node that collects the limit, as all nodes choose it without failures.
    pub fn collector(&self) -> usize {
        let key = self.nodes[0].upstream.incarnation_key();
        chosen(key, 0..self.nodes.len())
    }

    /// Routes `demand` requests a second to the replica for `seconds`, at random nodes.
    pub async fn run(self: &Arc<Self>, seconds: f64, demand: f64) {
        let end = Instant::now() + Duration::from_secs_f64(seconds);
        while Instant::now() < end {
            tokio::spawn(Arc::clone(self).request(self.draw(self.nodes.len())));
            sleep(Duration::from_secs_f64(1.0 / demand)).await;
        }
    }

    async fn request(self: Arc<Self>, n: usize) {
        if !self.network.runs(n) {
            return;
        }
        let node = &self.nodes[n];
        let id = CallerRequestId("r".into());
        let is_sent = node.upstream.is_open() && node.limits.acquire(&id, &node.upstream).await;
        if !is_sent {
            return;
        }
        lock(&self.sent).push(Instant::now());
        sleep(Duration::from_millis(50)).await;
        let rate = *lock(&self.limit);
        node.upstream.apply_statement(rate);
    }

    fn draw(&self, below: usize) -> usize {
        lock(&self.rng).random_range(0..below)
    }

    /// Returns the most requests that the replica got in any window of 4 s since `since`.
    pub fn most_since(&self, since: Instant) -> usize {
        let window = Duration::from_secs(4);
        let sent: Vec<Instant> = self.sent_since(since);
        let in_window = |first: &Instant| {
            let is_within = |at: &&Instant| **at >= *first && **at < *first + window;
            sent.iter().filter(is_within).count()
        };
        sent.iter().map(in_window).max().unwrap_or_default()
    }

    pub fn sent_since(&self, since: Instant) -> Vec<Instant> {
        let sent = lock(&self.sent);
        sent.iter().copied().filter(|at| *at >= since).collect()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no panic")
}
