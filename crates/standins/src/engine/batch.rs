//! The continuous batch.

use std::{mem, sync::Arc, time::Duration};

use tokio::{
    sync::watch,
    task::yield_now,
    time::{Instant, sleep, sleep_until},
};

use super::{
    attempt::{Attempt, Emitted, Noise},
    state::{EngineState, Inner},
};
use crate::server::wait_stopped;

/// Tokens of one write when the engine runs as fast as it can.
const TOKENS_PER_FAST_WRITE: u64 = 64;

/// Wait of an engine that runs as fast as it can while all its readers are slow.
const BLOCKED_WAIT: Duration = Duration::from_millis(1);

/// Runs the batch until the server stops.
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
        // Steps follow each other at their planned times, so that late timers do not add up.
        due = (due + duration).max(Instant::now());
        if duration.is_zero() {
            yield_now().await;
        } else {
            sleep_until(due).await;
        }
        let has_generated = state.lock().end_step();
        if !has_generated && duration.is_zero() {
            sleep(BLOCKED_WAIT).await;
        }
    }
}

impl Inner {
    /// Fills the batch from the queue. Returns the duration of the step, or `None` without work.
    fn begin_step(&mut self, prefill_us_per_token: u64) -> Option<Duration> {
        self.drop_cancelled();
        let mut computed = 0;
        while self.batch.len() < self.batch_limit && !self.waiting.is_empty() {
            let attempt = self.take_first();
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
        let before = self.waiting.len();
        self.waiting.retain(|attempt| !attempt.is_cancelled());
        self.counts.cancelled += (before - self.waiting.len()) as u64;
    }

    /// Takes the attempt with the highest priority, and of those the one that has waited longest.
    fn take_first(&mut self) -> Attempt {
        let highest = self.waiting.iter().map(|a| a.priority).max();
        let first = self
            .waiting
            .iter()
            .position(|a| Some(a.priority) == highest);
        self.waiting.remove(first.unwrap_or(0))
    }

    /// Processes the input of an attempt. Returns how many tokens were not cached.
    fn prefill(&mut self, attempt: &Attempt) -> u64 {
        let cached = self.cache.look_up(&attempt.chain);
        let uncached = (attempt.input_tokens() - cached) as u64;
        self.counts.prompt_tokens_computed += attempt.uncached_prompt(cached) as u64;
        if attempt.is_continuation {
            self.counts.recomputed_tokens += uncached;
        }
        self.cache.insert_all(&attempt.chain);
        uncached
    }

    /// Sends the next token of each attempt. Returns whether any token was generated.
    fn end_step(&mut self) -> bool {
        if self.behaviour.is_stalled {
            return false;
        }
        let is_fast = self.behaviour.token_ms == 0;
        let count = if is_fast { TOKENS_PER_FAST_WRITE } else { 1 };
        let noise = Noise {
            has_foreign_frames: self.behaviour.foreign_frames,
            has_repeated_frames: self.behaviour.repeated_frames,
        };
        let mut has_generated = false;
        for mut attempt in mem::take(&mut self.batch) {
            let cache = &mut self.cache;
            let emitted = attempt.step(count, noise, |chain| {
                if let Some(hash) = chain.finished_block() {
                    cache.insert(hash);
                }
            });
            has_generated |= emitted != Emitted::Blocked;
            self.settle(attempt, emitted);
        }
        self.record_load();
        has_generated
    }

    fn settle(&mut self, attempt: Attempt, emitted: Emitted) {
        match emitted {
            Emitted::Tokens(count) => {
                self.counts.tokens_generated += count;
                self.batch.push(attempt);
            }
            Emitted::Blocked => self.batch.push(attempt),
            Emitted::Finished(count) => {
                self.counts.tokens_generated += count;
                self.counts.finished += 1;
                self.keep_ended(&attempt);
            }
            Emitted::Cancelled => {
                self.counts.cancelled += 1;
                self.keep_ended(&attempt);
            }
        }
    }

    /// Breaks all streams of the batch off.
    pub(super) fn break_streams(&mut self) {
        for attempt in mem::take(&mut self.batch) {
            self.keep_ended(&attempt);
            attempt.break_off();
        }
    }
}
