//! Reports the usage of each window once.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use tokio::time::timeout;
use verbenahead_core::{HashSet, time::UnixMillis};
use verbenahead_membership::{NameKey, NodeReport};
use verbenahead_policy::{NodeLife, ToldCounts, UsageCollector};
use verbenahead_relay::{Accounts, RouteView};
use verbenahead_services::{DutyHolder, DutyOutcome, UsageReport, UsageReports};
use verbenahead_state::{HandedCounts, UsageLog};

use crate::relay_node::{duty_lease::DutyLease, reporter::SharedRoster};

/// Part of the time in which a report is due after which it is made without nodes that have not
/// told their counts. They may be cut off and come back. The rest is enough for another holder to
/// make the report when this one fails.
const MISSING_RATIO: f64 = 0.6;

/// Longest time for handing counts over at a planned stop. The lease is released after it.
const HAND_OVER_TIMEOUT: Duration = Duration::from_millis(500);

/// `UsageDuty` reports usage while the node holds the lease.
pub struct UsageDuty {
    accounts: Arc<Accounts>,
    roster: SharedRoster,
    routes: RouteView,
    log: UsageLog,
    reports: Arc<dyn UsageReports>,
    /// Time from the end of a window in which its report is due.
    late: Duration,
    collector: UsageCollector,
    /// Window that is reported next, while the lease is held.
    next: Option<u64>,
    /// Report that is written down and not yet known to be accepted.
    written: Option<UsageReport>,
}

impl UsageDuty {
    /// Builds the duty.
    pub fn new(
        accounts: Arc<Accounts>,
        roster: SharedRoster,
        routes: RouteView,
        log: UsageLog,
        reports: Arc<dyn UsageReports>,
        late: Duration,
    ) -> Self {
        Self {
            accounts,
            roster,
            routes,
            log,
            reports,
            late,
            collector: UsageCollector::default(),
            next: None,
            written: None,
        }
    }

    /// Adds up what the others tell, without reporting it, because the node does not hold the
    /// lease. It may hold it next.
    pub fn rest(&mut self) {
        self.next = None;
        self.written = None;
        self.collect();
        self.collector
            .forget_before(self.accounts.oldest_due_window());
    }

    /// Writes down what nodes told that are gone, which the next holder may not have heard.
    pub async fn hand_over(&mut self) {
        self.collect();
        let present: HashSet<NodeLife> = self.roster.lock().live().map(life).collect();
        let gone = self.collector.told_by(|node| !present.contains(&node));
        let gone: Vec<HandedCounts> = gone.into_iter().map(handed).collect();
        if gone.is_empty() {
            return;
        }
        match timeout(HAND_OVER_TIMEOUT, self.log.hand_over(&gone)).await {
            Ok(Ok(())) => {
                tracing::info!(entries = gone.len(), "counts of gone nodes handed over");
            }
            Ok(Err(error)) => tracing::warn!(%error, "counts of gone nodes not handed over"),
            Err(_) => tracing::warn!("counts of gone nodes not handed over in time"),
        }
    }

    /// Takes in what the holder before handed over.
    async fn take_over(&mut self) {
        match self.log.handed_over().await {
            Ok(handed) => {
                tracing::info!(entries = handed.len(), "counts of gone nodes taken over");
                for entry in handed {
                    let node = NodeLife(entry.life);
                    self.collector
                        .note(node, entry.window, entry.is_final, entry.counts);
                }
            }
            Err(error) => tracing::warn!(%error, "counts of gone nodes not taken over"),
        }
    }

    /// Reports the next window, if it can be.
    pub async fn step(&mut self, lease: &DutyLease, holder: &DutyHolder) {
        if self.next.is_none() {
            self.take_over().await;
        }
        self.collect();
        let oldest = self.accounts.oldest_due_window();
        let window = *self.next.get_or_insert(oldest);
        let Some(elapsed) = self.accounts.ended_since(window) else {
            return;
        };
        if elapsed > self.late {
            tracing::warn!(
                window,
                late_ms = elapsed.as_millis() as u64,
                "usage not reported in time"
            );
            self.advance(window);
            return;
        }
        if !self.is_complete(window, elapsed) {
            return;
        }
        let Some(report) = self.write_down(window).await else {
            return;
        };
        self.send(&report, lease, holder).await;
    }

    fn advance(&mut self, window: u64) {
        self.next = Some(window + 1);
        self.written = None;
        self.collector.forget_before(window);
    }

    fn collect(&mut self) {
        for report in self.roster.lock().live() {
            for window in &report.windows {
                let counts = window.counts.iter().map(|(key, count)| (key.0, *count));
                self.collector
                    .note(life(report), window.window, window.is_final, counts);
            }
        }
    }

    fn is_complete(&self, window: u64, elapsed: Duration) -> bool {
        if elapsed > self.late.mul_f64(MISSING_RATIO) {
            return true;
        }
        // A node that was heard after the window began may have counted in it, also when it has
        // been silent since.
        let since_begin = elapsed + self.accounts.window_length();
        let roster = self.roster.lock();
        let mut heard = roster.heard_within(since_begin);
        heard.all(|report| self.collector.is_final(life(report), window))
    }

    async fn write_down(&mut self, window: u64) -> Option<UsageReport> {
        if let Some(written) = &self.written {
            return Some(written.clone());
        }
        let report = self.report(window);
        match self.log.write(&report).await {
            Ok(written) if written.window == window => {
                self.written = Some(written.clone());
                Some(written)
            }
            Ok(later) => {
                tracing::warn!(
                    window,
                    written = later.window,
                    "a later window is written down"
                );
                self.advance(window);
                None
            }
            Err(error) => {
                tracing::warn!(window, %error, "usage not written down");
                None
            }
        }
    }

    fn report(&self, window: u64) -> UsageReport {
        let own = self.accounts.windows();
        let own = own.iter().find(|counts| counts.window == window);
        let own = |key: NameKey| {
            let counts = own.map(|own| &own.counts[..]).unwrap_or_default();
            let found = counts.iter().find(|(known, _)| *known == key);
            found.map_or(0, |(_, count)| *count)
        };
        let routes = self.routes.borrow().clone();
        let mut counts = BTreeMap::new();
        for workspace in routes.iter().flat_map(|routes| routes.workspaces()) {
            let key = NameKey::from(&workspace.id);
            let total = own(key) + self.collector.total(window, key.0);
            if total > 0 {
                counts.insert(workspace.id.clone(), total);
            }
        }
        UsageReport { window, counts }
    }

    async fn send(&mut self, report: &UsageReport, lease: &DutyLease, holder: &DutyHolder) {
        let permit = match lease.permit() {
            Ok(permit) => permit,
            Err(reason) => {
                tracing::info!(window = report.window, %reason, "usage not sent");
                return;
            }
        };
        let sent = permit.send(|_| self.reports.report_usage(report, holder));
        let outcome = match sent.await {
            Ok(outcome) => outcome,
            Err(failure) => DutyOutcome::Unknown(failure.to_string()),
        };
        tracing::info!(
            window = report.window,
            requests = report.counts.values().sum::<u64>(),
            fencing = holder.fencing.0,
            at = UnixMillis::now().0,
            %outcome,
            "usage reported",
        );
        if outcome == DutyOutcome::Accepted {
            self.advance(report.window);
        }
    }
}

fn handed(told: ToldCounts) -> HandedCounts {
    HandedCounts {
        window: told.window,
        life: told.node.0,
        is_final: told.is_final,
        counts: told.counts.into_iter().collect(),
    }
}

fn life(report: &NodeReport) -> NodeLife {
    NodeLife(report.incarnation.0 ^ u64::from(NameKey::of(report.node.as_str()).0))
}
