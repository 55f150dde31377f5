//! The knowledge of a placement coordinator about one replica: the prompts that all nodes sent there lately,
//! and the load that the replica stated last.

use std::{collections::VecDeque, time::Duration};

use verbenahead_core::units::Tokens;

use crate::{prefill_model::PrefillModel, time::Timestamp};

/// `ReplicaBookOptions` sets how long a book keeps what it was told.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReplicaBookOptions {
    /// Times of the replica.
    pub model: PrefillModel,
    /// Time after which a prompt is forgotten whose first event nobody reported, beyond twice the time
    /// predicted for it.
    pub prompt_grace: Duration,
    /// Time for which a stream is taken to run when the replica states nothing.
    pub stream_time: Duration,
    /// Time over which a stated time factor decays to 1. Machines are slow for 600 ms at a time.
    pub factor_period: Duration,
    /// Time for which the stated number of running requests is used.
    pub running_period: Duration,
    /// Largest number of entries.
    pub max_entries: usize,
    /// Time for which a book is incomplete after it was opened. Prompts that were placed before are
    /// processed by then.
    pub opening: Duration,
    /// Time for which a book is kept without messages about the replica.
    pub keep: Duration,
}

impl Default for ReplicaBookOptions {
    fn default() -> Self {
        Self {
            model: PrefillModel::default(),
            prompt_grace: Duration::from_millis(500),
            stream_time: Duration::from_secs(3),
            factor_period: Duration::from_millis(600),
            running_period: Duration::from_secs(2),
            max_entries: 256,
            opening: Duration::from_millis(1_500),
            keep: Duration::from_secs(60),
        }
    }
}

/// `StatedLoad` is the load that a replica stated in an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StatedLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Time that work takes now, in percent of the usual.
    pub time_percent: u32,
}

/// Largest time factor that is believed.
const MAX_FACTOR: f64 = 10.0;

/// `BookedLoad` is the estimated load of a replica at the time of an answer of its coordinator.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BookedLoad {
    /// Time to process the queued prompts at the usual speed.
    pub queued: Duration,
    /// Streams that run.
    pub streams: u32,
    /// Factor by which work takes longer than usual.
    pub time_factor: f64,
    /// Age of the last statement of the replica, if there is one.
    pub stated_age: Option<Duration>,
    /// Whether the book is old enough to contain all queued prompts.
    pub is_complete: bool,
}

#[derive(Debug, Clone, Copy, PartialEq)]
struct Entry {
    id: u64,
    placed_at: Timestamp,
    /// Prefill that is left, in seconds at the usual speed.
    left: f64,
    /// Time at which the entry is forgotten, or the stream is taken to have ended.
    until: Timestamp,
    is_running: bool,
}

/// `ReplicaBook` holds the entries of one replica.
#[derive(Debug, Clone)]
pub struct ReplicaBook {
    options: ReplicaBookOptions,
    opened_at: Timestamp,
    /// Entries in the order of placement.
    entries: VecDeque<Entry>,
    stated: Option<(StatedLoad, Timestamp)>,
    drained_at: Timestamp,
    /// Time of the last message about the replica.
    used_at: Timestamp,
}

impl ReplicaBook {
    /// Opens a book that knows nothing.
    pub fn new(options: ReplicaBookOptions, now: Timestamp) -> Self {
        Self {
            options,
            opened_at: now,
            entries: VecDeque::new(),
            stated: None,
            drained_at: now,
            used_at: now,
        }
    }

    /// Records that a prompt was sent to the replica. `id` is unique over all nodes. A repeated id is
    /// ignored.
    pub fn on_placed(&mut self, id: u64, uncached: Tokens, prompt: Tokens, now: Timestamp) {
        self.used_at = now;
        self.advance(now);
        if self.entries.iter().any(|entry| entry.id == id) {
            return;
        }
        if self.entries.len() >= self.options.max_entries {
            self.entries.pop_front();
        }
        let left = self.options.model.prefill(uncached, prompt).as_secs_f64();
        let queued: f64 = self.entries.iter().map(|entry| entry.left).sum();
        let predicted = Duration::from_secs_f64((queued + left) * self.factor(now));
        self.entries.push_back(Entry {
            id,
            placed_at: now,
            left,
            until: now.plus(predicted * 2 + self.options.prompt_grace),
            is_running: false,
        });
    }

    /// Records that the first event of a prompt came, so that its prefill is over.
    pub fn on_first_event(&mut self, id: u64, now: Timestamp) {
        self.used_at = now;
        self.advance(now);
        let stream_time = self.options.stream_time;
        if let Some(entry) = self.entries.iter_mut().find(|entry| entry.id == id) {
            entry.left = 0.0;
            entry.is_running = true;
            entry.until = now.plus(stream_time);
        }
    }

    /// Removes a prompt that the replica did not run, or whose caller left.
    pub fn on_ended(&mut self, id: u64, now: Timestamp) {
        self.used_at = now;
        self.advance(now);
        self.entries.retain(|entry| entry.id != id);
    }

    /// Records what the replica stated `age` ago. An older statement than the last one is ignored.
    pub fn on_stated(&mut self, stated: StatedLoad, age: Duration, now: Timestamp) {
        self.used_at = now;
        self.advance(now);
        let as_of = now.minus(age);
        if self.stated.is_none_or(|(_, known)| known <= as_of) {
            self.stated = Some((stated, as_of));
        }
    }

    /// Returns the estimated load at `now`.
    pub fn load(&mut self, now: Timestamp) -> BookedLoad {
        self.used_at = now;
        self.advance(now);
        let queued: f64 = self.entries.iter().map(|entry| entry.left).sum();
        BookedLoad {
            queued: Duration::from_secs_f64(queued),
            streams: self.streams(now),
            time_factor: self.factor(now),
            stated_age: self.stated.map(|(_, at)| now.since(at)),
            is_complete: now.since(self.opened_at) >= self.options.opening,
        }
    }

    /// Returns whether nothing was asked or told about the replica for a while. The book of a replica with
    /// few requests is kept, since a new one is incomplete.
    pub fn is_unused(&self, now: Timestamp) -> bool {
        now.since(self.used_at) > self.options.keep
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn streams(&self, now: Timestamp) -> u32 {
        let period = self.options.running_period;
        let stated = self.stated.filter(|(_, at)| now.since(*at) < period);
        let since = |at: Timestamp| {
            self.entries
                .iter()
                .filter(move |e| e.placed_at > at)
                .count()
        };
        match stated {
            Some((load, at)) => load.running + load.waiting + since(at) as u32,
            None => self.entries.len() as u32,
        }
    }

    fn factor(&self, now: Timestamp) -> f64 {
        let Some((load, at)) = self.stated else {
            return 1.0;
        };
        let period = self.options.factor_period.as_secs_f64().max(f64::EPSILON);
        let weight = (1.0 - now.since(at).as_secs_f64() / period).max(0.0);
        let stated = (f64::from(load.time_percent) / 100.0).clamp(1.0 / MAX_FACTOR, MAX_FACTOR);
        1.0 + (stated - 1.0) * weight
    }

    /// Processes the queued prompts in the order of placement up to `now`, and drops entries that have expired.
    fn advance(&mut self, now: Timestamp) {
        let elapsed = now.since(self.drained_at).as_secs_f64();
        if elapsed > 0.0 {
            let mut work = elapsed / self.factor(now) * self.prefill_share();
            self.drained_at = now;
            for entry in &mut self.entries {
                let done = entry.left.min(work);
                entry.left -= done;
                work -= done;
            }
        }
        self.entries.retain(|entry| entry.until > now);
    }

    /// Returns the share of the time of the replica that is left to prefill between decode steps.
    fn prefill_share(&self) -> f64 {
        let model = &self.options.model;
        let running = self.stated.map_or(0, |(load, _)| load.running);
        let chunk = model.chunk_time.as_secs_f64();
        chunk / (chunk + model.step(running).as_secs_f64()).max(f64::EPSILON)
    }
}
