//! Telling a silent connection from a dead upstream.
//!
//! A stream that makes no progress for a multiple of its own time between tokens is probed on a
//! new connection. If the probe is answered, only the connection is lost and the stream is
//! resumed on a new one; if not, the upstream is taken for dead.

use std::time::Duration;

use crate::time::Timestamp;

/// `SilenceOptions` tune the detector.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SilenceOptions {
    /// Times between tokens without progress after which the stream is probed.
    pub multiple: f64,
    /// Shortest time without progress after which a stream is probed.
    pub min_silence: Duration,
    /// Longest time without progress before a stream is probed, also before its first token.
    pub max_silence: Duration,
    /// Time in which a probe must be answered.
    pub probe_timeout: Duration,
    /// Unanswered probes after which the upstream is taken for dead.
    pub probes: u32,
}

impl Default for SilenceOptions {
    fn default() -> Self {
        Self {
            multiple: 20.0,
            min_silence: Duration::from_millis(500),
            max_silence: Duration::from_secs(10),
            probe_timeout: Duration::from_millis(500),
            probes: 2,
        }
    }
}

/// `SilenceVerdict` is what to do about a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum SilenceAction {
    /// Nothing; the stream makes progress or a probe is on its way.
    Wait,
    /// Probe the upstream on a new connection.
    Probe,
    /// Resume the stream on a new connection; the upstream lives.
    Reconnect,
    /// Take the upstream for dead.
    MarkDead,
}

/// Part of a new observation in the learned time between tokens.
const LEARNING_RATE: f64 = 0.1;

/// `SilenceDetector` follows the progress of one stream.
#[derive(Debug, Clone)]
pub struct SilenceDetector {
    options: SilenceOptions,
    interval: Option<f64>,
    progress_at: Timestamp,
    probed_at: Option<Timestamp>,
    unanswered: u32,
    is_answered: bool,
}

impl SilenceDetector {
    /// Builds the detector of a stream that was started at `now`.
    pub fn new(options: SilenceOptions, now: Timestamp) -> Self {
        Self {
            options,
            interval: None,
            progress_at: now,
            probed_at: None,
            unanswered: 0,
            is_answered: false,
        }
    }

    /// Records a token. The time to the first one says nothing about the time between tokens.
    pub fn on_token(&mut self, is_first: bool, now: Timestamp) {
        if !is_first {
            let seconds = now.since(self.progress_at).as_secs_f64();
            let known = self.interval.unwrap_or(seconds);
            self.interval = Some(known + LEARNING_RATE * (seconds - known));
        }
        self.progress_at = now;
        self.probed_at = None;
        self.unanswered = 0;
        self.is_answered = false;
    }

    /// Records that a probe on a new connection was answered.
    pub fn on_probe_answered(&mut self) {
        self.is_answered = self.probed_at.is_some();
    }

    /// Returns the time without progress after which the stream is probed.
    pub fn silence_limit(&self) -> Duration {
        let longest = self.options.max_silence;
        let Some(interval) = self.interval else {
            return longest;
        };
        let seconds = (interval * self.options.multiple).min(longest.as_secs_f64());
        Duration::from_secs_f64(seconds).max(self.options.min_silence)
    }

    /// Returns what to do at `now`.
    pub fn check(&mut self, now: Timestamp) -> SilenceAction {
        if self.is_answered {
            return SilenceAction::Reconnect;
        }
        let Some(probed_at) = self.probed_at else {
            return self.check_progress(now);
        };
        if now.since(probed_at) < self.options.probe_timeout {
            return SilenceAction::Wait;
        }
        self.unanswered += 1;
        if self.unanswered >= self.options.probes {
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
