//! Continuous batching.

use std::{mem, sync::Arc, time::Duration};

use tokio::{
    sync::watch,
    task::yield_now,
    time::{Instant, sleep, sleep_until},
};

use super::{
    attempt::{Attempt, ExtraFrames, StepResult},
    state::{EngineState, Inner},
};
use crate::server::wait_stopped;

/// Tokens per write when `token_ms` is 0.
const FAST_WRITE_TOKENS: u64 = 64;

/// Delay before the next step when `token_ms` is 0 and all readers are slow.
const BLOCKED_DELAY: Duration = Duration::from_millis(1);

/// Runs batch steps until the server stops.
pub(super) async fn run(state: Arc<EngineState>, stopped: watch::Receiver<()>) {
    tokio::select! {
        () = run_steps(&state) => {}
        () = wait_stopped(stopped) => {}
    }
}

async fn run_steps(state: &EngineState) {
    let mut due = Instant::now();
    loop {
        let plan = state.lock().begin_step(state.options.prefill_us_per_token);
        let Some(duration) = plan else {
            state.has_work.notified().await;
            due = Instant::now();
            continue;
        };
        // Each step is scheduled relative to the last one, so that timer delays do not accumulate.
        due = (due + duration).max(Instant::now());
        if duration.is_zero() {
            yield_now().await;
        } else {
            sleep_until(due).await;
        }
        let has_generated = state.lock().end_step();
        if !has_generated && duration.is_zero() {
            sleep(BLOCKED_DELAY).await;
        }
    }
}

impl Inner {
    /// Fills the batch from the queue. Returns the duration of the step, or `None` if the batch is
    /// empty.
    fn begin_step(&mut self, prefill_us_per_token: u64) -> Option<Duration> {
        self.drop_cancelled();
        let mut computed = 0;
        while self.batch.len() < self.batch_limit && !self.queue.is_empty() {
            let attempt = self.take_next();
            computed += self.prefill(&attempt);
            self.batch.push(attempt);
        }
        self.record_load();
        if self.batch.is_empty() {
            return None;
        }
        let prefill = Duration::from_micros(prefill_us_per_token.saturating_mul(computed));
        Some(Duration::from_millis(self.behaviour.token_ms) + prefill)
    }

    fn drop_cancelled(&mut self) {
        let before = self.queue.len();
        self.queue.retain(|attempt| !attempt.is_cancelled());
        self.counts.cancelled += (before - self.queue.len()) as u64;
    }

    /// Removes the oldest attempt of the highest priority from the queue.
    fn take_next(&mut self) -> Attempt {
        let highest = self.queue.iter().map(|a| a.priority).max();
        let first = self.queue.iter().position(|a| Some(a.priority) == highest);
        self.queue.remove(first.unwrap_or(0))
    }

    /// Processes the input of an attempt. Returns the number of uncached tokens.
    fn prefill(&mut self, attempt: &Attempt) -> u64 {
        let cached = self.cache.lookup(&attempt.chain);
        let uncached = (attempt.input_tokens() - cached) as u64;
        self.counts.prompt_tokens_computed += attempt.uncached_prompt(cached) as u64;
        if attempt.is_continuation {
            self.counts.recomputed_tokens += uncached;
        }
        self.cache.insert_all(&attempt.chain);
        uncached
    }

    /// Sends the next tokens of each attempt. Returns `false` if the engine is stalled or all
    /// readers were slow.
    fn end_step(&mut self) -> bool {
        if self.behaviour.is_stalled {
            return false;
        }
        let is_fast = self.behaviour.token_ms == 0;
        let count = if is_fast { FAST_WRITE_TOKENS } else { 1 };
        let extra_frames = ExtraFrames {
            has_foreign_frames: self.behaviour.foreign_frames,
            has_repeated_frames: self.behaviour.repeated_frames,
        };
        let mut has_generated = false;
        for mut attempt in mem::take(&mut self.batch) {
            let cache = &mut self.cache;
            let result = attempt.step(count, extra_frames, |chain| {
                if let Some(hash) = chain.completed_block() {
                    cache.insert(hash);
                }
            });
            has_generated |= result != StepResult::Blocked;
            self.record_result(attempt, result);
        }
        self.record_load();
        has_generated
    }

    fn record_result(&mut self, attempt: Attempt, result: StepResult) {
        match result {
            StepResult::Tokens(count) => {
                self.counts.tokens_generated += count;
                self.batch.push(attempt);
            }
            StepResult::Blocked => self.batch.push(attempt),
            StepResult::Finished(count) => {
                self.counts.tokens_generated += count;
                self.counts.finished += 1;
                self.store_ended(&attempt);
            }
            StepResult::Cancelled => {
                self.counts.cancelled += 1;
                self.store_ended(&attempt);
            }
        }
    }

    /// Aborts all streams of the batch.
    pub(super) fn break_streams(&mut self) {
        for attempt in mem::take(&mut self.batch) {
            self.store_ended(&attempt);
            attempt.abort();
        }
    }
}
