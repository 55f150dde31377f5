//! The rollout of one service, as its controller knows it.

mod earlier;
mod output;

use std::{sync::Arc, time::Duration};

use tokio::time::Instant;
use verbenahead_core::{ServiceId, time::UnixMillis};
use verbenahead_membership::{NameKey, RolloutCounts, RolloutPhase, Share};
use verbenahead_policy::{
    EvidenceHistory, EvidenceOptions, RollbackReason, RolloutPlan, RolloutPlanOptions, RolloutStep,
    RolloutView,
};
use verbenahead_relay::{clock::policy_now, upstream::UpstreamEntry};
use verbenahead_services::{RolloutState, Version};
use verbenahead_state::{RolloutRecord, RolloutWrite};

use self::earlier::{barred_after, heard_verdict, is_order_of, new_record};
use crate::relay_node::{
    rollout_counts::{CountedNode, CountsSum},
    rollout_duty::AreOfDifferentEras,
    rollout_orders::KnownOrder,
};

/// Time between two log lines about the evidence.
const EVIDENCE_LOG_INTERVAL: Duration = Duration::from_secs(1);

pub use self::earlier::EarlierRollout;

/// `WriteResult` is the outcome of a write of the state.
#[derive(Debug, Clone, PartialEq)]
pub enum WriteResult {
    /// The record was written, with this version of the row.
    Done(Version, RolloutRecord),
    /// Another controller has written the row.
    Superseded,
    /// The rows may have been written.
    Unknown,
}

impl WriteResult {
    /// Returns the result of a write of `record`.
    pub fn from_write(write: RolloutWrite, record: RolloutRecord) -> Self {
        match write {
            RolloutWrite::Done(version) => Self::Done(version, record),
            RolloutWrite::Superseded => Self::Superseded,
        }
    }
}

/// `RolloutControl` controls the rollout of one service.
pub struct RolloutControl {
    known: KnownOrder,
    /// Later order that begins when this one has ended.
    next: Option<KnownOrder>,
    options: RolloutPlanOptions,
    plan: RolloutPlan,
    /// State to be written.
    record: RolloutRecord,
    /// Last state that was written.
    written: Option<RolloutRecord>,
    written_at: Option<Instant>,
    /// Version of the row, or `None` if there is none.
    row: Option<Version>,
    is_row_known: bool,
    retry_at: Instant,
    sums: CountsSum,
    history: EvidenceHistory,
    sent_at: Option<Instant>,
    sent: (Share, RolloutPhase),
    verdict_at: Option<Instant>,
    evidence_logged_at: Option<Instant>,
}

impl RolloutControl {
    /// Begins a rollout, or goes on with the one that `earlier` tells of, from the smallest share.
    pub fn new(
        known: KnownOrder,
        earlier: EarlierRollout<'_>,
        now: UnixMillis,
        are_of_different_eras: AreOfDifferentEras,
        options: &RolloutPlanOptions,
    ) -> Self {
        let row = earlier.stored.map(|stored| stored.version);
        let is_order = |record: &RolloutRecord| is_order_of(record, &known, are_of_different_eras);
        let stored = earlier.stored.filter(|stored| is_order(&stored.record));
        let has_verdict = stored.is_some_and(|stored| stored.record.state != RolloutState::Running);
        if !has_verdict
            && let Some(record) = earlier
                .heard
                .and_then(|heard| heard_verdict(heard, &known, now))
            && is_order(&record)
        {
            tracing::info!(
                service = %known.order.service,
                target = record.target,
                state = %record.state,
                stored = stored.map(|stored| tracing::field::display(stored.record.state)),
                "verdict of a rollout is not in the table, and is known from an earlier controller",
            );
            return Self::go_on_unwritten(known, record, now, options, row);
        }
        let Some(stored) = earlier.stored else {
            return Self::begin(known, Vec::new(), now, options, None);
        };
        if is_order(&stored.record) {
            return Self::go_on(known, stored.record.clone(), now, options, row);
        }
        if stored.record.state != RolloutState::Running {
            let barred = barred_after(&stored.record);
            return Self::begin(known, barred, now, options, row);
        }
        // The earlier rollout ends first.
        let earlier = KnownOrder {
            order: verbenahead_services::RolloutOrder {
                target: stored.record.target.as_str().into(),
                duration: Duration::from_millis(stored.record.duration_ms),
                ..known.order.clone()
            },
            version: Version(stored.record.order),
            read_at: known.read_at,
            is_change: false,
        };
        let mut control = Self::go_on(earlier, stored.record.clone(), now, options, row);
        control.next = Some(known);
        control
    }

    fn begin(
        known: KnownOrder,
        mut barred: Vec<u32>,
        now: UnixMillis,
        options: &RolloutPlanOptions,
        row: Option<Version>,
    ) -> Self {
        barred.retain(|key| *key != NameKey::of(known.order.target.as_str()).0);
        let age = known.read_at.elapsed();
        let record = new_record(&known, barred, now);
        Self::with_record(known, record, age, options, row)
    }

    fn go_on(
        known: KnownOrder,
        record: RolloutRecord,
        now: UnixMillis,
        options: &RolloutPlanOptions,
        row: Option<Version>,
    ) -> Self {
        // A node that saw the order come needs no clock of another one.
        let age = match known.is_change {
            true => known.read_at.elapsed(),
            false => now.since(record.since),
        };
        let is_over = record.state != RolloutState::Running;
        let version = known.version;
        let mut control = Self::with_record(known, record, age, options, row);
        if is_over {
            control.written = Some(control.record.clone());
            // The verdict may be old. Versions that the target replaced may serve again by then, without an
            // order.
            if control.record.state == RolloutState::Succeeded {
                control.record.barred.clear();
            }
        }
        control.adopt(version);
        control
    }

    /// Goes on with a verdict that is to be written and told again.
    fn go_on_unwritten(
        known: KnownOrder,
        record: RolloutRecord,
        now: UnixMillis,
        options: &RolloutPlanOptions,
        row: Option<Version>,
    ) -> Self {
        let mut control = Self::go_on(known, record, now, options, row);
        control.written = None;
        control.verdict_at = Some(Instant::now());
        control
    }

    /// Names the order by its version in the present era, so that the next order of the same target is told from
    /// it, and has the record written again.
    fn adopt(&mut self, version: Version) {
        if self.record.order < version.0 {
            self.record.order = version.0;
            self.written = None;
        }
    }

    fn with_record(
        known: KnownOrder,
        record: RolloutRecord,
        age: Duration,
        options: &RolloutPlanOptions,
        row: Option<Version>,
    ) -> Self {
        let duration = known.order.duration;
        let left = duration.saturating_sub(age);
        tracing::info!(
            service = %known.order.service,
            target = record.target,
            order = record.order,
            age_ms = age.as_millis() as u64,
            left_ms = left.as_millis() as u64,
            state = %record.state,
            "rollout under control of this node",
        );
        Self {
            plan: RolloutPlan::new(*options, duration, policy_now().plus(left)),
            options: *options,
            known,
            next: None,
            record,
            written: None,
            written_at: None,
            row,
            is_row_known: true,
            retry_at: Instant::now(),
            sums: CountsSum::default(),
            history: EvidenceHistory::default(),
            sent_at: None,
            sent: (Share::default(), RolloutPhase::Running),
            verdict_at: None,
            evidence_logged_at: None,
        }
    }

    /// Takes in the last order of the service. A later one begins when this one has ended.
    pub fn update_order(
        &mut self,
        known: KnownOrder,
        now: UnixMillis,
        are_of_different_eras: AreOfDifferentEras,
        options: &RolloutPlanOptions,
    ) {
        if known.version != self.known.version {
            match is_order_of(&self.record, &known, are_of_different_eras) {
                true => self.adopt(known.version),
                false => self.next = Some(known),
            }
        }
        let has_ended = self.record.state != RolloutState::Running
            && self.written.as_ref().map(|written| written.state) == Some(self.record.state);
        if has_ended
            && self.is_row_known
            && let Some(next) = self.next.take()
        {
            let barred = barred_after(&self.record);
            *self = Self::begin(next, barred, now, options, self.row);
        }
    }

    /// Takes in the counts of a node.
    pub fn record(
        &mut self,
        service: &ServiceId,
        node: CountedNode,
        report: u64,
        counts: &[RolloutCounts],
    ) {
        let key = NameKey::from(service);
        let of_order =
            |counts: &&RolloutCounts| counts.service == key && counts.order == self.record.order;
        if let Some(counts) = counts.iter().find(of_order) {
            self.sums.record(node, report, counts.clone());
        }
    }

    /// Decides on the share or the verdict. `nodes` is the number of live nodes.
    pub fn decide(&mut self, service: &ServiceId, live: &[Arc<UpstreamEntry>], nodes: usize) {
        if self.record.state != RolloutState::Running {
            return;
        }
        if self.next.is_some() {
            self.end(
                service,
                RolloutState::RolledBack,
                RollbackReason::Replaced.to_string(),
            );
            return;
        }
        let target = self.target_key();
        let target_replicas = live
            .iter()
            .filter(|e| e.version_key() == Some(target))
            .count();
        let old_replicas = live.iter().filter(|e| self.is_old(e)).count();
        let (attempts, target_attempts) = self.sums.attempts();
        let confirmation = self.sums.confirmation();
        let evidence = self.sums.evidence();
        let view = RolloutView {
            attempts,
            target_attempts,
            rate: self.sums.rate(),
            target_replicas,
            old_replicas,
            open_old: confirmation.open_old,
            longest: self.sums.longest(),
            is_confirmed: confirmation.heard >= nodes
                && confirmation.confirmed == confirmation.heard,
            evaluation: self
                .history
                .evaluate(&evidence, &self.options.evidence, policy_now()),
        };
        let step = self.plan.step(&view, policy_now());
        let share = match step {
            RolloutStep::Share(share) => Share((share * f64::from(Share::ALL.0)) as u16),
            RolloutStep::Succeed => Share::ALL,
            RolloutStep::RollBack(_) => Share::default(),
        };
        let is_log_due = self
            .evidence_logged_at
            .is_none_or(|at| at.elapsed() >= EVIDENCE_LOG_INTERVAL);
        if is_log_due || !matches!(step, RolloutStep::Share(_)) {
            self.evidence_logged_at = Some(Instant::now());
            let found = view.evaluation;
            tracing::info!(
                %service,
                target = self.record.target,
                share = share.0,
                attempts,
                target_attempts,
                rate = view.rate as u64,
                target_replicas,
                old_replicas,
                open_old = view.open_old,
                longest_ms = view.longest.as_millis() as u64,
                nodes,
                heard = confirmation.heard,
                confirmed = confirmation.confirmed,
                age_ms = confirmation.age.as_millis() as u64,
                symptom = found.map(|found| tracing::field::display(found.symptom)),
                route = found.and_then(|found| found.route),
                bad = found.map(|found| found.bad),
                answers = found.map(|found| found.answers),
                usual_share = found.map(|found| found.usual_share),
                log_ratio = found.map(|found| found.log_ratio),
                left_ms = self.plan.remaining(policy_now()).as_millis() as u64,
                "rollout evidence",
            );
        }
        if share.0 != self.record.share {
            tracing::info!(
                %service,
                target = self.record.target,
                share = share.0,
                before = self.record.share,
                attempts,
                target_attempts,
                "rollout share changed",
            );
        }
        self.record.share = share.0;
        (self.record.attempts, self.record.target_attempts) = (attempts, target_attempts);
        match step {
            RolloutStep::Share(_) => {}
            RolloutStep::Succeed => {
                let old = live.iter().filter(|entry| self.is_old(entry));
                let mut replaced: Vec<u32> = old
                    .filter_map(|entry| Some(entry.version_key()?.0))
                    .collect();
                replaced.sort_unstable();
                replaced.dedup();
                self.record.barred.extend(replaced);
                self.end(service, RolloutState::Succeeded, "moved".to_owned());
            }
            RolloutStep::RollBack(reason) => {
                self.end(service, RolloutState::RolledBack, reason.to_string());
            }
        }
    }

    fn end(&mut self, service: &ServiceId, state: RolloutState, reason: String) {
        tracing::info!(
            %service,
            target = self.record.target,
            %state,
            reason,
            attempts = self.record.attempts,
            target_attempts = self.record.target_attempts,
            left_ms = self.plan.remaining(policy_now()).as_millis() as u64,
            "rollout verdict",
        );
        if state == RolloutState::RolledBack {
            self.record.share = 0;
            self.record.barred.push(self.target_key().0);
        }
        self.record.state = state;
        self.record.reason = reason;
        self.verdict_at = Some(Instant::now());
        self.retry_at = Instant::now();
    }

    fn target_key(&self) -> NameKey {
        NameKey::of(&self.record.target)
    }

    fn is_old(&self, entry: &UpstreamEntry) -> bool {
        entry.version_key().is_none_or(|version| {
            version != self.target_key() && !self.record.barred.contains(&version.0)
        })
    }
}

/// Returns the options of the plan for the bounds of the settings.
pub fn plan_options(exposure_share: f64, exposure_slack: f64) -> RolloutPlanOptions {
    RolloutPlanOptions {
        exposure_share,
        exposure_slack,
        evidence: EvidenceOptions::default(),
    }
}
