//! Nodes tell each other of replicas that fail part of their requests.
//!
//! Each node reports the failures that it sees to the nodes that collect them for the replica. When the
//! failures of several nodes suffice, a collector asks all nodes to avoid the replica for some time. This
//! is only done for replicas that state the speed of their machines, since these share their machines
//! with others and fail or slow down one by one.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use tokio::sync::mpsc;
use verbenahead_core::{HashMap, NodeId};
use verbenahead_membership::{FailureMessage, NameKey, SharedRoster};
use verbenahead_policy::{
    FailureRecord, SharedFailureOptions, collector_choice::first_choices,
    shared_failures::may_avoid,
};

use crate::{
    clock::policy_now, quota_transport::NoTransport, registry::UpstreamRegistry,
    upstream::UpstreamEntry,
};

/// Number of nodes that collect the failures of a replica. Each of them asks all nodes to avoid it, so that
/// dead collectors and lost messages matter little.
const COLLECTORS: usize = 3;

/// Largest number of failures that one message counts for, whatever it states.
const MAX_REPORTED: u32 = 8;

/// Largest pause that another node is believed.
const MAX_PAUSE: Duration = Duration::from_secs(10);

/// `FailureTransport` sends messages to other nodes. Messages may be lost, and none is retransmitted.
pub trait FailureTransport: Send + Sync + 'static {
    /// Sends a message to each of the addresses without waiting.
    fn send(&self, to: &[SocketAddr], message: &FailureMessage);
}

impl FailureTransport for NoTransport {
    fn send(&self, _: &[SocketAddr], _: &FailureMessage) {}
}

/// `FailureSharing` shares the failures of replicas between the nodes.
pub struct FailureSharing {
    options: SharedFailureOptions,
    own: NodeId,
    roster: SharedRoster,
    registry: Arc<UpstreamRegistry>,
    transport: Arc<dyn FailureTransport>,
    /// Failures of the replicas for which this node collects them.
    records: Mutex<HashMap<NameKey, FailureRecord>>,
}

impl FailureSharing {
    /// Builds the part of the node `own`.
    pub fn new(
        options: SharedFailureOptions,
        own: NodeId,
        roster: SharedRoster,
        registry: Arc<UpstreamRegistry>,
        transport: Arc<dyn FailureTransport>,
    ) -> Self {
        Self {
            options,
            own,
            roster,
            registry,
            transport,
            records: Mutex::default(),
        }
    }

    /// Reports the failures that `failures` receives, until its senders are dropped. Each item is the key of
    /// the incarnation of a replica that failed a request of this node.
    pub async fn run(self: Arc<Self>, mut failures: mpsc::Receiver<NameKey>) {
        while let Some(replica) = failures.recv().await {
            self.report(replica);
        }
    }

    /// Processes a message of another node.
    pub fn handle(&self, message: FailureMessage, from: SocketAddr) {
        match message {
            FailureMessage::Failures { replica, count } => {
                let reporter = NameKey::of(&from.to_string());
                for _ in 0..count.min(MAX_REPORTED) {
                    self.collect(replica, reporter);
                }
            }
            FailureMessage::Pause { replica, duration } => {
                self.avoid(replica, duration.min(MAX_PAUSE), &from);
            }
        }
    }

    fn report(&self, replica: NameKey) {
        let mut addresses = Vec::new();
        let mut is_collector = false;
        {
            let roster = self.roster.lock();
            let nodes = roster.serving_nodes().chain([&self.own]);
            for node in first_choices(replica.0.into(), nodes, COLLECTORS) {
                match *node == self.own {
                    true => is_collector = true,
                    false => addresses.extend(roster.address_of(node)),
                }
            }
        }
        let message = FailureMessage::Failures { replica, count: 1 };
        self.transport.send(&addresses, &message);
        if is_collector {
            self.collect(replica, NameKey::of(self.own.as_str()));
        }
    }

    /// Records a failure as a collector, and asks all nodes to avoid the replica if that makes enough.
    fn collect(&self, replica: NameKey, reporter: NameKey) {
        let Some(entry) = self.entry(replica) else {
            return;
        };
        let now = policy_now();
        let expected = self.expected_requests(&entry);
        let mut records = self.lock();
        records.retain(|key, record| *key == replica || !record.is_idle(&self.options, now));
        let record = records.entry(replica).or_default();
        let pause = record.record(reporter.0.into(), expected, &self.options, now);
        drop(records);
        let Some(duration) = pause else {
            return;
        };
        tracing::info!(
            upstream = %entry.address.upstream,
            service = %entry.service,
            expected_requests = expected as u64,
            window_ms = self.options.window.as_millis() as u64,
            pause_ms = duration.as_millis() as u64,
            "failures of a replica at several nodes",
        );
        let addresses = self.roster.lock().addresses();
        self.transport
            .send(&addresses, &FailureMessage::Pause { replica, duration });
        self.avoid(replica, duration, &self.own);
    }

    /// Returns the number of requests that all nodes are expected to send to a replica in the window.
    fn expected_requests(&self, entry: &UpstreamEntry) -> f64 {
        let nodes = self.roster.lock().live_count().max(1) as f64;
        let replicas = self.registry.live(&entry.service).len().max(1) as f64;
        entry.own_answer_rate() * nodes / replicas * self.options.window.as_secs_f64()
    }

    fn avoid(&self, replica: NameKey, duration: Duration, told_by: &impl ToString) {
        let Some(entry) = self.entry(replica) else {
            return;
        };
        let live = self.registry.live(&entry.service);
        let avoided = live.iter().filter(|other| other.is_paused()).count();
        if entry.is_paused() || may_avoid(avoided, live.len()) {
            entry.pause(duration);
            tracing::debug!(
                upstream = %entry.address.upstream,
                pause_ms = duration.as_millis() as u64,
                avoided,
                live = live.len(),
                told_by = told_by.to_string(),
                "failing replica avoided",
            );
        }
    }

    fn entry(&self, replica: NameKey) -> Option<Arc<UpstreamEntry>> {
        let mut entries = self.registry.all().into_iter();
        entries.find(|entry| entry.incarnation_key() == replica)
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<NameKey, FailureRecord>> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
