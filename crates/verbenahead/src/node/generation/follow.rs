//! The frames of one attempt, until it ends.

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
        silence_probe::{Silence, StreamWatch},
    },
};

use super::{
    Generation,
    attempt::{Attempt, Interruption},
    ending::Ending,
};

/// Margin before the stop of an upstream within which its answers have moved.
const LEAVE_MARGIN: Duration = Duration::from_millis(500);

/// Why following an attempt stopped.
#[derive(Debug)]
pub(super) enum Stop {
    Ended(Ending),
    Interrupted(Interruption),
}

impl Generation {
    /// Passes on the frames of an attempt until it ends.
    pub(super) async fn follow(&mut self, attempt: &mut Attempt) -> Result<FinishReason, Stop> {
        let mut status = attempt.upstream.watch_status();
        let mut drain = self.serving.drain.clone();
        let mut watch = StreamWatch::start(self.req.progress_timeout);
        loop {
            let leave_at = self.leave_time(attempt, *status.borrow_and_update());
            let frame = tokio::select! {
                biased;
                frame = attempt.frames.next() => frame,
                () = sleep_until(watch.deadline().min(self.req.deadline)) => {
                    let upstream = Arc::clone(&attempt.upstream);
                    return Err(self.after_silence(&upstream, &mut watch).await);
                }
                () = sleep_until_some(leave_at) => {
                    return Err(Stop::Interrupted(Interruption::UpstreamLeaving));
                }
                Ok(()) = status.changed() => continue,
                () = drain.wait_for_deadline() => return Err(Stop::Ended(Ending::NodeLeaving)),
                () = self.events.closed() => return Err(Stop::Ended(Ending::CallerGone)),
                TakenOver = self.journal.drive(&self.tokens) => {
                    return Err(Stop::Ended(Ending::TakenOver));
                }
            };
            let Some(frame) = frame else {
                let error = UpstreamError::interrupted("the stream ended before the answer");
                return Err(Stop::Interrupted(Interruption::UpstreamFailed(error)));
            };
            if let Some(reason) = self.take_frame(attempt.id, frame).await? {
                return Ok(reason);
            }
            watch.on_frame();
        }
    }

    /// Returns the time at which the answer has to move away from a leaving upstream, or none when
    /// it may stay. An answer stays when its measured rate ends it in time.
    pub(super) fn leave_time(&self, attempt: &Attempt, status: UpstreamStatus) -> Option<Instant> {
        let until = match status {
            UpstreamStatus::Live => return None,
            UpstreamStatus::Gone => return Some(Instant::now()),
            UpstreamStatus::Leaving { until } => until,
        };
        let last = until.checked_sub(LEAVE_MARGIN).unwrap_or(until);
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
        if Instant::now() + needed <= last {
            // The rate may fall, so the last moment stays a bound.
            return Some(last);
        }
        Some(Instant::now())
    }

    pub(super) async fn after_silence(
        &mut self,
        upstream: &UpstreamEntry,
        watch: &mut StreamWatch,
    ) -> Stop {
        if Instant::now() >= self.req.deadline {
            let detail = "the answer did not end before the deadline";
            let problem = self.problem(ProblemKind::DeadlineExceeded, detail);
            return Stop::Ended(Ending::Failed(problem));
        }
        let engine = Arc::clone(&self.serving.engine);
        match watch.probe(engine.as_ref(), &upstream.address).await {
            Silence::ConnectionLost => Stop::Interrupted(Interruption::ConnectionLost),
            Silence::UpstreamDead => {
                let error = UpstreamError::interrupted("no progress and no answer to a probe");
                Stop::Interrupted(Interruption::UpstreamFailed(error))
            }
        }
    }

    /// Takes in one frame. Frames of other attempts and repeated frames are dropped.
    pub(super) async fn take_frame(
        &mut self,
        attempt: AttemptId,
        frame: Result<Frame, UpstreamError>,
    ) -> Result<Option<FinishReason>, Stop> {
        let frame =
            frame.map_err(|error| Stop::Interrupted(Interruption::UpstreamFailed(error)))?;
        let expected = self.tokens.len() as u64;
        if frame.attempt != attempt || frame.position < expected {
            tracing::warn!(request = %self.req.id, attempt = %frame.attempt, "late frame dropped");
            self.serving.observer.late_frame();
            return Ok(None);
        }
        if frame.position > expected {
            let error = UpstreamError::malformed("a frame is missing");
            return Err(Stop::Interrupted(Interruption::UpstreamFailed(error)));
        }
        match frame.event {
            FrameEvent::Token(text) => {
                self.tokens.push(text.clone());
                self.times.on_token();
                if self.delivered < self.tokens.len() as u64 {
                    self.send_token(text).await.map_err(Stop::Ended)?;
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
