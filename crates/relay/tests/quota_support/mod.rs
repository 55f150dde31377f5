//! Simulated deployment of nodes that share a quota, in virtual time.
//!
//! A network with delay and loss carries the messages between the nodes. A model records what all
//! nodes admit, to compare it with the quota over sliding windows.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, Weak},
    time::Duration,
};

use rand::{Rng, SeedableRng, rngs::StdRng, seq::SliceRandom};
use tokio::time::{Instant, sleep, sleep_until};
use verbenahead_core::{
    AvailabilityZone, Generation, Incarnation, NodeId, WorkspaceId, time::UnixMillis, units::Tokens,
};
use verbenahead_manifest::{CallerLimits, Quota, QuotaUnit, RouteTable, RoutedWorkspace};
use verbenahead_membership::{NodeReport, QuotaMessage, Roster, RosterOptions, SharedRoster};
use verbenahead_relay::{QuotaRefusal, QuotaTransport, SharedQuotas, SharedQuotasOptions};

/// Time between two steps of a node.
const STEP: Duration = Duration::from_millis(250);

/// Reports that a node sends in a step.
const REPORTS: usize = 2;

/// `Deployment` is a set of nodes with one workspace.
pub struct Deployment {
    pub nodes: Vec<Arc<Node>>,
    network: Arc<Network>,
    started: Instant,
    routes: Mutex<Arc<RouteTable>>,
    outcomes: Mutex<Outcomes>,
    rng: Mutex<StdRng>,
}

/// `Node` is one node of the deployment.
pub struct Node {
    id: NodeId,
    pub quotas: Arc<SharedQuotas>,
    roster: SharedRoster,
    targets: Mutex<Vec<usize>>,
    sequence: Mutex<u64>,
}

#[derive(Default)]
struct Outcomes {
    /// Time in seconds and units of each admitted request.
    admitted: Vec<(f64, f64)>,
    /// Units of the requests that were refused because the quota was used up.
    used_up: f64,
    /// Units of the requests that were refused because no collector answered.
    without_collector: f64,
    /// Longest time that a request was held.
    longest: Duration,
}

/// `Network` carries messages between the nodes.
pub struct Network {
    state: Mutex<NetworkState>,
}

struct NetworkState {
    nodes: Vec<Weak<SharedQuotas>>,
    rng: StdRng,
    loss: f64,
    delay: Duration,
    conditions: Vec<Condition>,
}

/// `Condition` is the condition of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Condition {
    /// The node runs.
    Running,
    /// The node does not run until the given time. Its messages wait.
    Paused(Instant),
    /// The node is gone.
    Dead,
    /// The node reaches only nodes of the same partition.
    Parted(usize),
}

struct Link {
    from: usize,
    network: Arc<Network>,
}

impl QuotaTransport for Link {
    fn send(&self, to: SocketAddr, message: &QuotaMessage) {
        self.network
            .carry(self.from, usize::from(to.port()), *message);
    }
}

impl Network {
    fn lock(&self) -> MutexGuard<'_, NetworkState> {
        self.state.lock().expect("no panic")
    }

    fn carry(self: &Arc<Self>, from: usize, to: usize, message: QuotaMessage) {
        let (is_lost, delay) = {
            let mut state = self.lock();
            let is_lost = !state.connects(from, to) || state.draw() < state.loss;
            (is_lost, state.delay.mul_f64(0.5 + state.draw()))
        };
        if is_lost {
            return;
        }
        let network = Arc::clone(self);
        tokio::spawn(async move {
            sleep(delay).await;
            if let Condition::Paused(until) = network.condition(to) {
                sleep_until(until).await;
            }
            let node = network.lock().nodes[to].upgrade();
            if network.condition(to) != Condition::Dead
                && let Some(node) = node
            {
                node.handle(message, address(from));
            }
        });
    }

    pub fn condition(&self, node: usize) -> Condition {
        self.lock().conditions[node]
    }
}

impl NetworkState {
    fn draw(&mut self) -> f64 {
        self.rng.random_range(0.0..1.0)
    }

    fn connects(&self, from: usize, to: usize) -> bool {
        match (self.conditions[from], self.conditions[to]) {
            (Condition::Dead, _) | (_, Condition::Dead) => false,
            (Condition::Parted(a), Condition::Parted(b)) => a == b,
            (Condition::Parted(_), _) | (_, Condition::Parted(_)) => false,
            _ => true,
        }
    }
}

fn address(node: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], node as u16))
}

fn zone() -> AvailabilityZone {
    AvailabilityZone::try_new("east").expect("valid zone")
}

fn node_id(node: usize) -> NodeId {
    NodeId::try_new(format!("node-{node}")).expect("valid id")
}

/// Returns routes with one workspace that has a quota of `rate` units per second, and a burst of one
/// second.
pub fn routes(generation: u64, rate: f64) -> Arc<RouteTable> {
    let quota = Quota {
        unit: QuotaUnit::Tokens {
            default_cost: Tokens(1),
        },
        rate,
        burst: rate,
    };
    let workspace = RoutedWorkspace {
        id: WorkspaceId::try_new("paving").expect("valid id"),
        key_digests: Vec::new(),
        rank: None,
        quota: Some(quota),
    };
    let limits = CallerLimits {
        max_header: verbenahead_core::units::ByteSize(16_384),
        max_body: verbenahead_core::units::ByteSize(100_000),
        header_timeout: Duration::from_secs(3),
        idle_timeout: Duration::from_secs(15),
    };
    let generation = Generation(generation);
    Arc::new(RouteTable::new(
        generation,
        Vec::new(),
        Vec::new(),
        vec![workspace],
        limits,
    ))
}

impl Deployment {
    /// Starts `count` nodes that all know each other, with a quota of `rate` units per second.
    /// `spare` further nodes are not known yet.
    pub fn start(count: usize, spare: usize, rate: f64, seed: u64) -> Arc<Self> {
        let network = Arc::new(Network {
            state: Mutex::new(NetworkState {
                nodes: Vec::new(),
                rng: StdRng::seed_from_u64(seed),
                loss: 0.0,
                delay: Duration::from_millis(3),
                conditions: vec![Condition::Running; count + spare],
            }),
        });
        let build = |n| {
            let roster = Roster::new(node_id(n), RosterOptions::default());
            let roster = SharedRoster::new(roster);
            let link = Link {
                from: n,
                network: Arc::clone(&network),
            };
            let quotas = SharedQuotas::new(
                SharedQuotasOptions::default(),
                node_id(n),
                roster.clone(),
                Arc::new(link),
            );
            let quotas = Arc::new(quotas);
            network.lock().nodes.push(Arc::downgrade(&quotas));
            Arc::new(Node {
                id: node_id(n),
                quotas,
                roster,
                targets: Mutex::default(),
                sequence: Mutex::new(0),
            })
        };
        let nodes: Vec<Arc<Node>> = (0..count + spare).map(build).collect();
        let deployment = Arc::new(Self {
            nodes,
            network,
            started: Instant::now(),
            routes: Mutex::new(routes(1, rate)),
            outcomes: Mutex::default(),
            rng: Mutex::new(StdRng::seed_from_u64(seed ^ 0x5eed)),
        });
        for n in 0..count {
            deployment.join(n, count);
        }
        deployment
    }

    /// Lets a node join that lists the first `listed` nodes, and starts its steps.
    pub fn join(self: &Arc<Self>, n: usize, listed: usize) {
        for other in (0..listed).filter(|other| *other != n) {
            let mut roster = self.nodes[n].roster.lock();
            roster.add_listed(node_id(other), address(other), zone());
        }
        self.nodes[n].quotas.set_listed();
        for other in 0..listed {
            self.report(n, other);
        }
        let deployment = Arc::clone(self);
        tokio::spawn(async move {
            loop {
                match deployment.network.condition(n) {
                    Condition::Dead => return,
                    Condition::Paused(until) => sleep_until(until).await,
                    Condition::Running | Condition::Parted(_) => {}
                }
                deployment.step(n);
                sleep(STEP).await;
            }
        });
    }

    fn step(&self, n: usize) {
        let node = &self.nodes[n];
        let known = {
            let mut roster = node.roster.lock();
            roster.forget_silent();
            let others = roster.known_count() - 1;
            roster.set_report_interval(STEP * others.div_ceil(REPORTS).max(1) as u32);
            roster.addresses()
        };
        for _ in 0..REPORTS {
            let mut targets = node.targets.lock().expect("no panic");
            if targets.is_empty() {
                targets.extend(known.iter().map(|to| usize::from(to.port())));
                targets.shuffle(&mut *self.rng.lock().expect("no panic"));
            }
            if let Some(to) = targets.pop() {
                self.report(n, to);
            }
        }
        let routes = Arc::clone(&self.routes.lock().expect("no panic"));
        node.quotas.step(Some(&routes));
    }

    /// Delivers a report of one node to another.
    fn report(&self, from: usize, to: usize) {
        let is_delivered = {
            let mut network = self.network.lock();
            network.connects(from, to)
                && !matches!(network.conditions[to], Condition::Paused(_))
                && network.draw() >= network.loss
        };
        if !is_delivered || from == to {
            return;
        }
        let mut sequence = self.nodes[from].sequence.lock().expect("no panic");
        *sequence += 1;
        let report = NodeReport {
            node: self.nodes[from].id.clone(),
            zone: zone(),
            incarnation: Incarnation(1),
            sequence: *sequence,
            clock: UnixMillis(1),
            agreed: None,
            generation: Generation(1),
            replicas_as_of: 0,
            reported_window: 0,
            is_leaving: false,
            reaches_store: true,
            held_lease: None,
            work: Vec::new(),
            demand: Vec::new(),
            leaving: Vec::new(),
            windows: Vec::new(),
        };
        let to = &self.nodes[to];
        to.roster.lock().apply_report(report, address(from));
        to.quotas.clear_suspicion(&self.nodes[from].id);
    }

    pub fn set_condition(&self, node: usize, condition: Condition) {
        self.network.lock().conditions[node] = condition;
    }

    pub fn set_loss(&self, loss: f64) {
        self.network.lock().loss = loss;
    }

    pub fn set_delay(&self, delay: Duration) {
        self.network.lock().delay = delay;
    }

    /// Puts another quota in force at all nodes.
    pub fn set_rate(&self, generation: u64, rate: f64) {
        *self.routes.lock().expect("no panic") = routes(generation, rate);
    }

    /// Returns the node that collects the quota, as all nodes choose it without failures.
    pub fn collector(&self, among: usize) -> usize {
        let key = verbenahead_membership::NameKey::of("paving");
        let ids: Vec<NodeId> = (0..among).map(node_id).collect();
        let chosen = verbenahead_policy::first_choice(key.0, &ids).expect("a node");
        ids.iter().position(|id| id == chosen).expect("listed")
    }

    /// Runs `seconds` of requests of 200 to 12,000 units at `demand` units per second, spread over
    /// the nodes `targets`. A request at a node that does not run is not sent.
    pub async fn run(self: &Arc<Self>, seconds: f64, demand: f64, targets: &[usize], seed: u64) {
        let mut rng = StdRng::seed_from_u64(seed);
        let end = Instant::now() + Duration::from_secs_f64(seconds);
        while Instant::now() < end {
            let units = rng.random_range(200..12_000);
            let node = targets[rng.random_range(0..targets.len())];
            let is_running = matches!(
                self.network.condition(node),
                Condition::Running | Condition::Parted(_)
            );
            if is_running {
                tokio::spawn(Arc::clone(self).request(node, units));
            }
            sleep(Duration::from_secs_f64(units as f64 / demand)).await;
        }
    }

    async fn request(self: Arc<Self>, node: usize, units: u64) {
        let routes = Arc::clone(&self.routes.lock().expect("no panic"));
        let workspace = routes.workspaces().next().expect("one workspace").clone();
        let started = Instant::now();
        let quotas = &self.nodes[node].quotas;
        let charged = quotas
            .charge(&routes, &workspace, Some(Tokens(units)))
            .await;
        let mut outcomes = self.outcomes.lock().expect("no panic");
        outcomes.longest = outcomes.longest.max(started.elapsed());
        match charged {
            Ok(_) => {
                let at = self.started.elapsed().as_secs_f64();
                outcomes.admitted.push((at, units as f64));
            }
            Err(QuotaRefusal::UsedUp(_)) => outcomes.used_up += units as f64,
            Err(QuotaRefusal::NoCollector) => outcomes.without_collector += units as f64,
        }
    }

    /// Returns the most units that were admitted in any window of this length in seconds.
    pub fn max_in_window(&self, window: f64) -> f64 {
        let outcomes = self.outcomes.lock().expect("no panic");
        let mut most: f64 = 0.0;
        let mut sum = 0.0;
        let mut first = 0;
        for (end, units) in &outcomes.admitted {
            sum += units;
            while outcomes.admitted[first].0 <= end - window {
                sum -= outcomes.admitted[first].1;
                first += 1;
            }
            most = most.max(sum);
        }
        most
    }

    /// Returns the units of all admitted requests.
    pub fn admitted(&self) -> f64 {
        let outcomes = self.outcomes.lock().expect("no panic");
        outcomes.admitted.iter().map(|(_, units)| units).sum()
    }

    /// Returns the units of all refused requests, for either reason.
    pub fn refused(&self) -> f64 {
        let outcomes = self.outcomes.lock().expect("no panic");
        outcomes.used_up + outcomes.without_collector
    }

    /// Returns the longest time that a request was held for its grant.
    pub fn longest(&self) -> Duration {
        self.outcomes.lock().expect("no panic").longest
    }
}
