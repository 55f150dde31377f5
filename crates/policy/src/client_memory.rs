//! The memory that clients hold in a process, and the order in which their connections are closed when it
//! runs short.

use std::{cmp::Reverse, collections::BTreeMap, net::IpAddr, time::Duration};

use foldhash::{HashMap, HashMapExt};

use crate::{client_memory_options::ClientMemoryOptions, time::Timestamp};

/// `ConnectionId` identifies a connection in a [`ClientMemory`].
pub type ConnectionId = u64;

/// `WorkspaceKey` identifies a workspace by a hash of its id.
pub type WorkspaceKey = u64;

/// `Stage` is what a connection is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// No request is in progress, and none has begun to arrive.
    Idle,
    /// The head of a request arrives.
    Head,
    /// The body of a request arrives.
    Body,
    /// A request is being served.
    Serving,
}

/// `Standing` is what the process knows of the client of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// No request has passed the checks of route and key.
    Unknown,
    /// A request has passed the checks, of this workspace if the route needs a key.
    Known(Option<WorkspaceKey>),
}

/// `Growth` is the result of a request for memory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Growth {
    /// The memory is granted. These connections must be closed first.
    Granted(Vec<ConnectionId>),
    /// There is no memory.
    Refused,
}

/// `Observed` is what was seen of a connection since the last observation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Observed {
    /// Bytes that arrived or were accepted by the client.
    pub moved: u64,
    /// Whether data for the client waits for room.
    pub is_blocked: bool,
}

#[derive(Debug)]
struct Connection {
    listener: u8,
    address: IpAddr,
    standing: Standing,
    stage: Stage,
    stage_since: Timestamp,
    /// Time of the last sufficient progress.
    progress_at: Timestamp,
    /// Time since which data for the client waits for room without sufficient progress.
    blocked_since: Option<Timestamp>,
    held: u64,
    is_closing: bool,
}

impl Connection {
    /// Returns the time for which the client has made no progress though it is its turn, or `None` if
    /// nothing is expected of it.
    fn stalled(&self, now: Timestamp) -> Option<Duration> {
        match (self.stage, self.blocked_since) {
            (_, Some(since)) => Some(now.since(since)),
            (Stage::Head | Stage::Body, None) => Some(now.since(self.progress_at)),
            (Stage::Idle | Stage::Serving, None) => None,
        }
    }

    /// Returns whether an unknown client holds more than a connection, or has had time to become known. The first
    /// request of an ordinary client takes a moment.
    fn is_overdue(&self, grace: Duration, now: Timestamp) -> bool {
        self.stage == Stage::Body || now.since(self.stage_since) >= grace
    }
}

/// `ClientMemory` accounts for the memory that connections hold, and selects the connections to be closed.
#[derive(Debug)]
pub struct ClientMemory {
    options: ClientMemoryOptions,
    connections: BTreeMap<ConnectionId, Connection>,
    next_id: ConnectionId,
    used: u64,
    /// Part of `used` that connections hold which are being closed.
    closing: u64,
    by_workspace: HashMap<WorkspaceKey, u64>,
    by_address: HashMap<IpAddr, u64>,
}

impl ClientMemory {
    /// Builds an account without connections.
    pub fn new(options: ClientMemoryOptions) -> Self {
        Self {
            options,
            connections: BTreeMap::new(),
            next_id: 0,
            used: 0,
            closing: 0,
            by_workspace: HashMap::new(),
            by_address: HashMap::new(),
        }
    }

    /// Returns the limits.
    pub fn options(&self) -> &ClientMemoryOptions {
        &self.options
    }

    /// Returns the memory that all connections hold, in bytes.
    pub fn used(&self) -> u64 {
        self.used
    }

    /// Returns whether connections that are being closed still hold memory that was granted to others.
    pub fn is_overdrawn(&self) -> bool {
        self.closing > 0 && self.used > self.options.limit
    }

    /// Returns the memory that a connection holds, in bytes.
    pub fn held(&self, id: ConnectionId) -> u64 {
        self.connections.get(&id).map_or(0, |entry| entry.held)
    }

    /// Adds a connection of a client to a listener.
    pub fn open(&mut self, listener: u8, address: IpAddr, now: Timestamp) -> ConnectionId {
        let id = self.next_id;
        self.next_id += 1;
        let connection = Connection {
            listener,
            address,
            standing: Standing::Unknown,
            stage: Stage::Idle,
            stage_since: now,
            progress_at: now,
            blocked_since: None,
            held: 0,
            is_closing: false,
        };
        self.connections.insert(id, connection);
        id
    }

    /// Removes a connection with all that it holds.
    pub fn remove(&mut self, id: ConnectionId) {
        self.shrink(id, u64::MAX);
        self.connections.remove(&id);
    }

    /// Sets what a connection is doing.
    pub fn set_stage(&mut self, id: ConnectionId, stage: Stage, now: Timestamp) {
        if let Some(connection) = self.connections.get_mut(&id)
            && connection.stage != stage
        {
            connection.stage = stage;
            connection.stage_since = now;
            connection.progress_at = now;
        }
    }

    /// Records that a request of a connection passed the checks of route and key.
    pub fn set_known(&mut self, id: ConnectionId, workspace: Option<WorkspaceKey>) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        let held = connection.held;
        let before = std::mem::replace(&mut connection.standing, Standing::Known(workspace));
        if before != connection.standing {
            if let Standing::Known(Some(key)) = before {
                subtract(&mut self.by_workspace, key, held);
            }
            if let Some(key) = workspace {
                *self.by_workspace.entry(key).or_default() += held;
            }
        }
    }

    /// Records what was seen of a connection in the time `elapsed` up to `now`.
    pub fn observe(
        &mut self,
        id: ConnectionId,
        observed: Observed,
        elapsed: Duration,
        now: Timestamp,
    ) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        let enough = self.options.min_rate as f64 * elapsed.as_secs_f64();
        let progresses = observed.moved as f64 >= enough;
        if progresses {
            connection.progress_at = now;
        }
        connection.blocked_since = match observed.is_blocked && !progresses {
            true => connection.blocked_since.or(Some(now)),
            false => None,
        };
    }

    /// Asks for memory for a connection. Connections that are worth less to the node are closed for it if
    /// there is not enough.
    pub fn grow(&mut self, id: ConnectionId, bytes: u64, now: Timestamp) -> Growth {
        let Some(connection) = self.connections.get(&id) else {
            return Growth::Refused;
        };
        let is_large = self.own(connection).saturating_add(bytes) > self.options.small;
        let limit = match is_large {
            true => (self.options.limit as f64 * self.options.large_ratio) as u64,
            false => self.options.limit,
        };
        let wanted = (self.used - self.closing).saturating_add(bytes);
        let mut closed = Vec::new();
        if wanted > limit {
            let Some(victims) = self.victims(id, bytes, wanted - limit, now) else {
                return Growth::Refused;
            };
            for victim in &victims {
                self.set_closing(*victim);
            }
            closed = victims;
        }
        self.add(id, bytes);
        Growth::Granted(closed)
    }

    /// Adds memory that is taken in any case.
    pub fn add(&mut self, id: ConnectionId, bytes: u64) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        connection.held += bytes;
        self.used += bytes;
        self.closing += if connection.is_closing { bytes } else { 0 };
        *self.by_address.entry(connection.address).or_default() += bytes;
        if let Standing::Known(Some(key)) = connection.standing {
            *self.by_workspace.entry(key).or_default() += bytes;
        }
    }

    /// Returns memory that a connection held.
    pub fn shrink(&mut self, id: ConnectionId, bytes: u64) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        let bytes = bytes.min(connection.held);
        connection.held -= bytes;
        self.used -= bytes;
        self.closing -= if connection.is_closing { bytes } else { 0 };
        subtract(&mut self.by_address, connection.address, bytes);
        if let Standing::Known(Some(key)) = connection.standing {
            subtract(&mut self.by_workspace, key, bytes);
        }
    }

    /// Returns what a connection holds beside the part of the kernel.
    fn own(&self, connection: &Connection) -> u64 {
        connection.held.saturating_sub(self.options.kernel)
    }

    /// Selects connections that hold at least `missing` bytes together, to be closed in favour of `id`.
    /// Returns `None` if those that may be closed hold less.
    fn victims(
        &self,
        id: ConnectionId,
        bytes: u64,
        missing: u64,
        now: Timestamp,
    ) -> Option<Vec<ConnectionId>> {
        let wants = self.connections.get(&id)?;
        let wanted = self.own(wants) + bytes;
        let displaces = match wanted <= self.options.small {
            true => wanted * self.options.displaced_ratio,
            false => u64::MAX,
        };
        let is_known = wants.standing != Standing::Unknown;
        let has_share = self.exceeds_share(wants);
        let mut candidates = Vec::new();
        for (&other, connection) in &self.connections {
            if other == id || connection.is_closing || connection.held == 0 {
                continue;
            }
            let is_unknown = connection.standing == Standing::Unknown;
            let stalled = connection.stalled(now).unwrap_or_default();
            let is_stalled = stalled >= self.options.stall_grace;
            let over_share = self.exceeds_share(connection) && !has_share;
            let gives_way = connection.stage == Stage::Body
                && (over_share || self.own(connection) >= displaces);
            let may_close = match (is_known, is_unknown) {
                (true, true) => connection.is_overdue(self.options.stall_grace, now),
                (false, false) => false,
                _ => is_stalled || gives_way,
            };
            if may_close {
                let weight = connection.held as f64 * stalled.as_secs_f64().max(0.001);
                candidates.push((Reverse((is_unknown, over_share, weight as u64)), other));
            }
        }
        candidates.sort_unstable();
        let mut freed = 0;
        let mut victims = Vec::new();
        for (_, other) in candidates {
            if freed >= missing {
                break;
            }
            freed += self.held(other);
            victims.push(other);
        }
        (freed >= missing).then_some(victims)
    }

    /// Returns whether the workspace of a connection, or its address if it is not known, holds more than
    /// its share. Known clients are not judged by their address, which a balancer may share.
    fn exceeds_share(&self, connection: &Connection) -> bool {
        let held = match connection.standing {
            Standing::Known(Some(key)) => self.by_workspace.get(&key),
            Standing::Known(None) => None,
            Standing::Unknown => self.by_address.get(&connection.address),
        };
        let share = self.options.limit as f64 * self.options.share;
        held.is_some_and(|held| *held as f64 > share)
    }

    /// Selects the connection of a listener that is closed for a new one: the oldest without a served
    /// request, from an address that holds more than its share if there is one, and after those the one
    /// that has been without progress for the longest.
    pub fn close_for_newcomer(&mut self, listener: u8, now: Timestamp) -> Option<ConnectionId> {
        let mut candidates = Vec::new();
        for (&id, connection) in &self.connections {
            if connection.listener != listener || connection.is_closing {
                continue;
            }
            let is_known = connection.standing != Standing::Unknown;
            let waited = match is_known || connection.stage == Stage::Serving {
                true => connection.stalled(now).unwrap_or_default(),
                false => now.since(connection.stage_since),
            };
            if waited >= self.options.newcomer_grace {
                let is_within_share = !self.exceeds_share(connection);
                candidates.push((is_known, is_within_share, Reverse(waited), id));
            }
        }
        let id = candidates.into_iter().min().map(|(.., id)| id)?;
        self.set_closing(id);
        Some(id)
    }

    /// Selects the connections whose head has arrived for longer than `head_timeout`, and those whose answer
    /// is read too slowly.
    pub fn expired(
        &mut self,
        head_timeout: Duration,
        now: Timestamp,
    ) -> Vec<(ConnectionId, ExpiryReason)> {
        let mut expired = Vec::new();
        for (&id, connection) in &self.connections {
            let is_blocked = connection
                .blocked_since
                .is_some_and(|since| now.since(since) >= self.options.reader_grace);
            let is_late =
                connection.stage == Stage::Head && now.since(connection.stage_since) > head_timeout;
            match (connection.is_closing, is_late, is_blocked) {
                (true, ..) | (_, false, false) => {}
                (_, true, _) => expired.push((id, ExpiryReason::SlowHead)),
                (_, false, true) => expired.push((id, ExpiryReason::SlowReader)),
            }
        }
        for (id, _) in &expired {
            self.set_closing(*id);
        }
        expired
    }

    fn set_closing(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(&id)
            && !connection.is_closing
        {
            connection.is_closing = true;
            self.closing += connection.held;
        }
    }
}

/// `ExpiryReason` is the reason why a connection is closed without a want of memory or connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExpiryReason {
    /// The head of its request did not arrive in time.
    SlowHead,
    /// Its client does not read its answer.
    SlowReader,
}

fn subtract<K: Eq + std::hash::Hash>(held: &mut HashMap<K, u64>, key: K, bytes: u64) {
    if let std::collections::hash_map::Entry::Occupied(mut entry) = held.entry(key) {
        *entry.get_mut() = entry.get().saturating_sub(bytes);
        if *entry.get() == 0 {
            entry.remove();
        }
    }
}
