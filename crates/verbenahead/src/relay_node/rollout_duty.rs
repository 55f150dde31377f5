//! Controls the rollouts that the operator orders, while the node holds the lease.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use tokio::{task::JoinHandle, time::Instant};
use verbenahead_core::{Incarnation, NodeId, ServiceId};
use verbenahead_membership::{RolloutMessage, SharedRoster};
use verbenahead_peer::encode_rollout;
use verbenahead_policy::RolloutPlanOptions;
use verbenahead_relay::{AgreedClock, Rollouts, UpstreamRegistry};
use verbenahead_services::{RolloutState, RowKey, Version};
use verbenahead_state::{Result, RolloutLog, StoredRollout};

use crate::relay_node::{
    duty_epoch::DutyEpoch,
    reporter::SocketTransport,
    rollout_control::{EarlierRollout, RolloutControl, WriteResult},
    rollout_orders::{KnownOrder, RolloutOrders},
};

/// `StatusRow` returns the row that states the status of a rollout.
pub type StatusRow = fn(&ServiceId, &str, RolloutState) -> (RowKey, Bytes);

/// `AreOfDifferentEras` tells whether the store came back from a copy between two versions of rows.
pub type AreOfDifferentEras = fn(Version, Version) -> bool;

/// Delay before the rows are read again after a failure.
const READ_DELAY: Duration = Duration::from_millis(500);

/// Longest time of one write. Another one is tried after that.
const WRITE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// `RolloutDutyParts` are what a `RolloutDuty` is built from.
#[derive(Clone)]
pub struct RolloutDutyParts {
    /// Id of the node.
    pub node: NodeId,
    /// Incarnation of the node.
    pub incarnation: Incarnation,
    /// Bounds of rollouts, and thresholds of their evaluation.
    pub options: RolloutPlanOptions,
    /// Orders that the node has read.
    pub orders: Arc<RolloutOrders>,
    /// Rollouts at this node.
    pub rollouts: Arc<Rollouts>,
    /// Known replicas.
    pub registry: Arc<UpstreamRegistry>,
    /// Known nodes.
    pub roster: SharedRoster,
    /// Sends messages to the nodes.
    pub transport: SocketTransport,
    /// Rows of the rollouts.
    pub log: RolloutLog,
    /// Row of the status.
    pub status_row: StatusRow,
    /// Comparison of versions of orders.
    pub are_of_different_eras: AreOfDifferentEras,
    /// Time of day on which the nodes agree.
    pub clock: Arc<AgreedClock>,
}

/// `RolloutDuty` controls the rollouts in one epoch of the lease.
pub struct RolloutDuty {
    parts: RolloutDutyParts,
    controls: BTreeMap<ServiceId, RolloutControl>,
    rows: Rows,
    writes: BTreeMap<ServiceId, JoinHandle<WriteResult>>,
    /// Sequence number of the last message.
    sequence: u64,
    /// Number of the last sum of this node's own counts.
    own_report: u64,
}

/// `Rows` is what is known of the rows of the rollouts.
enum Rows {
    /// They are to be read from this time on.
    Unread(Instant),
    Reading(JoinHandle<Result<Vec<(ServiceId, StoredRollout)>>>),
    Read(BTreeMap<ServiceId, StoredRollout>),
}

impl RolloutDuty {
    /// Builds the duty without any rollout. It reads the rows that earlier holders wrote.
    pub fn new(parts: RolloutDutyParts) -> Self {
        Self {
            parts,
            controls: BTreeMap::new(),
            rows: Rows::Unread(Instant::now()),
            writes: BTreeMap::new(),
            sequence: 0,
            own_report: 0,
        }
    }

    /// Makes the next step of each rollout.
    pub async fn step(&mut self, epoch: &DutyEpoch) {
        let orders = self.parts.orders.all();
        if orders.is_empty() || epoch.permit().is_err() {
            return;
        }
        if !self.read_rows().await {
            return;
        }
        self.finish_writes().await;
        for (service, order) in orders {
            self.update_control(&service, order);
            self.collect(&service);
            self.advance(&service, epoch);
        }
    }

    /// Reads the rows that earlier controllers wrote. Returns whether they have been read.
    async fn read_rows(&mut self) -> bool {
        match &mut self.rows {
            Rows::Unread(from) if Instant::now() >= *from => {
                let log = self.parts.log.clone();
                self.rows = Rows::Reading(tokio::spawn(async move { log.read_all().await }));
                false
            }
            Rows::Reading(task) if task.is_finished() => {
                match task.await {
                    Ok(Ok(rows)) => {
                        tracing::debug!(rows = rows.len(), "rows of the rollouts read");
                        let rows: BTreeMap<_, _> = rows.into_iter().collect();
                        for (service, control) in &mut self.controls {
                            control.set_row(rows.get(service));
                        }
                        self.rows = Rows::Read(rows);
                        return true;
                    }
                    Ok(Err(error)) => {
                        tracing::warn!(%error, "rows of the rollouts not read");
                    }
                    Err(error) => tracing::error!(%error, "reading rows of the rollouts failed"),
                }
                self.rows = Rows::Unread(Instant::now() + READ_DELAY);
                false
            }
            Rows::Read(_) => true,
            Rows::Unread(_) | Rows::Reading(_) => false,
        }
    }

    async fn finish_writes(&mut self) {
        let done = self.writes.iter().filter(|(_, task)| task.is_finished());
        let done: Vec<ServiceId> = done.map(|(service, _)| service.clone()).collect();
        for service in done {
            let Some(task) = self.writes.remove(&service) else {
                continue;
            };
            let result = task.await.unwrap_or(WriteResult::Unknown);
            if let Some(control) = self.controls.get_mut(&service)
                && control.finish_write(result)
            {
                // The row differs from what is known of it.
                self.rows = Rows::Unread(Instant::now());
                control.forget_row();
            }
        }
    }

    /// Begins to control the rollout of a service, or replaces it with a later order.
    fn update_control(&mut self, service: &ServiceId, known: KnownOrder) {
        let now = self.parts.clock.now();
        if let Some(control) = self.controls.get_mut(service) {
            let are_of_different_eras = self.parts.are_of_different_eras;
            control.update_order(known, now, are_of_different_eras, &self.parts.options);
            return;
        }
        let Rows::Read(rows) = &self.rows else {
            return;
        };
        let heard = self.parts.rollouts.heard(service);
        let earlier = EarlierRollout {
            stored: rows.get(service),
            heard: heard.as_ref(),
        };
        let control = RolloutControl::new(
            known,
            earlier,
            now,
            self.parts.are_of_different_eras,
            &self.parts.options,
        );
        self.controls.insert(service.clone(), control);
    }

    /// Takes in the counts of all nodes.
    fn collect(&mut self, service: &ServiceId) {
        let Some(control) = self.controls.get_mut(service) else {
            return;
        };
        for report in self.parts.roster.lock().live() {
            let node = (report.node.to_string(), report.incarnation.0);
            control.record(service, node, report.sequence, &report.rollout_counts);
        }
        self.own_report += 1;
        let own = (self.parts.node.to_string(), self.parts.incarnation.0);
        let counts = self.parts.rollouts.counts();
        control.record(service, own, self.own_report, &counts);
    }

    fn advance(&mut self, service: &ServiceId, epoch: &DutyEpoch) {
        let Some(control) = self.controls.get_mut(service) else {
            return;
        };
        let live = self.parts.registry.live(service);
        let nodes = self.parts.roster.lock().live_count();
        control.decide(service, &live, nodes);
        let Ok(permit) = epoch.permit() else {
            return;
        };
        if let Some(mut message) = control.due_message(service) {
            self.sequence += 1;
            message.sequence = self.sequence;
            message.fencing = permit.fencing();
            self.send(&message);
        }
        let Some(control) = self.controls.get_mut(service) else {
            return;
        };
        if self.writes.contains_key(service) {
            return;
        }
        let Some((record, expected)) = control.due_write(permit.fencing()) else {
            return;
        };
        let log = self.parts.log.clone();
        let status = (self.parts.status_row)(service, &record.target, record.state);
        let service_id = service.clone();
        let task = tokio::spawn(async move {
            let write = permit.send(|_| log.write(&service_id, &record, expected, status));
            match tokio::time::timeout(WRITE_TIMEOUT, write).await {
                Ok(Ok(Ok(write))) => WriteResult::from_write(write, record),
                Ok(Ok(Err(error))) => {
                    tracing::warn!(service = %service_id, %error, "state of a rollout not written");
                    WriteResult::Unknown
                }
                Ok(Err(failure)) => {
                    tracing::warn!(service = %service_id, %failure, "state of a rollout not written");
                    WriteResult::Unknown
                }
                Err(_) => WriteResult::Unknown,
            }
        });
        self.writes.insert(service.clone(), task);
    }

    /// Sends a message to all nodes, this one included.
    fn send(&self, message: &RolloutMessage) {
        self.parts.rollouts.handle(message);
        let encoded = encode_rollout(message);
        let addresses: Vec<SocketAddr> = self.parts.roster.lock().addresses();
        for address in addresses {
            if let Err(error) = self.parts.transport.0.send_encoded(&encoded, address) {
                tracing::debug!(to = %address, %error, "message about a rollout not sent");
            }
        }
    }
}
