//! The wait for the next event of a stream, and probes of replicas that are silent.

use std::future::pending;

use tokio::time::{Instant, sleep_until};
use verbenahead_upstream::{Error as UpstreamError, Reuse};

use crate::{
    attempt::{Answered, Attempt},
    stream_forwarder::StreamForwarder,
};

/// `StallTimer` holds the deadlines of the wait for the next event of a stream.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct StallTimer {
    /// Time at which the replica is probed.
    probe_at: Option<Instant>,
    /// Time at which the stream is resumed at another replica even if its replica answers probes.
    resume_at: Option<Instant>,
    /// Time at which the stream is resumed if its replica answers no probes.
    silent_until: Option<Instant>,
}

/// `ProbeResult` is the result of a probe of a silent replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ProbeResult {
    /// The replica answered.
    Answered,
    /// There was no answer. The replica may be sound, and silent for a moment.
    Silent,
    /// The replica is gone, or has been silent for too long.
    Gone,
}

impl StallTimer {
    /// Returns the next deadline.
    pub(crate) fn deadline(&self) -> Option<Instant> {
        self.probe_at.or(self.resume_at)
    }

    /// Returns a timer that expires at `at` without another probe.
    pub(crate) fn expiring(at: Option<Instant>) -> Self {
        Self {
            resume_at: at,
            ..Self::default()
        }
    }

    pub(crate) fn is_expired(&self) -> bool {
        self.resume_at.is_some_and(|at| Instant::now() >= at)
    }

    /// Records the result of the probe, so that only the time to resume remains.
    pub(crate) fn record_probe(&mut self, result: ProbeResult) {
        self.probe_at = None;
        if result == ProbeResult::Silent {
            self.resume_at = self.silent_until;
        }
    }
}

impl StreamForwarder {
    /// Returns the timer for the wait for the next event. It never fires for a stream that cannot
    /// be resumed at another replica.
    pub(crate) fn stall_timer(&self) -> StallTimer {
        let exchange = &self.exchange;
        let is_out_of_attempts = exchange.progress.possible_runs >= exchange.route.max_attempts;
        let gap = exchange.route.gap_objective;
        let gap = gap.filter(|_| exchange.route.retry_safety.is_repeatable());
        let Some(gap) = gap.filter(|_| !is_out_of_attempts && self.events > 0) else {
            return StallTimer::default();
        };
        let options = &exchange.relay.options;
        let now = Instant::now();
        let resume_after = gap.mul_f64(options.resume_after_gaps);
        StallTimer {
            probe_at: Some(now + gap.mul_f64(options.probe_after_gap)),
            resume_at: Some(now + resume_after.max(options.silence_tolerance)),
            silent_until: Some(now + options.silence_tolerance),
        }
    }

    /// Probes the replica of a stalled stream over a new connection.
    pub(crate) async fn probe(&self, attempt: &Attempt<Answered>) -> ProbeResult {
        let relay = &self.exchange.relay;
        if attempt.passed_on_by().is_some() {
            return match relay.peer_paths.check(&attempt.upstream).await {
                Some(true) => ProbeResult::Answered,
                _ => ProbeResult::Silent,
            };
        }
        let address = attempt.upstream.address.address;
        let probe = relay.connections.send_to(
            address,
            relay.dialect.probe_request(),
            Reuse::Forbidden,
            relay.options.probe_timeout,
        );
        let response = probe.await.map(|response| response.into_parts().0);
        if let Ok(head) = &response {
            let notice = relay.dialect.replica_notice(head);
            attempt.upstream.apply_notice(notice.without_limit_end());
            attempt.upstream.record_probe(relay.dialect.as_ref(), head);
        }
        tracing::info!(
            request = %self.exchange.caller.id,
            upstream = %attempt.upstream.address.upstream,
            answered = response.is_ok(),
            "replica of a silent stream probed",
        );
        match response {
            Ok(_) => ProbeResult::Answered,
            Err(UpstreamError::ConnectionRefused { .. }) => ProbeResult::Gone,
            Err(_) => ProbeResult::Silent,
        }
    }
}

/// Sleeps until `deadline`, or forever without one.
pub(crate) async fn sleep_until_some(deadline: Option<Instant>) {
    match deadline {
        Some(deadline) => sleep_until(deadline).await,
        None => pending().await,
    }
}
