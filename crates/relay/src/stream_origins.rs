//! Software versions at which streams began.
//!
//! A stream may go on only at the version that began it, also when its caller takes it up at another
//! node. The node through which a stream begins tells two other nodes, its keepers, which all nodes
//! find by rendezvous hashing of the stream. A node that is asked to continue a stream asks the
//! keepers. It asks more nodes than are told, because nodes may join or leave meanwhile.
//!
//! While several versions of a service serve, the origins of its open streams go to a few nodes of the zone as
//! well, the writers, which keep them in the platform's table. There they outlive all nodes.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use tokio::{
    sync::{Notify, mpsc, watch},
    time::{Instant, timeout, timeout_at},
};
use verbenahead_core::{
    AvailabilityZone, HashMap, NodeId, ServiceId, WorkspaceId, time::SteadyClock,
};
use verbenahead_membership::{NameKey, OriginMessage, SharedRoster, StreamKey, StreamOrigin};
use verbenahead_policy::{
    OriginMemory, OriginMemoryOptions, Timestamp,
    collector_choice::first_choices,
    hash::{combine, hash_bytes},
};

use crate::{
    dialect::CallerRequestId,
    open_streams::{OpenStream, OpenStreams},
    origin_transport::OriginTransport,
};

/// Key of the rendezvous hash that chooses the writers of a zone.
const WRITERS_KEY: u64 = 0x7772_6974;

/// Origins in a message to the writers, which holds about 1 KB then.
const MAX_MESSAGE_ORIGINS: usize = 80;

/// Messages with origins that a writer is sent at once at most.
const MAX_MESSAGES: usize = 8;

/// Origins that a writer has received and not put into rows yet at most.
const MAX_RECEIVED: usize = 16_384;

/// Time for which it counts that the table was read for a stream.
const WANTED_MEMORY: Duration = Duration::from_secs(5);

/// Streams for which the table is to be read that are remembered at most.
const MAX_WANTED: usize = 4_096;

/// `StreamOriginsOptions` configures how the origins of streams are kept and asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StreamOriginsOptions {
    /// Bounds of the origins that a node keeps.
    pub memory: OriginMemoryOptions,
    /// Number of other nodes that are told of a stream.
    pub keepers: usize,
    /// Number of other nodes that are asked.
    pub asked: usize,
    /// Time after which nodes that have not answered are asked again.
    pub resend_after: Duration,
    /// Time after which the origin counts as unknown.
    pub answer_timeout: Duration,
    /// Number of nodes of each zone that keep the origins of its open streams in the table.
    pub writers: usize,
    /// Bounds of the origins that a node has read from the table.
    pub saved: OriginMemoryOptions,
    /// Longest wait for a read of the table.
    pub read_timeout: Duration,
}

impl Default for StreamOriginsOptions {
    fn default() -> Self {
        Self {
            memory: OriginMemoryOptions::default(),
            keepers: 2,
            asked: 4,
            resend_after: Duration::from_millis(50),
            answer_timeout: Duration::from_millis(150),
            writers: 2,
            saved: OriginMemoryOptions {
                max_streams: 98_304,
                ..OriginMemoryOptions::default()
            },
            read_timeout: Duration::from_millis(300),
        }
    }
}

/// `StreamOrigins` knows the versions at which streams began, together with the other nodes.
pub struct StreamOrigins {
    options: StreamOriginsOptions,
    own: NodeId,
    roster: SharedRoster,
    transport: Arc<dyn OriginTransport>,
    clock: SteadyClock,
    next_number: AtomicU64,
    state: Mutex<State>,
    /// Tells of each open stream of this node, and of those that it is to write.
    opened: Notify,
    /// Number of reads of the table that were asked for, and of those that were answered.
    reads_wanted: watch::Sender<u64>,
    reads_done: watch::Sender<u64>,
}

struct State {
    memory: OriginMemory,
    /// Origins that were read from the table.
    saved: OriginMemory,
    open: OpenStreams,
    /// Streams that no node knew, with the reads that are to tell their origins.
    wanted: HashMap<StreamKey, (u64, Instant)>,
    /// Origins that this node is to write.
    received: Vec<StreamOrigin>,
    /// Questions of this node that wait for answers.
    waiting: HashMap<u64, mpsc::Sender<Answer>>,
}

impl State {
    fn version(&self, stream: StreamKey) -> Option<NameKey> {
        let known = self.memory.version(stream.0);
        known.or_else(|| self.saved.version(stream.0)).map(NameKey)
    }

    fn receive(&mut self, origins: &[StreamOrigin]) {
        let room = MAX_RECEIVED.saturating_sub(self.received.len());
        if room < origins.len() {
            tracing::warn!(
                dropped = origins.len() - room,
                "too many open streams to save"
            );
        }
        self.received.extend(origins.iter().take(room));
    }
}

/// `Writers` are the nodes that write the origins of a zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Writers {
    /// Addresses of the writers other than this node.
    pub others: Vec<SocketAddr>,
    /// Place of this node among the writers, the first one with 0.
    pub own_rank: Option<usize>,
}

/// `Answer` is the answer of one node to a question.
#[derive(Debug, Clone, Copy)]
struct Answer {
    from: SocketAddr,
    version: Option<NameKey>,
}

/// Returns the key of the stream that a request of a workspace began. A caller cannot name the streams
/// of other workspaces.
pub fn stream_key(workspace: Option<&WorkspaceId>, id: &CallerRequestId) -> StreamKey {
    let workspace = workspace.map_or("", WorkspaceId::as_str);
    StreamKey(combine(
        hash_bytes(0, workspace.as_bytes()),
        hash_bytes(0, id.0.as_bytes()),
    ))
}

impl StreamOrigins {
    /// Builds the origins of the node `own`, which cooperates with the nodes in `roster`.
    pub fn new(
        options: StreamOriginsOptions,
        own: NodeId,
        roster: SharedRoster,
        transport: Arc<dyn OriginTransport>,
    ) -> Self {
        Self {
            state: Mutex::new(State {
                memory: OriginMemory::new(options.memory),
                saved: OriginMemory::new(options.saved),
                open: OpenStreams::default(),
                wanted: HashMap::default(),
                received: Vec::new(),
                waiting: HashMap::default(),
            }),
            options,
            own,
            roster,
            transport,
            clock: SteadyClock::default(),
            next_number: AtomicU64::new(rand::random::<u32>().into()),
            opened: Notify::new(),
            reads_wanted: watch::Sender::new(0),
            reads_done: watch::Sender::new(0),
        }
    }

    /// Records that a stream began at a version through this node, and tells its keepers.
    pub fn record(&self, open: OpenStream) {
        let StreamOrigin { stream, version } = open.origin();
        self.record_open(open);
        let keepers = self.nodes_for(stream, self.options.keepers);
        self.transport
            .send(&keepers, &OriginMessage::Began { stream, version });
    }

    /// Records that a stream that began at a version goes on through this node.
    pub fn record_open(&self, open: OpenStream) {
        let now = self.now();
        let mut state = self.lock();
        state.memory.record(open.stream.0, open.version.0, now);
        state.open.push(open);
        drop(state);
        self.opened.notify_one();
    }

    /// Waits until a stream is open that was not when this was called before.
    pub async fn opened(&self) {
        self.opened.notified().await;
    }

    /// Hands the origins of open streams to the writers of the `zone` of this node, where `is_mixed` says that
    /// several versions of a service served within a period.
    pub fn hand_over(
        &self,
        zone: &AvailabilityZone,
        is_mixed: impl FnMut(&ServiceId, Duration) -> bool,
    ) {
        let max = MAX_MESSAGES * MAX_MESSAGE_ORIGINS;
        let origins = self.lock().open.take(is_mixed, max);
        if origins.is_empty() {
            return;
        }
        let writers = self.writers(zone);
        if writers.own_rank.is_some() {
            self.lock().receive(&origins);
        }
        for origins in origins.chunks(MAX_MESSAGE_ORIGINS) {
            let message = OriginMessage::Open(origins.to_vec());
            self.transport.send(&writers.others, &message);
        }
    }

    /// Returns the nodes of the zone of this node that write its origins.
    pub fn writers(&self, zone: &AvailabilityZone) -> Writers {
        let roster = self.roster.lock();
        let others = roster.zone_nodes(zone).map(|(node, _)| node);
        let others = others.filter(|node| **node != self.own);
        let chosen = first_choices(WRITERS_KEY, others.chain([&self.own]), self.options.writers);
        let own_rank = chosen.iter().position(|node| **node == self.own);
        let others = chosen.into_iter().filter(|node| **node != self.own);
        Writers {
            others: others.filter_map(|node| roster.address_of(node)).collect(),
            own_rank,
        }
    }

    /// Removes and returns the origins that this node is to write.
    pub fn take_received(&self) -> Vec<StreamOrigin> {
        std::mem::take(&mut self.lock().received)
    }

    /// Records origins that were read from the table.
    pub fn load(&self, origins: impl IntoIterator<Item = StreamOrigin>) {
        let now = self.now();
        let mut state = self.lock();
        for origin in origins {
            state.saved.record(origin.stream.0, origin.version.0, now);
        }
    }

    /// Returns the version at which a stream began that no node knows, as the table has it, after a read of
    /// the table that was begun for it.
    ///
    /// # Errors
    ///
    /// When the table was not read in time.
    pub async fn find_saved(&self, stream: StreamKey) -> Result<Option<NameKey>, NotRead> {
        let mut done = self.reads_done.subscribe();
        let wanted = self.want_read(stream);
        let read = timeout(
            self.options.read_timeout,
            done.wait_for(|done| *done >= wanted),
        );
        let is_read = matches!(read.await, Ok(Ok(_)));
        let version = self.lock().version(stream);
        if version.is_none() && !is_read {
            return Err(NotRead);
        }
        Ok(version)
    }

    /// Returns the number of the read that is to tell the origin of a stream. Callers that come again meanwhile
    /// wait for the same read.
    fn want_read(&self, stream: StreamKey) -> u64 {
        let mut state = self.lock();
        let wanted = &mut state.wanted;
        wanted.retain(|_, (_, since)| since.elapsed() < WANTED_MEMORY);
        if let Some((number, _)) = wanted.get(&stream) {
            return *number;
        }
        let number = *self.reads_wanted.borrow() + 1;
        if wanted.len() < MAX_WANTED {
            wanted.insert(stream, (number, Instant::now()));
        }
        self.reads_wanted.send_replace(number);
        number
    }

    /// Returns the number of reads of the table that were asked for.
    pub fn reads_wanted(&self) -> watch::Receiver<u64> {
        self.reads_wanted.subscribe()
    }

    /// Records that the table was read after `wanted` reads had been asked for.
    pub fn set_read(&self, wanted: u64) {
        self.reads_done
            .send_modify(|done| *done = wanted.max(*done));
    }

    /// Returns the version at which a stream began, or `None` if no node knows it.
    pub async fn find(&self, stream: StreamKey) -> Option<NameKey> {
        match self.ask(stream).await {
            Origin::Version(version) => Some(version),
            Origin::Unknown | Origin::Unanswered => None,
        }
    }

    /// Asks the nodes that may know at which version a stream began, unless this node knows it.
    pub async fn ask(&self, stream: StreamKey) -> Origin {
        if let Some(version) = self.lock().version(stream) {
            return Origin::Version(version);
        }
        let mut unanswered = self.nodes_for(stream, self.options.asked);
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let mut answers = self.expect_answers(number, unanswered.len());
        let question = OriginMessage::Ask { number, stream };
        self.transport.send(&unanswered, &question);
        let asked_at = Instant::now();
        let resend_at = asked_at + self.options.resend_after;
        let end = asked_at + self.options.answer_timeout;
        let asked = unanswered.len();
        let mut is_resent = false;
        while !unanswered.is_empty() {
            let until = if is_resent { end } else { resend_at };
            match timeout_at(until, answers.0.recv()).await {
                Ok(Some(Answer {
                    version: Some(version),
                    ..
                })) => return Origin::Version(version),
                Ok(Some(answer)) => unanswered.retain(|node| *node != answer.from),
                Ok(None) => break,
                Err(_) if is_resent => break,
                Err(_) => {
                    is_resent = true;
                    self.transport.send(&unanswered, &question);
                }
            }
        }
        match asked > 0 && unanswered.len() == asked {
            true => Origin::Unanswered,
            false => Origin::Unknown,
        }
    }

    /// Processes a message of another node.
    pub fn handle(&self, message: OriginMessage, from: SocketAddr) {
        match message {
            OriginMessage::Began { stream, version } => {
                let now = self.now();
                self.lock().memory.record(stream.0, version.0, now);
            }
            OriginMessage::Ask { number, stream } => {
                let version = self.lock().version(stream);
                self.transport
                    .send(&[from], &OriginMessage::Answer { number, version });
            }
            OriginMessage::Open(origins) => {
                self.lock().receive(&origins);
                self.opened.notify_one();
            }
            OriginMessage::Answer { number, version } => {
                let state = self.lock();
                if let Some(waiting) = state.waiting.get(&number) {
                    // A full channel holds more answers than nodes were asked.
                    let _ = waiting.try_send(Answer { from, version });
                }
            }
        }
    }

    /// Returns the addresses of the first choices among the other nodes for a stream.
    fn nodes_for(&self, stream: StreamKey, count: usize) -> Vec<SocketAddr> {
        let roster = self.roster.lock();
        let others = roster.serving_nodes().filter(|node| **node != self.own);
        let chosen = first_choices(stream.0, others, count);
        let addresses = chosen.into_iter().map(|node| roster.address_of(node));
        addresses.flatten().collect()
    }

    fn expect_answers(&self, number: u64, asked: usize) -> Answers<'_> {
        // Each node may answer twice.
        let (tx, rx) = mpsc::channel(2 * asked.max(1));
        self.lock().waiting.insert(number, tx);
        Answers(rx, number, self)
    }

    /// Returns the time since the start, including time for which the machine was suspended.
    fn now(&self) -> Timestamp {
        Timestamp(self.clock.elapsed())
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// `Origin` is what the nodes know of the version at which a stream began.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// The stream began at this version.
    Version(NameKey),
    /// None of the nodes that answered knows it, or there are no other nodes.
    Unknown,
    /// None of the nodes that were asked has answered. This node may be cut off from them.
    Unanswered,
}

/// `NotRead` says that the table was not read in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NotRead;

/// `Answers` receives the answers to the question with the given number, until it is dropped.
struct Answers<'a>(mpsc::Receiver<Answer>, u64, &'a StreamOrigins);

impl Drop for Answers<'_> {
    fn drop(&mut self) {
        self.2.lock().waiting.remove(&self.1);
    }
}
