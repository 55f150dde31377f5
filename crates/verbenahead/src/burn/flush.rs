//! Writing of counts to the table.

use std::{sync::Arc, time::Duration};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use tokio::{sync::oneshot, task::JoinHandle};
use verbenahead_core::{
    HashMap, Incarnation, NodeId,
    timer::{Tick, TimerService},
};
use verbenahead_services::WriteOutcome;

use super::{recorder::BurnRecorder, row::HourRow, slice::hour_of, store::BurnStore};

/// Rows of one write.
const ROWS_PER_WRITE: usize = 16;

/// `BurnFlushOptions` bound what a node writes.
#[derive(Debug, Clone, Copy)]
pub struct BurnFlushOptions {
    /// Time between two writes. A node makes at most one write in this time, and two more an
    /// hour.
    pub period: Duration,
    /// Part of the hours at whose end the node looks after the rows of past days.
    pub roll_up_probability: f64,
    /// Seed of the draws, so that nodes do not act at the same time.
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

/// `BurnFlush` is the task that writes a node's counts.
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
        let writer = Writer {
            recorder,
            store,
            node,
            incarnation,
            written: HashMap::default(),
            rolled_up_at: 0,
            rng,
            options,
        };
        let task = tokio::spawn(run(writer, ticks, stopped));
        Self { stop, task }
    }

    /// Writes what is left and ends the task.
    pub async fn close(self) {
        drop(self.stop);
        if let Err(e) = self.task.await {
            tracing::error!(error = %e, "the burn task failed");
        }
    }
}

async fn run(
    mut writer: Writer,
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

struct Writer {
    recorder: Arc<BurnRecorder>,
    store: BurnStore,
    node: NodeId,
    incarnation: Incarnation,
    written: HashMap<u64, HourRow>,
    rolled_up_at: u64,
    rng: SmallRng,
    options: BurnFlushOptions,
}

impl Writer {
    /// Writes the rows that changed, in one transaction.
    async fn flush(&mut self) {
        let current = hour_of(self.recorder.clock().now());
        let mut rows: Vec<_> = self
            .recorder
            .hours()
            .into_iter()
            .map(|hour| self.recorder.row(hour, hour + 1 >= current))
            .filter(|row| self.written.get(&row.hour) != Some(row))
            .collect();
        rows.truncate(ROWS_PER_WRITE);
        if rows.is_empty() {
            return;
        }
        match self.store.write(&self.node, self.incarnation, &rows).await {
            WriteOutcome::Done(_) => self.note(rows, current),
            // The rows are written again at the next tick, which is safe whatever happened.
            WriteOutcome::Unknown(reason) | WriteOutcome::NotSent(reason) => {
                tracing::warn!(reason, "burn rows may not have been written");
            }
            WriteOutcome::Refused(_) => tracing::warn!("burn rows were refused"),
        }
    }

    fn note(&mut self, rows: Vec<HourRow>, current: u64) {
        for row in rows {
            if row.hour + 1 < current {
                self.recorder.forget(row.hour);
                self.written.remove(&row.hour);
            } else {
                self.written.insert(row.hour, row);
            }
        }
    }

    /// Looks after the rows of past days, at most once an hour.
    async fn roll_up(&mut self) {
        let now = self.recorder.clock().now();
        if self.rolled_up_at == hour_of(now) {
            return;
        }
        self.rolled_up_at = hour_of(now);
        if !self.rng.random_bool(self.options.roll_up_probability) {
            return;
        }
        if let Err(e) = self.store.roll_up(now).await {
            tracing::warn!(error = %e, "past burn rows could not be joined");
        }
    }
}
