//! The memory that clients hold in the process, and the closing of their connections when it runs short.

use std::{
    collections::BTreeMap,
    net::{IpAddr, Ipv4Addr},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use derive_more::Display;
use http::Extensions;
use tokio::{sync::Notify, time::timeout};
use verbenahead_policy::{
    ClientMemory, ClientMemoryOptions, ConnectionId, ExpiryReason, Growth, Observed, Stage,
    Timestamp, WorkspaceKey,
};

/// Interval at which connections are observed.
pub const OBSERVE_INTERVAL: Duration = Duration::from_millis(250);

/// Longest time to wait for the memory of connections that are being closed. Their tasks run next, unless the process
/// is overloaded.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(250);

/// Listener of requests that do not come from a connection.
const NO_LISTENER: u8 = u8::MAX;

/// `CloseReason` is the reason why the node closed the connection of a client.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
#[display(rename_all = "snake_case")]
pub enum CloseReason {
    /// Its memory is needed for others.
    Memory,
    /// A new connection needs its place.
    Connections,
    /// The head of a request did not arrive in time.
    SlowHead,
    /// Its client does not read its answer.
    SlowReader,
}

/// `Closed` counts the connections that were closed for one reason since the last report.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Closed {
    /// Number of connections.
    pub count: u64,
    /// Memory that they held, in bytes.
    pub held: u64,
    /// Address of the last one.
    pub last: Option<IpAddr>,
}

impl Closed {
    /// Adds the connections that were closed later.
    pub fn merge(&mut self, later: Self) {
        self.count += later.count;
        self.held += later.held;
        self.last = later.last.or(self.last);
    }
}

/// `MemoryBudget` limits the memory that all clients of the process hold. Clones share it.
#[derive(Debug, Clone)]
pub struct MemoryBudget(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    /// Time that counts for progress, in milliseconds. It stands still while the process does not run, so
    /// that a process that was stopped does not take its clients for slow.
    clock_ms: AtomicU64,
    /// Notified when a connection has released its memory.
    released: Notify,
}

#[derive(Debug)]
struct State {
    memory: ClientMemory,
    connections: BTreeMap<ConnectionId, Arc<Activity>>,
    closed: BTreeMap<CloseReason, Closed>,
}

/// `Activity` is what is recorded of a connection without the lock of the budget.
#[derive(Debug)]
struct Activity {
    client: IpAddr,
    /// Bytes that were moved since the last observation.
    moved: AtomicU64,
    /// Whether data for the client waits for room.
    is_blocked: AtomicBool,
    /// Whether no request is in progress and none has begun to arrive.
    is_idle: AtomicBool,
    /// Requests in progress.
    in_progress: AtomicU32,
    /// Whether a request has passed the checks of route and key.
    is_known: AtomicBool,
    is_closed: AtomicBool,
    closed: Notify,
}

#[derive(Debug)]
struct Account {
    budget: MemoryBudget,
    id: ConnectionId,
    activity: Arc<Activity>,
}

/// `MemoryAccount` is the account of one connection. Clones share it. The connection leaves the budget when
/// the last one is dropped.
#[derive(Debug, Clone)]
pub struct MemoryAccount(Arc<Account>);

impl MemoryBudget {
    /// Builds a budget.
    pub fn new(options: ClientMemoryOptions) -> Self {
        Self(Arc::new(Shared {
            state: Mutex::new(State {
                memory: ClientMemory::new(options),
                connections: BTreeMap::new(),
                closed: BTreeMap::new(),
            }),
            clock_ms: AtomicU64::new(0),
            released: Notify::new(),
        }))
    }

    /// Returns the memory that clients hold, in bytes.
    pub fn used(&self) -> u64 {
        self.state().memory.used()
    }

    /// Returns the limit, in bytes.
    pub fn limit(&self) -> u64 {
        self.state().memory.options().limit
    }

    /// Opens the account of a connection to a listener, which takes `bytes` whatever it does.
    pub fn open(&self, listener: u8, client: IpAddr, bytes: u64) -> MemoryAccount {
        let now = self.now();
        let mut state = self.state();
        let id = state.memory.open(listener, client, now);
        state.memory.add(id, bytes);
        let activity = Arc::new(Activity {
            client,
            moved: AtomicU64::new(0),
            is_blocked: AtomicBool::new(false),
            is_idle: AtomicBool::new(true),
            in_progress: AtomicU32::new(0),
            is_known: AtomicBool::new(false),
            is_closed: AtomicBool::new(false),
            closed: Notify::new(),
        });
        state.connections.insert(id, Arc::clone(&activity));
        drop(state);
        MemoryAccount(Arc::new(Account {
            budget: self.clone(),
            id,
            activity,
        }))
    }

    /// Returns the account of the connection that a request came from, which its extensions hold, or opens one.
    pub fn account_of(&self, extensions: &Extensions) -> MemoryAccount {
        let account = extensions.get::<MemoryAccount>().cloned();
        account.unwrap_or_else(|| self.open(NO_LISTENER, IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0))
    }

    /// Closes a connection of a listener to make room for a new one. Returns whether there is one that may
    /// be closed.
    pub fn close_for_newcomer(&self, listener: u8) -> bool {
        let now = self.now();
        let mut state = self.state();
        let id = state.memory.close_for_newcomer(listener, now);
        if let Some(id) = id {
            state.close(id, CloseReason::Connections);
        }
        id.is_some()
    }

    /// Observes all connections and closes those that are too slow. Called every [`OBSERVE_INTERVAL`].
    pub fn observe(&self, head_timeout: Duration) {
        let clock = &self.0.clock_ms;
        clock.fetch_add(OBSERVE_INTERVAL.as_millis() as u64, Ordering::Relaxed);
        let now = self.now();
        let mut state = self.state();
        let State {
            memory,
            connections,
            ..
        } = &mut *state;
        for (&id, activity) in connections.iter() {
            let observed = Observed {
                moved: activity.moved.swap(0, Ordering::Relaxed),
                is_blocked: activity.is_blocked.load(Ordering::Relaxed),
            };
            memory.observe(id, observed, OBSERVE_INTERVAL, now);
        }
        for (id, reason) in state.memory.expired(head_timeout, now) {
            let reason = match reason {
                ExpiryReason::SlowHead => CloseReason::SlowHead,
                ExpiryReason::SlowReader => CloseReason::SlowReader,
            };
            state.close(id, reason);
        }
    }

    /// Returns the connections that were closed since the last call.
    pub fn take_closed(&self) -> BTreeMap<CloseReason, Closed> {
        std::mem::take(&mut self.state().closed)
    }

    /// Waits until the connections that are being closed have released what was granted to others. Returns whether
    /// they have in time.
    async fn wait_released(&self) -> bool {
        let released = async {
            loop {
                let notified = self.0.released.notified();
                tokio::pin!(notified);
                notified.as_mut().enable();
                if !self.state().memory.is_overdrawn() {
                    return;
                }
                notified.await;
            }
        };
        timeout(RELEASE_TIMEOUT, released).await.is_ok()
    }

    fn now(&self) -> Timestamp {
        Timestamp(Duration::from_millis(
            self.0.clock_ms.load(Ordering::Relaxed),
        ))
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn close(&mut self, id: ConnectionId, reason: CloseReason) {
        let Some(activity) = self.connections.get(&id) else {
            return;
        };
        self.closed.entry(reason).or_default().merge(Closed {
            count: 1,
            held: self.memory.held(id),
            last: Some(activity.client),
        });
        activity.is_closed.store(true, Ordering::Release);
        activity.closed.notify_waiters();
    }
}

impl Drop for Account {
    fn drop(&mut self) {
        let mut state = self.budget.state();
        state.memory.remove(self.id);
        state.connections.remove(&self.id);
        drop(state);
        self.budget.0.released.notify_waiters();
    }
}

impl MemoryAccount {
    /// Waits until the budget closes the connection.
    pub async fn closed(&self) {
        let activity = &self.0.activity;
        let closed = activity.closed.notified();
        tokio::pin!(closed);
        closed.as_mut().enable();
        if !activity.is_closed.load(Ordering::Acquire) {
            closed.await;
        }
    }

    /// Records bytes that arrived.
    pub fn record_read(&self, bytes: usize) {
        let activity = &self.0.activity;
        activity.moved.fetch_add(bytes as u64, Ordering::Relaxed);
        if activity.is_idle.swap(false, Ordering::Relaxed) {
            self.set_stage(Stage::Head);
        }
    }

    /// Records bytes that were sent, or that there was no room to send any.
    pub fn record_write(&self, sent: Option<usize>) {
        let activity = &self.0.activity;
        activity.is_blocked.store(sent.is_none(), Ordering::Relaxed);
        let bytes = sent.unwrap_or_default() as u64;
        activity.moved.fetch_add(bytes, Ordering::Relaxed);
    }

    /// Records the begin of a request, which ends when the guard is dropped.
    pub fn begin_request(&self) -> RequestGuard {
        let activity = &self.0.activity;
        activity.in_progress.fetch_add(1, Ordering::Relaxed);
        activity.is_idle.store(false, Ordering::Relaxed);
        self.set_stage(Stage::Serving);
        RequestGuard(self.clone())
    }

    /// Records that what arrived since the last request belongs to that one.
    pub(crate) fn set_idle(&self) {
        let activity = &self.0.activity;
        if activity.in_progress.load(Ordering::Relaxed) == 0 {
            self.set_stage(Stage::Idle);
            activity.is_idle.store(true, Ordering::Relaxed);
        }
    }

    /// Records that a request has passed the checks of route and key.
    pub fn set_known(&self, workspace: Option<WorkspaceKey>) {
        self.0.activity.is_known.store(true, Ordering::Relaxed);
        let mut state = self.0.budget.state();
        state.memory.set_known(self.0.id, workspace);
    }

    /// Returns whether a request has passed the checks of route and key.
    pub fn is_known(&self) -> bool {
        self.0.activity.is_known.load(Ordering::Relaxed)
    }

    /// Records that the body of the request arrives, or that it has.
    pub(crate) fn set_reading_body(&self, is_reading: bool) {
        self.set_stage(match is_reading {
            true => Stage::Body,
            false => Stage::Serving,
        });
    }

    /// Returns an empty reservation.
    pub fn reservation(&self) -> MemoryReservation {
        MemoryReservation {
            account: self.clone(),
            reserved: 0,
        }
    }

    fn set_stage(&self, stage: Stage) {
        let now = self.0.budget.now();
        let mut state = self.0.budget.state();
        state.memory.set_stage(self.0.id, stage, now);
    }

    fn try_grow(&self, bytes: u64) -> bool {
        let now = self.0.budget.now();
        let mut state = self.0.budget.state();
        match state.memory.grow(self.0.id, bytes, now) {
            Growth::Granted(closed) => {
                for id in closed {
                    state.close(id, CloseReason::Memory);
                }
                true
            }
            Growth::Refused => false,
        }
    }
}

/// `RequestGuard` marks the request of a connection as being served.
#[derive(Debug)]
pub struct RequestGuard(MemoryAccount);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let activity = &self.0.0.activity;
        activity.in_progress.fetch_sub(1, Ordering::Relaxed);
        self.0.set_idle();
    }
}

/// `MemoryReservation` is memory that a connection holds for one purpose. Dropping it releases the memory.
#[derive(Debug)]
pub struct MemoryReservation {
    account: MemoryAccount,
    reserved: u64,
}

impl MemoryReservation {
    /// Reserves `bytes` more. Returns `false` and reserves nothing if there is no memory for them.
    #[must_use]
    pub fn try_grow(&mut self, bytes: usize) -> bool {
        let is_granted = self.account.try_grow(bytes as u64);
        self.reserved += if is_granted { bytes as u64 } else { 0 };
        is_granted
    }

    /// Reserves `bytes` more, and waits until connections that are closed for them have released theirs. Returns
    /// `false` if there is no memory for them, which may then be reserved all the same.
    #[must_use]
    pub async fn grow(&mut self, bytes: usize) -> bool {
        self.try_grow(bytes) && self.account.0.budget.wait_released().await
    }

    /// Sets the memory that is held in any case.
    pub fn set(&mut self, bytes: u64) {
        let id = self.account.0.id;
        let mut state = self.account.0.budget.state();
        match bytes.checked_sub(self.reserved) {
            Some(more) => state.memory.add(id, more),
            None => state.memory.shrink(id, self.reserved - bytes),
        }
        self.reserved = bytes;
    }

    /// Returns the bytes with this reservation, which is released when nobody uses them any more. A library may
    /// buffer them beyond the life of the body that they came from.
    pub fn hold(self, bytes: Bytes) -> Bytes {
        Bytes::from_owner(HeldBytes {
            bytes,
            _reservation: self,
        })
    }

    /// Takes over what another reservation of the same connection holds.
    pub fn merge(&mut self, mut other: Self) {
        self.reserved += std::mem::take(&mut other.reserved);
    }

    /// Returns an empty reservation of the same connection.
    pub fn another(&self) -> Self {
        self.account.reservation()
    }
}

/// `HeldBytes` are bytes with the memory that is reserved for them.
struct HeldBytes {
    bytes: Bytes,
    _reservation: MemoryReservation,
}

impl AsRef<[u8]> for HeldBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        if self.reserved > 0 {
            self.set(0);
        }
    }
}
