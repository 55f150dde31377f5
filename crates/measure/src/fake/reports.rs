//! Delayed load reports of the replicas.

use std::time::Duration;

use verbenahead_core::units::Tokens;
use verbenahead_policy::{ReportedLoad, Timestamp};

use super::{
    replica::{Replica, ReplicaState},
    run::Run,
    schedule::Event,
};

/// `Snapshot` holds the load of all replicas at one time.
#[derive(Debug, Clone)]
pub(super) struct Snapshot {
    taken_at: f64,
    loads: Vec<ReportedLoad>,
}

impl Run<'_> {
    pub(super) fn report_loads(&mut self, now: f64) {
        let loads = self.replicas.iter().map(|replica| load_of(replica, now));
        self.snapshots.push_back(Snapshot {
            taken_at: now,
            loads: loads.collect(),
        });
        let visible = now - self.options.report_lag;
        while self.snapshots.len() > 1 && self.snapshots[1].taken_at <= visible {
            self.snapshots.pop_front();
        }
        if self.snapshots[0].taken_at <= visible {
            self.deliver_reports(now);
        }
        self.schedule
            .push(now + self.options.report_period, Event::LoadReport);
    }

    fn deliver_reports(&mut self, now: f64) {
        let snapshot = &self.snapshots[0];
        let age = Duration::from_secs_f64(now - snapshot.taken_at);
        for (index, load) in snapshot.loads.iter().enumerate() {
            if self.replicas[index].state == ReplicaState::Gone {
                continue;
            }
            let load = ReportedLoad { age, ..*load };
            self.router
                .on_report(index, load, Timestamp::from_secs_f64(now));
        }
    }
}

fn load_of(replica: &Replica, now: f64) -> ReportedLoad {
    let backlog = (replica.prefill_free_at - now).max(0.0) * replica.prefill_rate;
    ReportedLoad {
        running: replica.running.len() as u32,
        queued: replica.queued() as u32,
        batch_limit: replica.batch_limit,
        queued_tokens: Some(Tokens(backlog as u64)),
        time_percent: None,
        age: Duration::ZERO,
    }
}
