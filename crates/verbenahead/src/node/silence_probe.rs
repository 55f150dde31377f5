//! Distinguishes a lost connection from a dead upstream when a stream stalls.

use std::time::Duration;

use tokio::time::{Instant, timeout};
use verbenahead_policy::{SilenceAction, SilenceDetector, SilenceOptions};
use verbenahead_upstream::{Engine, UpstreamAddress};

use verbenahead_relay::clock::policy_now;

/// `SilenceCause` is the cause of a stalled stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SilenceCause {
    /// The upstream answers probes on a new connection, so only the old connection is lost.
    ConnectionLost,
    /// The upstream does not answer probes.
    UpstreamDead,
}

/// `StreamMonitor` detects when one stream stalls.
#[derive(Debug)]
pub struct StreamMonitor {
    detector: SilenceDetector,
    probe_timeout: Duration,
    deadline: Instant,
    has_token: bool,
}

impl StreamMonitor {
    /// Starts monitoring a stream that may be silent for at most `max_silence`.
    pub fn start(max_silence: Duration) -> Self {
        let options = SilenceOptions {
            max_silence,
            ..SilenceOptions::default()
        };
        let detector = SilenceDetector::new(options, policy_now());
        Self {
            deadline: Instant::now() + detector.silence_limit(),
            probe_timeout: options.probe_timeout,
            detector,
            has_token: false,
        }
    }

    /// Returns the time at which the stream counts as stalled unless a frame arrives.
    pub fn deadline(&self) -> Instant {
        self.deadline
    }

    /// Records a frame and extends the deadline.
    pub fn on_frame(&mut self) {
        self.detector.on_token(!self.has_token, policy_now());
        self.has_token = true;
        self.deadline = Instant::now() + self.detector.silence_limit();
    }

    /// Probes the upstream of a stalled stream over new connections until the cause is known.
    pub async fn probe(&mut self, engine: &dyn Engine, to: &UpstreamAddress) -> SilenceCause {
        loop {
            match self.detector.check(policy_now()) {
                SilenceAction::Reconnect => return SilenceCause::ConnectionLost,
                SilenceAction::MarkDead => return SilenceCause::UpstreamDead,
                SilenceAction::Probe => self.probe_once(engine, to).await,
                SilenceAction::Wait => tokio::time::sleep(CHECK_PAUSE).await,
            }
        }
    }

    async fn probe_once(&mut self, engine: &dyn Engine, to: &UpstreamAddress) {
        let started = Instant::now();
        let answer = timeout(self.probe_timeout, engine.load(to)).await;
        if matches!(answer, Ok(Ok(_))) {
            self.detector.on_probe_answered();
            return;
        }
        // A refused connection fails immediately, but the upstream may only be restarting: the rest
        // of the probe timeout is waited out.
        let left = self.probe_timeout.saturating_sub(started.elapsed());
        tokio::time::sleep(left).await;
    }
}

/// Pause before the silence detector is checked again.
const CHECK_PAUSE: Duration = Duration::from_millis(20);
