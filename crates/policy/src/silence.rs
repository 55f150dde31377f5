//! Detection of lost connections and dead upstreams behind a silent stream.
//!
//! A stream without progress for a multiple of its own token interval is probed on a new
//! connection. If the upstream answers the probe, only the connection is lost and the stream is
//! resumed on a new one. Otherwise the upstream is considered dead.

use std::time::Duration;

use crate::time::Timestamp;

/// `SilenceOptions` configures a silence detector.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SilenceOptions {
    /// Number of token intervals without progress after which a stream is probed.
    pub interval_factor: f64,
    /// Lower bound of the time without progress after which a stream is probed.
    pub min_silence: Duration,
    /// Upper bound of the time without progress after which a stream is probed. Before the first
    /// token, the stream is probed after this time.
    pub max_silence: Duration,
    /// Time within which a probe must be answered.
    pub probe_timeout: Duration,
    /// Number of unanswered probes after which the upstream is considered dead.
    pub max_unanswered_probes: u32,
}

impl Default for SilenceOptions {
    fn default() -> Self {
        Self {
            interval_factor: 20.0,
            min_silence: Duration::from_millis(500),
            max_silence: Duration::from_secs(10),
            probe_timeout: Duration::from_millis(500),
            max_unanswered_probes: 2,
        }
    }
}

/// `SilenceAction` is what the owner of a stream has to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum SilenceAction {
    /// Nothing: the stream makes progress or a probe is in flight.
    Wait,
    /// Probe the upstream on a new connection.
    Probe,
    /// Resume the stream on a new connection, because the upstream is alive.
    Reconnect,
    /// Consider the upstream dead.
    MarkDead,
}

/// Weight of a new observation in the moving average of the token interval.
const LEARNING_RATE: f64 = 0.1;

/// `SilenceDetector` tracks the progress of one stream.
#[derive(Debug, Clone)]
pub struct SilenceDetector {
    options: SilenceOptions,
    /// Mean time between tokens in seconds, once known.
    token_interval: Option<f64>,
    progress_at: Timestamp,
    /// Time at which the probe in flight was sent.
    probed_at: Option<Timestamp>,
    unanswered_probes: u32,
    is_probe_answered: bool,
}

impl SilenceDetector {
    /// Builds the detector of a stream that starts at `now`.
    pub fn new(options: SilenceOptions, now: Timestamp) -> Self {
        Self {
            options,
            token_interval: None,
            progress_at: now,
            probed_at: None,
            unanswered_probes: 0,
            is_probe_answered: false,
        }
    }

    /// Records a token. The time to the first token does not count as a token interval.
    pub fn on_token(&mut self, is_first: bool, now: Timestamp) {
        if !is_first {
            let seconds = now.since(self.progress_at).as_secs_f64();
            let mean = self.token_interval.unwrap_or(seconds);
            self.token_interval = Some(mean + LEARNING_RATE * (seconds - mean));
        }
        self.progress_at = now;
        self.probed_at = None;
        self.unanswered_probes = 0;
        self.is_probe_answered = false;
    }

    /// Records that the upstream has answered a probe on a new connection.
    pub fn on_probe_answered(&mut self) {
        self.is_probe_answered = self.probed_at.is_some();
    }

    /// Returns the time without progress after which the stream is probed.
    pub fn silence_limit(&self) -> Duration {
        let longest = self.options.max_silence;
        let Some(interval) = self.token_interval else {
            return longest;
        };
        let seconds = (interval * self.options.interval_factor).min(longest.as_secs_f64());
        Duration::from_secs_f64(seconds).max(self.options.min_silence)
    }

    /// Returns what to do at `now`. A returned [`SilenceAction::Probe`] counts as sent.
    pub fn check(&mut self, now: Timestamp) -> SilenceAction {
        if self.is_probe_answered {
            return SilenceAction::Reconnect;
        }
        let Some(probed_at) = self.probed_at else {
            return self.check_progress(now);
        };
        if now.since(probed_at) < self.options.probe_timeout {
            return SilenceAction::Wait;
        }
        self.unanswered_probes += 1;
        if self.unanswered_probes >= self.options.max_unanswered_probes {
            return SilenceAction::MarkDead;
        }
        self.probed_at = Some(now);
        SilenceAction::Probe
    }

    fn check_progress(&mut self, now: Timestamp) -> SilenceAction {
        if now.since(self.progress_at) < self.silence_limit() {
            return SilenceAction::Wait;
        }
        self.probed_at = Some(now);
        SilenceAction::Probe
    }
}
