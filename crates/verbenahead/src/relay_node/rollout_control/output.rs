//! Messages and rows of a rollout under control.

use std::time::Duration;

use tokio::time::Instant;
use verbenahead_core::{FencingNumber, ServiceId};
use verbenahead_membership::{NameKey, RolloutMessage, RolloutPhase, Share};
use verbenahead_services::{RolloutState, Version};
use verbenahead_state::{RolloutRecord, StoredRollout};

use super::{RolloutControl, WriteResult};

/// Time for which nodes use a share after the last message. Shares fall to zero within it when the
/// controller ends or is cut off.
const VALIDITY: Duration = Duration::from_secs(2);

/// Time between two messages while there is no verdict. Four messages in a row are lost before a share
/// ends.
const RESEND_INTERVAL: Duration = Duration::from_millis(450);

/// Time after a verdict in which messages follow each other as closely as every second, so that all nodes
/// know it soon. The versions that a target replaced are barred for this time, in which the
/// platform stops them.
const VERDICT_PERIOD: Duration = Duration::from_secs(30);

/// Time between two messages within and after [`VERDICT_PERIOD`]. Nodes that start later need them.
const VERDICT_INTERVALS: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(10));

/// Time between two writes of the state without a change of it.
const WRITE_INTERVAL: Duration = Duration::from_secs(2);

/// Delay before a write is tried again.
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(300);

impl RolloutControl {
    /// Returns the message that is due, without its number. The verdict is told only when it is written.
    pub fn due_message(&mut self, service: &ServiceId) -> Option<RolloutMessage> {
        let state = self.written.as_ref().map(|written| written.state);
        let phase = match state.unwrap_or_default() {
            RolloutState::Running => RolloutPhase::Running,
            RolloutState::Succeeded => RolloutPhase::Succeeded,
            RolloutState::RolledBack => RolloutPhase::RolledBack,
        };
        let is_recent = self
            .verdict_at
            .is_some_and(|at| at.elapsed() < VERDICT_PERIOD);
        let interval = match (phase, is_recent) {
            (RolloutPhase::Running, _) => RESEND_INTERVAL,
            (_, true) => VERDICT_INTERVALS.0,
            (_, false) => VERDICT_INTERVALS.1,
        };
        let content = (Share(self.record.share), phase);
        let is_due = self.sent_at.is_none_or(|at| at.elapsed() >= interval);
        if !is_due && content == self.sent {
            return None;
        }
        self.sent_at = Some(Instant::now());
        self.sent = content;
        let barred = match (phase, is_recent) {
            (RolloutPhase::Succeeded, false) => &[][..],
            (RolloutPhase::Running, _) if self.record.state == RolloutState::Succeeded => &[],
            _ => &self.record.barred,
        };
        Some(RolloutMessage {
            service: NameKey::from(service),
            target: self.target_key(),
            order: self.record.order,
            fencing: FencingNumber::default(),
            sequence: 0,
            share: content.0,
            validity: VALIDITY,
            phase,
            barred: barred.iter().copied().map(NameKey).collect(),
        })
    }

    /// Returns the record to write now, if one is due, and the version that its row must have.
    pub fn due_write(&self, fencing: FencingNumber) -> Option<(RolloutRecord, Option<Version>)> {
        if !self.is_row_known || Instant::now() < self.retry_at {
            return None;
        }
        let is_due = match &self.written {
            None => true,
            Some(written) if written.state != self.record.state => true,
            Some(_) if self.record.state != RolloutState::Running => false,
            Some(written) => {
                written.share != self.record.share
                    && self
                        .written_at
                        .is_none_or(|at| at.elapsed() >= WRITE_INTERVAL)
            }
        };
        let record = RolloutRecord {
            fencing,
            ..self.record.clone()
        };
        is_due.then_some((record, self.row))
    }

    /// Takes in the outcome of a write. Returns whether the row must be read again.
    pub fn finish_write(&mut self, result: WriteResult) -> bool {
        match result {
            WriteResult::Done(version, record) => {
                tracing::info!(
                    service = %self.known.order.service,
                    target = record.target,
                    state = %record.state,
                    share = record.share,
                    fencing = record.fencing.0,
                    "state of a rollout written",
                );
                self.row = Some(version);
                self.written_at = Some(Instant::now());
                self.written = Some(record);
                false
            }
            WriteResult::Superseded | WriteResult::Unknown => {
                self.retry_at = Instant::now() + WRITE_RETRY_DELAY;
                true
            }
        }
    }

    /// Forgets the row, which may have changed. The state is written again when it has been read.
    pub fn forget_row(&mut self) {
        self.is_row_known = false;
    }

    /// Takes in the row, or that there is none. A verdict in it is kept.
    pub fn set_row(&mut self, stored: Option<&StoredRollout>) {
        if self.is_row_known {
            return;
        }
        self.is_row_known = true;
        self.row = stored.map(|stored| stored.version);
        let same = stored.filter(|stored| {
            stored.record.order == self.record.order && stored.record.target == self.record.target
        });
        match same {
            Some(stored) if stored.record.state != RolloutState::Running => {
                self.record = stored.record.clone();
                self.written = Some(stored.record.clone());
                self.verdict_at.get_or_insert_with(Instant::now);
            }
            _ => self.written = None,
        }
    }
}
