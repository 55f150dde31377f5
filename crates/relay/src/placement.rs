//! Shared knowledge of the prompts at each replica.
//!
//! Each replica has a coordinator among the nodes. Nodes ask the coordinators of a few candidates before they
//! send a prompt, and tell the coordinator of the chosen one. Without answers, a node uses its own
//! knowledge.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
    time::Duration,
};

use tokio::{
    sync::mpsc,
    time::{Instant, timeout_at},
};
use verbenahead_core::{HashMap, NodeId, ServiceId, units::Tokens};
use verbenahead_membership::{
    NameKey, ObservedLoad, PlacementBody, PlacementLoad, PlacementMessage, PromptProgress,
    SharedRoster,
};
use verbenahead_policy::{
    BookedLoad, CoordinatorChoice, PlacementBudget, PlacementBudgetOptions, PlacementCandidate,
    PlacementOptions, PlacementRequest, ReplicaBook, ReplicaBookOptions, SlotUse, StatedLoad,
    Timestamp, earliest_first_event, hash, place,
};

use crate::{
    clock::policy_now, placement_transport::PlacementTransport, replica_selector::Selection,
    upstream::UpstreamEntry,
};

/// `PromptPlacementOptions` sets the time limits and bounds of the knowledge that the nodes share.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PromptPlacementOptions {
    /// Parameters of the books of the replicas that this node coordinates.
    pub book: ReplicaBookOptions,
    /// Weights of the choice among candidates.
    pub scoring: PlacementOptions,
    /// Bound on the messages of this node.
    pub budget: PlacementBudgetOptions,
    /// Longest time for which a request is held back.
    pub max_wait: Duration,
    /// Time for which replicas of a service are taken to state their speed after one did.
    pub speed_memory: Duration,
    /// Largest number of books.
    pub max_books: usize,
    /// Whether coordinators are asked first for the most urgent requests while slots are scarce. It is off, since
    /// plays of the first reference deployment showed no gain for these requests.
    pub prefers_urgent: bool,
}

impl Default for PromptPlacementOptions {
    fn default() -> Self {
        Self {
            book: ReplicaBookOptions::default(),
            scoring: PlacementOptions::default(),
            budget: PlacementBudgetOptions::default(),
            max_wait: Duration::from_millis(25),
            speed_memory: Duration::from_secs(60),
            max_books: 256,
            prefers_urgent: false,
        }
    }
}

/// `PlacementEvidence` is what decided the choice of a replica, for log lines.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlacementEvidence {
    /// Candidates whose loads were asked for.
    pub asked: usize,
    /// Candidates whose loads became known in time.
    pub known: usize,
    /// Time for which the request was held back.
    pub waited: Duration,
    /// Load of the chosen replica, if its coordinator stated it.
    pub load: Option<BookedLoad>,
    /// Predicted time to the first event, if the coordinators decided.
    pub first_event: Option<Duration>,
    /// Earliest predicted first event at any candidate, if the loads of all are known.
    pub earliest: Option<Duration>,
    /// Expected number of streams that the prompt pauses for too long, if the coordinators decided.
    pub paused_streams: Option<f64>,
}

/// `PlacementCounts` are counters since the start of the node.
#[derive(Debug, Default)]
pub struct PlacementCounts {
    /// Choices by the loads that coordinators stated.
    pub by_coordinators: AtomicU64,
    /// Choices by the node's own knowledge although coordinators were asked.
    pub unanswered: AtomicU64,
    /// Choices for which coordinators were asked for one of the most urgent requests of a service.
    pub urgent: AtomicU64,
    /// Inquiries without an answer in time.
    pub missing_answers: AtomicU64,
    /// Bytes sent, headers included.
    pub bytes: AtomicU64,
}

/// `PromptPlacement` asks the coordinators of replicas for their loads, and coordinates some replicas.
pub struct PromptPlacement {
    options: PromptPlacementOptions,
    own: NodeId,
    roster: SharedRoster,
    transport: Arc<dyn PlacementTransport>,
    next_number: AtomicU32,
    /// Whether the list of the nodes has been read.
    is_listed: AtomicBool,
    counts: PlacementCounts,
    state: Mutex<State>,
}

struct State {
    choice: CoordinatorChoice,
    books: HashMap<NameKey, ReplicaBook>,
    budget: PlacementBudget,
    /// Inquiries of this node that wait for answers.
    waiting: HashMap<u32, mpsc::Sender<(NameKey, PlacementLoad)>>,
    /// Times at which a replica of a service last stated its speed.
    stated_speed: HashMap<ServiceId, Timestamp>,
    /// Slots that are taken, by service.
    slot_use: HashMap<ServiceId, SlotUse>,
}

/// `Coordinator` is the node that coordinates a replica.
enum Coordinator {
    Own,
    Other(NodeId, SocketAddr),
}

impl PromptPlacement {
    /// Builds the placement of the node `own`, which asks the nodes in `roster`.
    pub fn new(
        options: PromptPlacementOptions,
        own: NodeId,
        roster: SharedRoster,
        transport: Arc<dyn PlacementTransport>,
    ) -> Self {
        let now = policy_now();
        Self {
            state: Mutex::new(State {
                choice: CoordinatorChoice::default(),
                books: HashMap::default(),
                budget: PlacementBudget::new(options.budget, now),
                waiting: HashMap::default(),
                stated_speed: HashMap::default(),
                slot_use: HashMap::default(),
            }),
            options,
            own,
            roster,
            transport,
            next_number: AtomicU32::new(rand::random()),
            is_listed: AtomicBool::new(false),
            counts: PlacementCounts::default(),
        }
    }

    /// Records that the list of the nodes has been read. No coordinator is asked before.
    pub fn set_listed(&self) {
        self.is_listed.store(true, Ordering::Relaxed);
    }

    /// Returns counters since the start of the node.
    pub fn counts(&self) -> &PlacementCounts {
        &self.counts
    }

    /// Forgets the books of replicas of which nothing was heard, and nodes that are gone. Call it about every
    /// quarter of a second.
    pub fn step(&self) {
        let roster = self.roster.lock();
        let now = policy_now();
        let mut state = self.lock();
        state.books.retain(|_, book| !book.is_unused(now));
        state
            .choice
            .retain(|node| roster.address_of(node).is_some());
    }

    /// Records that a replica of a service stated its speed.
    pub fn record_speed(&self, service: &ServiceId) {
        let now = policy_now();
        let mut state = self.lock();
        match state.stated_speed.get_mut(service) {
            Some(at) => *at = now,
            None => {
                state.stated_speed.insert(service.clone(), now);
            }
        }
    }

    /// Records the requests and slots that a replica of a service stated.
    pub fn record_slots(&self, service: &ServiceId, requests: u32, slots: u32) {
        let mut state = self.lock();
        if !state.slot_use.contains_key(service) {
            state.slot_use.insert(service.clone(), SlotUse::default());
        }
        if let Some(slot_use) = state.slot_use.get_mut(service) {
            slot_use.record(requests, slots);
        }
    }

    /// Returns whether replicas of a service state their speed, so that placement is used for it.
    pub fn is_active(&self, service: &ServiceId) -> bool {
        let memory = self.options.speed_memory;
        let state = self.lock();
        let stated_at = state.stated_speed.get(service);
        self.is_listed.load(Ordering::Relaxed)
            && stated_at.is_some_and(|at| policy_now().since(*at) < memory)
    }

    /// Returns the largest number of candidates whose coordinators are asked for a prompt.
    pub fn max_candidates(&self) -> usize {
        self.options.budget.candidates
    }

    /// Returns the number of candidates whose coordinators may be asked for a prompt, 0 or 1 if none is.
    pub fn candidates(&self, service: &ServiceId, uncached: Tokens) -> usize {
        match self.is_active(service) {
            true => self.lock().budget.candidates(uncached, policy_now()),
            false => 0,
        }
    }

    /// Returns the number of candidates whose coordinators may be asked for a prompt of a service whose requests
    /// differ in rank, 0 or 1 if none is. `is_urgent` tells that it is one of the most urgent ones, for which
    /// coordinators are asked first while slots are scarce.
    pub fn ranked_candidates(
        &self,
        service: &ServiceId,
        uncached: Tokens,
        is_urgent: bool,
    ) -> usize {
        if !self.is_active(service) {
            return 0;
        }
        let state = self.lock();
        let slot_use = state.slot_use.get(service).copied().unwrap_or_default();
        let budget = state.budget;
        drop(state);
        if !self.options.prefers_urgent || !slot_use.is_scarce() {
            return budget.candidates(uncached, policy_now());
        }
        let count = budget.ranked_candidates(uncached, is_urgent, policy_now());
        if is_urgent && count > 1 {
            self.counts.urgent.fetch_add(1, Ordering::Relaxed);
        }
        count
    }

    /// Chooses a candidate by what their coordinators know, or the first one if too few answer in time.
    pub async fn choose(
        &self,
        req: &PlacementRequest,
        mut shortlist: Vec<Selection>,
    ) -> Option<Selection> {
        let started = Instant::now();
        let loads = self.ask(&shortlist, started).await;
        let known = |selection: &Selection| {
            let load = loads.get(&selection.upstream.incarnation_key());
            load.filter(|load| load.is_complete).copied()
        };
        let (indexes, candidates): (Vec<usize>, Vec<PlacementCandidate>) = shortlist
            .iter()
            .enumerate()
            .filter_map(|(index, selection)| {
                let candidate = PlacementCandidate {
                    uncached: selection.uncached,
                    load: known(selection)?,
                    slots: selection.upstream.load().batch_limit,
                    distance: selection.distance,
                };
                Some((index, candidate))
            })
            .unzip();
        let placed = place(req, &candidates, &self.options.scoring);
        let placed = placed.filter(|_| candidates.len() > 1);
        let counter = match placed {
            Some(_) => &self.counts.by_coordinators,
            None => &self.counts.unanswered,
        };
        counter.fetch_add(1, Ordering::Relaxed);
        let chosen = placed.map_or(0, |placed| indexes[placed.index]);
        let is_all_known = candidates.len() == shortlist.len();
        let evidence = PlacementEvidence {
            asked: shortlist.len(),
            known: candidates.len(),
            waited: started.elapsed(),
            load: shortlist.get(chosen).and_then(known),
            first_event: placed.map(|placed| placed.first_event),
            earliest: is_all_known
                .then(|| earliest_first_event(&candidates, req.prompt, &self.options.scoring))
                .flatten(),
            paused_streams: placed.map(|placed| placed.paused_streams),
        };
        let mut selection = (chosen < shortlist.len()).then(|| shortlist.swap_remove(chosen))?;
        selection.predicted = evidence.first_event.or(selection.predicted);
        selection.placement = Some(evidence);
        Some(selection)
    }

    /// Asks the coordinators of the candidates for their loads.
    async fn ask(&self, shortlist: &[Selection], started: Instant) -> HashMap<NameKey, BookedLoad> {
        let mut loads = HashMap::default();
        let mut asked: Vec<(NameKey, NodeId)> = Vec::new();
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let (tx, rx) = mpsc::channel(shortlist.len().max(1));
        self.lock().waiting.insert(number, tx);
        let mut answers = Answers(rx, number, self);
        for selection in shortlist {
            let replica = selection.upstream.incarnation_key();
            match self.coordinator(replica) {
                Some(Coordinator::Own) => {
                    loads.insert(
                        replica,
                        self.lock().book(replica, &self.options).load(policy_now()),
                    );
                }
                Some(Coordinator::Other(node, address)) => {
                    asked.push((replica, node));
                    self.send(address, replica, number, PlacementBody::Inquire);
                }
                None => {}
            }
        }
        let deadline = started + self.options.max_wait;
        while !asked.is_empty() {
            let Ok(Some((replica, load))) = timeout_at(deadline, answers.0.recv()).await else {
                break;
            };
            if let Some(position) = asked.iter().position(|(key, _)| *key == replica) {
                let (_, node) = asked.swap_remove(position);
                self.lock().choice.record_answer(&node);
                loads.insert(replica, BookedLoad::from_wire(load));
            }
        }
        self.record_missing(asked);
        loads
    }

    fn record_missing(&self, missing: Vec<(NameKey, NodeId)>) {
        let now = policy_now();
        let count = missing.len() as u64;
        self.counts
            .missing_answers
            .fetch_add(count, Ordering::Relaxed);
        for (_, node) in missing {
            if self.lock().choice.record_missing(&node, now) {
                tracing::info!(%node, "placement coordinator does not answer");
            }
        }
    }

    /// Tells the coordinator of a replica that a prompt is sent there. Returns a guard that tells how the
    /// prompt fares.
    pub fn announce(
        self: &Arc<Self>,
        upstream: &Arc<UpstreamEntry>,
        uncached: Tokens,
        prompt: Tokens,
    ) -> Option<PlacedPrompt> {
        if !self.is_active(&upstream.service) {
            return None;
        }
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let is_announced = self.lock().budget.announces(uncached, policy_now());
        if is_announced {
            let body = PlacementBody::Placed { uncached, prompt };
            self.tell(upstream.incarnation_key(), number, body);
        }
        Some(PlacedPrompt {
            placement: Arc::clone(self),
            replica: upstream.incarnation_key(),
            number,
            uncached,
            is_announced,
            has_started: false,
            stated: None,
        })
    }

    /// Handles a message of another node.
    pub fn handle(&self, message: PlacementMessage, from: SocketAddr) {
        let PlacementMessage {
            replica,
            number,
            body,
        } = message;
        match body {
            PlacementBody::Inquire => {
                let load = self.lock().book(replica, &self.options).load(policy_now());
                self.send(from, replica, number, PlacementBody::Load(load.to_wire()));
            }
            PlacementBody::Load(load) => {
                let node = self.node_at(replica, from);
                let mut state = self.lock();
                // A late answer ends the suspicion of its sender too.
                if let Some(node) = node {
                    state.choice.record_answer(&node);
                }
                if let Some(waiting) = state.waiting.get(&number) {
                    // A full channel holds all answers already.
                    let _ = waiting.try_send((replica, load));
                }
            }
            PlacementBody::Placed { .. } | PlacementBody::Observed { .. } => {
                self.record(replica, entry_id(Some(from), number), body);
            }
        }
    }

    /// Returns the first choice for a replica if it has this address.
    fn node_at(&self, replica: NameKey, address: SocketAddr) -> Option<NodeId> {
        let roster = self.roster.lock();
        let choices = verbenahead_policy::first_choices(
            replica.0.into(),
            roster.serving_nodes(),
            ANSWERING_CHOICES,
        );
        let mut choices = choices.into_iter();
        choices
            .find(|node| roster.address_of(node) == Some(address))
            .cloned()
    }

    /// Tells the coordinator of a replica something, which may be this node.
    fn tell(&self, replica: NameKey, number: u32, body: PlacementBody) {
        match self.coordinator(replica) {
            Some(Coordinator::Own) => self.record(replica, entry_id(None, number), body),
            Some(Coordinator::Other(_, address)) => self.send(address, replica, number, body),
            None => {}
        }
    }

    /// Records something in the book of a replica.
    fn record(&self, replica: NameKey, id: u64, body: PlacementBody) {
        let now = policy_now();
        let mut state = self.lock();
        let book = state.book(replica, &self.options);
        match body {
            PlacementBody::Placed { uncached, prompt } => book.on_placed(id, uncached, prompt, now),
            PlacementBody::Observed { progress, stated } => {
                match progress {
                    PromptProgress::Queued => {}
                    PromptProgress::Started => book.on_first_event(id, now),
                    PromptProgress::Ended => book.on_ended(id, now),
                }
                if let Some(load) = stated {
                    let stated = StatedLoad {
                        running: load.running,
                        waiting: load.waiting,
                        time_percent: load.time_percent,
                    };
                    book.on_stated(stated, load.age, now);
                }
            }
            PlacementBody::Inquire | PlacementBody::Load(_) => {}
        }
    }

    fn send(&self, to: SocketAddr, replica: NameKey, number: u32, body: PlacementBody) {
        let message = PlacementMessage {
            replica,
            number,
            body,
        };
        let bytes = self.transport.send(to, &message);
        self.lock().budget.record(bytes, policy_now());
        self.counts.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Returns the node that coordinates a replica, or `None` if all are passed over.
    fn coordinator(&self, replica: NameKey) -> Option<Coordinator> {
        let roster = self.roster.lock();
        let nodes = roster.serving_nodes().chain([&self.own]);
        let state = self.lock();
        let chosen = state.choice.coordinator(replica.0, nodes, policy_now())?;
        if *chosen == self.own {
            return Some(Coordinator::Own);
        }
        let address = roster.address_of(chosen)?;
        Some(Coordinator::Other(chosen.clone(), address))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Number of the first choices for a replica among which the sender of an answer is looked for.
const ANSWERING_CHOICES: usize = 4;

impl State {
    /// Returns the book of a replica, which is opened if there is none.
    fn book(&mut self, replica: NameKey, options: &PromptPlacementOptions) -> &mut ReplicaBook {
        let now = policy_now();
        if !self.books.contains_key(&replica) && self.books.len() >= options.max_books {
            // Nodes with a wrong view of the deployment may ask for many.
            self.books.clear();
        }
        let open = || ReplicaBook::new(options.book, now);
        self.books.entry(replica).or_insert_with(open)
    }
}

/// Returns the id of a prompt in the books: that of the sending node, and its number.
fn entry_id(from: Option<SocketAddr>, number: u32) -> u64 {
    let sender = from.map_or_else(String::new, |address| address.to_string());
    hash::combine(hash::hash_bytes(0, sender.as_bytes()), number.into())
}

/// `WireLoad` converts loads to and from messages.
trait WireLoad {
    fn to_wire(&self) -> PlacementLoad;
    fn from_wire(load: PlacementLoad) -> Self;
}

impl WireLoad for BookedLoad {
    fn to_wire(&self) -> PlacementLoad {
        PlacementLoad {
            queued: self.queued,
            streams: self.streams,
            time_percent: (self.time_factor * 100.0) as u32,
            stated_age: self.stated_age,
            is_complete: self.is_complete,
        }
    }

    fn from_wire(load: PlacementLoad) -> Self {
        Self {
            queued: load.queued,
            streams: load.streams,
            time_factor: f64::from(load.time_percent.clamp(10, 1_000)) / 100.0,
            stated_age: load.stated_age,
            is_complete: load.is_complete,
        }
    }
}

/// `Answers` receives the answers to the inquiry with the given number, until it is dropped.
struct Answers<'a>(
    mpsc::Receiver<(NameKey, PlacementLoad)>,
    u32,
    &'a PromptPlacement,
);

impl Drop for Answers<'_> {
    fn drop(&mut self) {
        self.2.lock().waiting.remove(&self.1);
    }
}

/// `PlacedPrompt` tells the coordinator of a replica how a prompt fares there. Dropping it before the first
/// event tells that the request has ended.
pub struct PlacedPrompt {
    placement: Arc<PromptPlacement>,
    replica: NameKey,
    number: u32,
    uncached: Tokens,
    is_announced: bool,
    has_started: bool,
    /// Load that the replica stated in its answer.
    stated: Option<(StatedLoad, Instant)>,
}

impl PlacedPrompt {
    /// Records the load that the replica stated in its answer.
    pub fn record_stated(&mut self, stated: StatedLoad) {
        self.stated = Some((stated, Instant::now()));
    }

    /// Tells that the first event came.
    pub fn record_first_event(&mut self) {
        if !std::mem::replace(&mut self.has_started, true) {
            self.tell(PromptProgress::Started);
        }
    }

    fn tell(&self, progress: PromptProgress) {
        let placement = &self.placement;
        let time_percent = self.stated.map(|(load, _)| load.time_percent);
        let has_ended = progress == PromptProgress::Ended && self.is_announced;
        let now = policy_now();
        let budget = placement.lock().budget;
        if !has_ended && !budget.passes_load_on(self.uncached, time_percent, now) {
            return;
        }
        let stated = self.stated.map(|(load, at)| ObservedLoad {
            running: load.running,
            waiting: load.waiting,
            time_percent: load.time_percent,
            age: at.elapsed(),
        });
        let body = PlacementBody::Observed { progress, stated };
        placement.tell(self.replica, self.number, body);
    }
}

impl Drop for PlacedPrompt {
    fn drop(&mut self) {
        if !self.has_started {
            self.tell(PromptProgress::Ended);
        }
    }
}

impl std::fmt::Debug for PlacedPrompt {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("PlacedPrompt")
            .field("replica", &self.replica)
            .field("number", &self.number)
            .finish_non_exhaustive()
    }
}
