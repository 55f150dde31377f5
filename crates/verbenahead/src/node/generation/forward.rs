//! Forwarding of the frames of one attempt to the caller.

use std::{sync::Arc, time::Duration};

use futures_util::StreamExt;
use tokio::time::{Instant, sleep_until};
use verbenahead_core::AttemptId;
use verbenahead_relay::upstream::{UpstreamEntry, UpstreamStatus};
use verbenahead_upstream::{Error as UpstreamError, FinishReason, Frame, FrameEvent};

use crate::{
    callers::problem::ProblemKind,
    node::{
        journal_writer::TakenOver,
        silence_probe::{SilenceCause, StreamMonitor},
    },
};

use super::{
    GenerationTask,
    attempt::{Attempt, Interruption},
    end::TaskEnd,
};

/// Time before the stop of a leaving upstream by which its answers must have moved.
const LEAVE_MARGIN: Duration = Duration::from_millis(500);

/// Why an attempt ended without a complete answer.
#[derive(Debug)]
pub(super) enum AttemptEnd {
    RequestEnded(TaskEnd),
    Interrupted(Interruption),
}

impl GenerationTask {
    /// Forwards the frames of an attempt until the answer is complete or the attempt ends.
    pub(super) async fn forward_frames(
        &mut self,
        attempt: &mut Attempt,
    ) -> Result<FinishReason, AttemptEnd> {
        let mut status = attempt.upstream.watch_status();
        let mut drain = self.serving.drain.clone();
        let mut monitor = StreamMonitor::start(self.req.progress_timeout);
        loop {
            let move_at = self.move_time(attempt, *status.borrow_and_update());
            let frame = tokio::select! {
                biased;
                frame = attempt.frames.next() => frame,
                () = sleep_until(monitor.deadline().min(self.req.deadline)) => {
                    let upstream = Arc::clone(&attempt.upstream);
                    return Err(self.handle_silence(&upstream, &mut monitor).await);
                }
                () = sleep_until_some(move_at) => {
                    return Err(AttemptEnd::Interrupted(Interruption::UpstreamLeaving));
                }
                Ok(()) = status.changed() => continue,
                () = drain.wait_for_deadline() => return Err(AttemptEnd::RequestEnded(TaskEnd::NodeLeaving)),
                () = self.events.closed() => return Err(AttemptEnd::RequestEnded(TaskEnd::CallerGone)),
                TakenOver = self.journal.drive(&self.tokens) => {
                    return Err(AttemptEnd::RequestEnded(TaskEnd::TakenOver));
                }
            };
            let Some(frame) = frame else {
                let error = UpstreamError::interrupted("the stream ended before the answer");
                return Err(AttemptEnd::Interrupted(Interruption::UpstreamFailed(error)));
            };
            if let Some(reason) = self.handle_frame(attempt.id, frame).await? {
                return Ok(reason);
            }
            monitor.on_frame();
        }
    }

    /// Returns the time at which the answer has to move off its upstream, or none when the upstream
    /// is live. An answer that its measured token rate completes before the upstream stops may stay.
    pub(super) fn move_time(&self, attempt: &Attempt, status: UpstreamStatus) -> Option<Instant> {
        let until = match status {
            UpstreamStatus::Live => return None,
            UpstreamStatus::Gone => return Some(Instant::now()),
            UpstreamStatus::Leaving { until } => until,
        };
        let latest = until.checked_sub(LEAVE_MARGIN).unwrap_or(until);
        let produced = self.tokens.len() as u64 - attempt.start_position;
        let remaining = self
            .req
            .max_tokens
            .0
            .saturating_sub(self.tokens.len() as u64);
        if produced == 0 {
            return Some(Instant::now());
        }
        let time_per_token = attempt.started.elapsed().as_secs_f64() / produced as f64;
        let needed = Duration::from_secs_f64(time_per_token * remaining as f64);
        if Instant::now() + needed <= latest {
            // The token rate may drop, so the latest possible time remains as a bound.
            return Some(latest);
        }
        Some(Instant::now())
    }

    /// Probes the upstream of a stalled stream, unless the deadline of the request has passed.
    pub(super) async fn handle_silence(
        &mut self,
        upstream: &UpstreamEntry,
        monitor: &mut StreamMonitor,
    ) -> AttemptEnd {
        if Instant::now() >= self.req.deadline {
            let detail = "the answer did not end before the deadline";
            let problem = self.problem(ProblemKind::DeadlineExceeded, detail);
            return AttemptEnd::RequestEnded(TaskEnd::Failed(problem));
        }
        let engine = Arc::clone(&self.serving.engine);
        match monitor.probe(engine.as_ref(), &upstream.address).await {
            SilenceCause::ConnectionLost => AttemptEnd::Interrupted(Interruption::ConnectionLost),
            SilenceCause::UpstreamDead => {
                let error = UpstreamError::interrupted("no progress and no answer to a probe");
                AttemptEnd::Interrupted(Interruption::UpstreamFailed(error))
            }
        }
    }

    /// Adds one frame to the answer. Frames of other attempts and repeated frames are dropped.
    pub(super) async fn handle_frame(
        &mut self,
        attempt: AttemptId,
        frame: Result<Frame, UpstreamError>,
    ) -> Result<Option<FinishReason>, AttemptEnd> {
        let frame =
            frame.map_err(|error| AttemptEnd::Interrupted(Interruption::UpstreamFailed(error)))?;
        let expected = self.tokens.len() as u64;
        if frame.attempt != attempt || frame.position < expected {
            tracing::warn!(request = %self.req.id, attempt = %frame.attempt, "late frame dropped");
            self.serving.observer.late_frame();
            return Ok(None);
        }
        if frame.position > expected {
            let error = UpstreamError::malformed("a frame is missing");
            return Err(AttemptEnd::Interrupted(Interruption::UpstreamFailed(error)));
        }
        match frame.event {
            FrameEvent::Token(text) => {
                self.tokens.push(text.clone());
                self.times.on_token();
                if self.delivered < self.tokens.len() as u64 {
                    self.send_token(text)
                        .await
                        .map_err(AttemptEnd::RequestEnded)?;
                }
                Ok(None)
            }
            FrameEvent::End(reason) => Ok(Some(reason)),
        }
    }
}

async fn sleep_until_some(time: Option<Instant>) {
    match time {
        Some(time) => sleep_until(time).await,
        None => std::future::pending().await,
    }
}
