//! Quotas that all nodes share.
//!
//! A quota belongs to a workspace, or to a replica that limits its requests. A node asks the collector of
//! the quota before it admits or sends a request. If the collector does
//! not answer, the node asks the next one in rank. A node that is asked but knows a better choice
//! passes the request on, so nodes with different views of the deployment still use one collector.

use std::{
    collections::VecDeque,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use tokio::{
    sync::watch,
    time::{Instant, timeout_at},
};
use verbenahead_core::{HashMap, HashSet, NodeId, time::SteadyClock, units::Tokens};
use verbenahead_membership::{GrantDecision, GrantRequest, NameKey, QuotaMessage, SharedRoster};
use verbenahead_policy::{
    CollectorChoice, CollectorTiming, QuotaAsk, QuotaCollector, QuotaLimit, ReachProbes, Timestamp,
    first_choice, is_preferred, stand_in_rank,
};

use crate::quota_transport::QuotaTransport;

mod asking;
mod options;
mod steps;

use asking::{Patience, Reply, Waiting};
pub use options::SharedQuotasOptions;

/// Number of nodes that may pass a request on. The last one decides itself.
const MAX_HOPS: u32 = 2;

/// Number of recent answers that are kept for requests that are sent again. A request whose answer is not
/// kept is charged a second time; this is enough for ten thousand requests per second and the time after
/// which they are sent again.
const KEPT_ANSWERS: usize = 1_024;

/// `QuotaRefusal` is the reason why a request got no grant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuotaRefusal {
    /// The quota is used up until this delay has passed.
    UsedUp(Duration),
    /// No collector answered.
    NoCollector,
}

/// `SharedQuotas` gets grants from the quotas that the nodes share, and collects some of them.
pub struct SharedQuotas {
    options: SharedQuotasOptions,
    own: NodeId,
    roster: SharedRoster,
    transport: Arc<dyn QuotaTransport>,
    clock: SteadyClock,
    started: Instant,
    next_number: AtomicU64,
    /// Whether the list of the nodes has been read.
    is_listed: watch::Sender<bool>,
    state: Mutex<State>,
}

struct State {
    choice: CollectorChoice,
    collector: QuotaCollector,
    /// Times since which this node is the first choice of the quotas of workspaces.
    collecting_since: HashMap<NameKey, Timestamp>,
    /// Times since which this node is the first choice of the quotas of replicas, as far as it was asked
    /// for grants from them.
    replicas_since: HashMap<NameKey, Timestamp>,
    /// Revision of the roster, and generation of the routes, at the last update of these times.
    collecting_as_of: Option<(u64, u64)>,
    /// Requests of this node that wait for their answers.
    waiting: HashMap<u64, Waiting>,
    /// Answer times of other nodes.
    timing: CollectorTiming,
    /// Requests of other nodes that are being passed on.
    passed_on: HashSet<(SocketAddr, u64)>,
    /// Last answers to requests of other nodes.
    answers: VecDeque<(SocketAddr, u64, GrantDecision)>,
    /// Recent probes of other nodes.
    probes: ReachProbes,
}

/// `Collector` is the node that a request goes to.
enum Collector {
    /// This node.
    Own(OwnRole),
    Other(NodeId, SocketAddr),
}

/// `OwnRole` is how this node collects a quota.
#[derive(Debug, Clone, Copy)]
struct OwnRole {
    /// Time since which this node is the first choice, or `None` if it stands in for another one.
    since: Option<Timestamp>,
    /// Number of nodes that precede this one, if it stands in and one of them may be alive.
    unconfirmed_rank: Option<u32>,
}

impl SharedQuotas {
    /// Builds the quotas of the node `own`, which asks the nodes in `roster`.
    pub fn new(
        options: SharedQuotasOptions,
        own: NodeId,
        roster: SharedRoster,
        transport: Arc<dyn QuotaTransport>,
    ) -> Self {
        let start = Timestamp::default();
        Self {
            state: Mutex::new(State {
                choice: CollectorChoice::new(options.choice),
                collector: QuotaCollector::new(options.collector, start),
                collecting_since: HashMap::default(),
                replicas_since: HashMap::default(),
                collecting_as_of: None,
                waiting: HashMap::default(),
                timing: CollectorTiming::new(options.timing),
                passed_on: HashSet::default(),
                answers: VecDeque::new(),
                probes: ReachProbes::default(),
            }),
            is_listed: watch::Sender::new(false),
            options,
            own,
            roster,
            transport,
            clock: SteadyClock::default(),
            started: Instant::now(),
            next_number: AtomicU64::new(rand::random::<u32>().into()),
        }
    }

    /// Records that the list of the nodes has been read. Nothing is granted before.
    pub fn set_listed(&self) {
        self.is_listed.send_replace(true);
    }

    /// Processes a message of another node.
    pub fn handle(self: &Arc<Self>, message: QuotaMessage, from: SocketAddr) {
        match message {
            QuotaMessage::Ask {
                number,
                is_repeat,
                hops,
                request,
            } => self.handle_ask(number, is_repeat, hops, request, from),
            QuotaMessage::Probe { number } => {
                let decision = GrantDecision::Granted;
                self.transport
                    .send(from, &QuotaMessage::Answer { number, decision });
            }
            QuotaMessage::Answer { number, decision } => {
                let now = self.now();
                self.lock().probes.record_answer(number, now);
                self.reply(number, Reply::Answer(decision));
            }
            QuotaMessage::PassedOn { number } => self.reply(number, Reply::PassedOn),
            QuotaMessage::Refund { quota, units } => {
                let now = self.now();
                self.lock().collector.refund(quota.0, units, now);
            }
        }
    }

    /// Records that a node was heard from, so that it is asked again.
    pub fn clear_suspicion(&self, node: &NodeId) {
        let mut state = self.lock();
        state.choice.clear(node);
        state.timing.record_alive(node);
    }

    /// Gets the grant for a request of this node. Returns the address of the node that granted it, or
    /// `None` if this node did.
    ///
    /// # Errors
    ///
    /// When the quota is used up or no collector answers.
    pub async fn grant(&self, request: GrantRequest) -> Result<Option<SocketAddr>, QuotaRefusal> {
        let patience = Patience {
            end: Instant::now() + self.options.total_timeout,
            last: Instant::now() + self.options.late_timeout,
            is_passed_on: false,
        };
        self.request(request, 0, patience, || {}).await
    }

    /// Gets the grant for a request of this node like [`grant`](Self::grant), and gives up after
    /// `limit`.
    ///
    /// # Errors
    ///
    /// When the quota is used up or no collector answers.
    pub async fn grant_within(
        &self,
        request: GrantRequest,
        limit: Duration,
    ) -> Result<Option<SocketAddr>, QuotaRefusal> {
        let end = Instant::now() + limit;
        let patience = Patience {
            end,
            last: end,
            is_passed_on: false,
        };
        self.request(request, 0, patience, || {}).await
    }

    /// Returns units that were granted to a request that did not run. `granted_by` is the node that
    /// granted them, or `None` if this node did.
    pub fn refund(&self, quota: NameKey, units: Tokens, granted_by: Option<SocketAddr>) {
        match granted_by {
            Some(node) => self
                .transport
                .send(node, &QuotaMessage::Refund { quota, units }),
            None => {
                let now = self.now();
                self.lock().collector.refund(quota.0, units, now);
            }
        }
    }

    /// Credits units to a quota, whichever node granted them before.
    pub fn release(&self, quota: NameKey, units: Tokens) {
        match self.collector(quota, 0) {
            Some(Collector::Own(_)) => self.refund(quota, units, None),
            Some(Collector::Other(_, address)) => self.refund(quota, units, Some(address)),
            // The quota is refilled over time.
            None => tracing::debug!(%quota, "release of a quota without a collector dropped"),
        }
    }

    /// Waits until the list of the nodes has been read. Returns `false` if it was not read in time after
    /// the start of this node.
    pub async fn wait_listed(&self) -> bool {
        let mut is_listed = self.is_listed.subscribe();
        let until = self.started + self.options.total_timeout;
        timeout_at(until, is_listed.wait_for(|is| *is))
            .await
            .is_ok()
    }

    fn next_number(&self) -> u64 {
        self.next_number.fetch_add(1, Ordering::Relaxed)
    }

    fn handle_ask(
        self: &Arc<Self>,
        number: u64,
        is_repeat: bool,
        hops: u32,
        request: GrantRequest,
        from: SocketAddr,
    ) {
        if is_repeat && let Some(decision) = self.kept_answer(from, number) {
            self.transport
                .send(from, &QuotaMessage::Answer { number, decision });
            return;
        }
        match self.collector(request.quota, hops) {
            None => self.answer(number, GrantDecision::NoCollector, from),
            Some(Collector::Own(role)) => {
                let decision = decision_of(self.decide(&request, role));
                self.answer(number, decision, from);
            }
            Some(Collector::Other(..)) => {
                self.transport
                    .send(from, &QuotaMessage::PassedOn { number });
                if !self.lock().passed_on.insert((from, number)) {
                    return;
                }
                let quotas = Arc::clone(self);
                tokio::spawn(async move {
                    let passed_on = QuotaMessage::PassedOn { number };
                    let on_silence = || quotas.transport.send(from, &passed_on);
                    let patience = Patience {
                        end: Instant::now() + quotas.options.total_timeout,
                        last: Instant::now() + quotas.options.late_timeout,
                        is_passed_on: true,
                    };
                    let granted = quotas
                        .request(request, hops + 1, patience, on_silence)
                        .await;
                    quotas.lock().passed_on.remove(&(from, number));
                    quotas.answer(number, decision_of(granted.map(|_| ())), from);
                });
            }
        }
    }

    fn answer(&self, number: u64, decision: GrantDecision, to: SocketAddr) {
        let mut state = self.lock();
        if state.answers.len() >= KEPT_ANSWERS {
            state.answers.pop_front();
        }
        state.answers.push_back((to, number, decision));
        drop(state);
        self.transport
            .send(to, &QuotaMessage::Answer { number, decision });
    }

    fn kept_answer(&self, from: SocketAddr, number: u64) -> Option<GrantDecision> {
        let state = self.lock();
        let mut answers = state.answers.iter();
        let kept = answers.find(|(to, n, _)| (*to, *n) == (from, number));
        kept.map(|(_, _, decision)| *decision)
    }

    /// Decides on a request as its collector.
    fn decide(&self, request: &GrantRequest, role: OwnRole) -> Result<(), QuotaRefusal> {
        let now = self.now();
        let ask = QuotaAsk {
            workspace: request.quota.0,
            limit: limit_of(request),
            units: request.units,
            is_admitted: request.is_admitted,
            caller: request.caller.map(|caller| caller.0),
            unconfirmed_rank: role.unconfirmed_rank,
        };
        let mut state = self.lock();
        if role.since.is_none() && !state.collector.is_stand_in(request.quota.0) {
            let reach = state.probes.ratio(now);
            tracing::info!(quota = %request.quota, unconfirmed_rank = role.unconfirmed_rank, reach,
                "stands in for the collector of a quota");
        }
        let granted = state.collector.grant(&ask, role.since, now);
        drop(state);
        granted.map_err(QuotaRefusal::UsedUp)
    }

    /// Returns the node that a request goes to after `hops` nodes passed it on, or `None` if there
    /// is none.
    fn collector(&self, quota: NameKey, hops: u32) -> Option<Collector> {
        let now = self.now();
        let roster = self.roster.lock();
        if !self.is_listed() {
            return None;
        }
        let mut state = self.lock();
        let nodes = || roster.serving_nodes().chain([&self.own]);
        let chosen = state.choice.collector(quota.0, nodes(), now)?;
        let is_own = *chosen == self.own || hops >= MAX_HOPS;
        if let Some(address) = roster.address_of(chosen).filter(|_| !is_own) {
            return Some(Collector::Other(chosen.clone(), address));
        }
        let mut since = state.collecting_since.get(&quota).copied();
        if since.is_none() && first_choice(quota.0, nodes()) == Some(&self.own) {
            since = Some(*state.replicas_since.entry(quota).or_insert(now));
        }
        let unconfirmed_rank = match since {
            Some(_) => None,
            None => {
                let resumed_at = state.collector.resumed_at();
                let may_live = nodes().filter(|node| {
                    is_preferred(quota.0, node, &self.own)
                        && !state.timing.is_silent(node, resumed_at, now)
                });
                let is_unconfirmed = may_live.count() > 0;
                is_unconfirmed.then(|| stand_in_rank(quota.0, &self.own, nodes()))
            }
        };
        Some(Collector::Own(OwnRole {
            since,
            unconfirmed_rank,
        }))
    }

    fn is_listed(&self) -> bool {
        *self.is_listed.borrow()
    }

    /// Returns whether another node is the first choice for a quota.
    pub(crate) fn has_other_collector(&self, quota: NameKey) -> bool {
        let state = self.lock();
        !state.collecting_since.contains_key(&quota)
    }

    /// Returns the number of nodes that this node knows of, with itself.
    pub(crate) fn node_count(&self) -> usize {
        self.roster.lock().known_count()
    }

    /// Returns the time since the start, including time for which the machine was suspended.
    pub(crate) fn now(&self) -> Timestamp {
        Timestamp(self.clock.elapsed())
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Forgets the quotas of replicas from which nobody asks for grants any more.
    fn forget_unused_replicas(&mut self) {
        let collector = &self.collector;
        self.replicas_since
            .retain(|quota, _| collector.contains(quota.0));
    }
}

/// Returns the limit of the quota that a request states.
pub(crate) fn limit_of(request: &GrantRequest) -> QuotaLimit {
    QuotaLimit {
        rate: request.rate,
        burst: request.burst,
        generation: request.generation,
    }
}

fn decision_of(granted: Result<(), QuotaRefusal>) -> GrantDecision {
    match granted {
        Ok(()) => GrantDecision::Granted,
        Err(QuotaRefusal::UsedUp(wait)) => GrantDecision::UsedUp(wait),
        Err(QuotaRefusal::NoCollector) => GrantDecision::NoCollector,
    }
}
