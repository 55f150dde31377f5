//! Background task that writes the counts of a node to the table.

use std::{sync::Arc, time::Duration};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use tokio::{sync::oneshot, task::JoinHandle};
use verbenahead_core::{
    HashMap, Incarnation, NodeId,
    timer::{Tick, TimerService},
};
use verbenahead_services::WriteOutcome;

use super::{recorder::BurnRecorder, row::HourRow, slice::hour_of, store::BurnStore};

/// Maximum number of rows in one transaction.
const MAX_ROWS_PER_WRITE: usize = 16;

/// `BurnFlushOptions` limits how often a node writes.
#[derive(Debug, Clone, Copy)]
pub struct BurnFlushOptions {
    /// Interval between two writes. A node makes at most one write per interval, and two more per
    /// hour.
    pub period: Duration,
    /// Probability that the node rolls up the rows of past days at the end of an hour.
    pub roll_up_probability: f64,
    /// Seed of the random start time and of the random choice to roll up. A seed per node keeps
    /// nodes from acting at the same time.
    pub seed: u64,
}

impl Default for BurnFlushOptions {
    fn default() -> Self {
        Self {
            period: Duration::from_secs(60),
            roll_up_probability: 0.125,
            seed: 0,
        }
    }
}

/// `BurnFlush` is a handle to the background task that writes a node's counts.
#[derive(Debug)]
pub struct BurnFlush {
    stop: oneshot::Sender<()>,
    task: JoinHandle<()>,
}

impl BurnFlush {
    /// Starts the task.
    pub fn spawn(
        recorder: Arc<BurnRecorder>,
        store: BurnStore,
        node: NodeId,
        incarnation: Incarnation,
        timer: TimerService,
        options: BurnFlushOptions,
    ) -> Self {
        let (stop, stopped) = oneshot::channel();
        let mut rng = SmallRng::seed_from_u64(options.seed);
        let first = options.period.mul_f64(rng.random_range(0.1..1.0));
        let ticks = timer.subscribe(first, options.period);
        let writer = RowWriter {
            recorder,
            store,
            node,
            incarnation,
            written_rows: HashMap::default(),
            roll_up_hour: 0,
            rng,
            options,
        };
        let task = tokio::spawn(run(writer, ticks, stopped));
        Self { stop, task }
    }

    /// Writes the remaining counts and stops the task.
    pub async fn close(self) {
        drop(self.stop);
        if let Err(e) = self.task.await {
            tracing::error!(error = %e, "the burn flush task failed");
        }
    }
}

async fn run(
    mut writer: RowWriter,
    mut ticks: tokio::sync::mpsc::Receiver<Tick>,
    mut stopped: oneshot::Receiver<()>,
) {
    loop {
        tokio::select! {
            _ = &mut stopped => break,
            tick = ticks.recv() => if tick.is_none() { break },
        }
        writer.flush().await;
        writer.roll_up().await;
    }
    writer.flush().await;
}

struct RowWriter {
    recorder: Arc<BurnRecorder>,
    store: BurnStore,
    node: NodeId,
    incarnation: Incarnation,
    /// Last written row of each hour that may still change.
    written_rows: HashMap<u64, HourRow>,
    /// Hour of the last decision whether to roll up.
    roll_up_hour: u64,
    rng: SmallRng,
    options: BurnFlushOptions,
}

impl RowWriter {
    /// Writes the rows that changed since the last write, in one transaction.
    async fn flush(&mut self) {
        let current = hour_of(self.recorder.clock().now());
        let mut rows: Vec<_> = self
            .recorder
            .hours()
            .into_iter()
            .map(|hour| self.recorder.row(hour, hour + 1 >= current))
            .filter(|row| self.written_rows.get(&row.hour) != Some(row))
            .collect();
        rows.truncate(MAX_ROWS_PER_WRITE);
        if rows.is_empty() {
            return;
        }
        match self.store.write(&self.node, self.incarnation, &rows).await {
            WriteOutcome::Done(_) => self.mark_written(rows, current),
            // The next tick writes the rows again. The write is idempotent, so this is safe whether
            // or not this one took effect.
            WriteOutcome::Unknown(reason) | WriteOutcome::NotSent(reason) => {
                tracing::warn!(
                    reason,
                    "burn rows may not have been written; retrying at the next tick"
                );
            }
            WriteOutcome::Refused(_) => tracing::warn!("table refused burn rows"),
        }
    }

    fn mark_written(&mut self, rows: Vec<HourRow>, current: u64) {
        for row in rows {
            if row.hour + 1 < current {
                self.recorder.remove_hour(row.hour);
                self.written_rows.remove(&row.hour);
            } else {
                self.written_rows.insert(row.hour, row);
            }
        }
    }

    /// Rolls up the rows of past days with the configured probability, at most once per hour.
    async fn roll_up(&mut self) {
        let now = self.recorder.clock().now();
        if self.roll_up_hour == hour_of(now) {
            return;
        }
        self.roll_up_hour = hour_of(now);
        if !self.rng.random_bool(self.options.roll_up_probability) {
            return;
        }
        if let Err(e) = self.store.roll_up(now).await {
            tracing::warn!(error = %e, "could not roll up the burn rows of past days");
        }
    }
}
