//! Software versions at which streams began.
//!
//! A stream may go on only at the version that began it, also when its caller takes it up at another
//! node. The node through which a stream begins tells two other nodes, its keepers, which all nodes
//! find by rendezvous hashing of the stream. A node that is asked to continue a stream asks the
//! keepers. It asks more nodes than are told, because nodes may join or leave meanwhile.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use tokio::{
    sync::mpsc,
    time::{Instant, timeout_at},
};
use verbenahead_core::{HashMap, NodeId, WorkspaceId, time::SteadyClock};
use verbenahead_membership::{NameKey, OriginMessage, SharedRoster, StreamKey};
use verbenahead_policy::{
    OriginMemory, OriginMemoryOptions, Timestamp,
    collector_choice::first_choices,
    hash::{combine, hash_bytes},
};

use crate::{dialect::CallerRequestId, origin_transport::OriginTransport};

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
}

impl Default for StreamOriginsOptions {
    fn default() -> Self {
        Self {
            memory: OriginMemoryOptions::default(),
            keepers: 2,
            asked: 4,
            resend_after: Duration::from_millis(50),
            answer_timeout: Duration::from_millis(150),
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
}

struct State {
    memory: OriginMemory,
    /// Questions of this node that wait for answers.
    waiting: HashMap<u64, mpsc::Sender<Answer>>,
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
                waiting: HashMap::default(),
            }),
            options,
            own,
            roster,
            transport,
            clock: SteadyClock::default(),
            next_number: AtomicU64::new(rand::random::<u32>().into()),
        }
    }

    /// Records that a stream began at a version through this node, and tells its keepers.
    pub fn record(&self, stream: StreamKey, version: NameKey) {
        let now = self.now();
        self.lock().memory.record(stream.0, version.0, now);
        let keepers = self.nodes_for(stream, self.options.keepers);
        self.transport
            .send(&keepers, &OriginMessage::Began { stream, version });
    }

    /// Returns the version at which a stream began, or `None` if no node knows it.
    pub async fn find(&self, stream: StreamKey) -> Option<NameKey> {
        if let Some(version) = self.lock().memory.version(stream.0) {
            return Some(NameKey(version));
        }
        let mut unanswered = self.nodes_for(stream, self.options.asked);
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let mut answers = self.expect_answers(number, unanswered.len());
        let question = OriginMessage::Ask { number, stream };
        self.transport.send(&unanswered, &question);
        let asked_at = Instant::now();
        let resend_at = asked_at + self.options.resend_after;
        let end = asked_at + self.options.answer_timeout;
        let mut is_resent = false;
        while !unanswered.is_empty() {
            let until = if is_resent { end } else { resend_at };
            match timeout_at(until, answers.0.recv()).await {
                Ok(Some(answer)) if answer.version.is_some() => return answer.version,
                Ok(Some(answer)) => unanswered.retain(|node| *node != answer.from),
                Ok(None) => return None,
                Err(_) if is_resent => return None,
                Err(_) => {
                    is_resent = true;
                    self.transport.send(&unanswered, &question);
                }
            }
        }
        None
    }

    /// Processes a message of another node.
    pub fn handle(&self, message: OriginMessage, from: SocketAddr) {
        match message {
            OriginMessage::Began { stream, version } => {
                let now = self.now();
                self.lock().memory.record(stream.0, version.0, now);
            }
            OriginMessage::Ask { number, stream } => {
                let version = self.lock().memory.version(stream.0).map(NameKey);
                self.transport
                    .send(&[from], &OriginMessage::Answer { number, version });
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

/// `Answers` receives the answers to the question with the given number, until it is dropped.
struct Answers<'a>(mpsc::Receiver<Answer>, u64, &'a StreamOrigins);

impl Drop for Answers<'_> {
    fn drop(&mut self) {
        self.2.lock().waiting.remove(&self.1);
    }
}
