//! Tells a lost connection from a dead upstream when a stream goes silent.

use std::time::Duration;

use tokio::time::{Instant, timeout};
use verbenahead_policy::{SilenceAction, SilenceDetector, SilenceOptions};
use verbenahead_upstream::{Engine, UpstreamAddress};

use verbenahead_relay::clock::policy_now;

/// `Silence` is what a silent stream was found to mean.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Silence {
    /// The upstream answers on a new connection, so the old one is lost.
    ConnectionLost,
    /// The upstream does not answer.
    UpstreamDead,
}

/// `StreamWatch` follows the progress of one stream.
#[derive(Debug)]
pub struct StreamWatch {
    detector: SilenceDetector,
    probe_timeout: Duration,
    deadline: Instant,
    has_token: bool,
}

impl StreamWatch {
    /// Starts to watch a stream that may be silent for at most `max_silence`.
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

    /// Returns the time at which the stream counts as silent unless something comes.
    pub fn deadline(&self) -> Instant {
        self.deadline
    }

    /// Notes a frame.
    pub fn on_frame(&mut self) {
        self.detector.on_token(!self.has_token, policy_now());
        self.has_token = true;
        self.deadline = Instant::now() + self.detector.silence_limit();
    }

    /// Probes the upstream of a silent stream on new connections.
    pub async fn probe(&mut self, engine: &dyn Engine, to: &UpstreamAddress) -> Silence {
        loop {
            match self.detector.check(policy_now()) {
                SilenceAction::Reconnect => return Silence::ConnectionLost,
                SilenceAction::MarkDead => return Silence::UpstreamDead,
                SilenceAction::Probe => self.probe_once(engine, to).await,
                SilenceAction::Wait => tokio::time::sleep(WAIT_PAUSE).await,
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
        // A refused connection fails at once, but may be a restart that takes a moment.
        let left = self.probe_timeout.saturating_sub(started.elapsed());
        tokio::time::sleep(left).await;
    }
}

/// Pause before a verdict is asked for again.
const WAIT_PAUSE: Duration = Duration::from_millis(20);
