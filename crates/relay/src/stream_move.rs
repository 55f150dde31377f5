//! Moves of running streams away from replicas that stop.
//!
//! A request that may not run again can still continue at another replica, under the same request id. The
//! platform counts it as one run. A move has two calls: the first copies the KV cache while the run
//! continues, which shows that the target has room; the second stops the run and copies what is new. A run
//! that was stopped continues at the target or, if that fails, at its source, which keeps the KV cache.

use std::{collections::VecDeque, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http::Response;
use http_body_util::{BodyExt, Limited};
use tokio::time::{Instant, sleep, sleep_until, timeout_at};
use verbenahead_upstream::{Error as UpstreamError, Result as UpstreamResult, Reuse};

use crate::{
    attempt::{Answered, Attempt},
    dialect::{CallerRequestId, MoveOutcome, MovePhase},
    event_cursor::StreamItem,
    move_copy::MoveCopy,
    relay::Relay,
    stopped_run::StoppedRun,
    stream_forwarder::{Interruption, StreamForwarder, UNCLEAR_END},
    upstream::{UpstreamEntry, UpstreamStatus},
};

/// Timeout of one call that moves a run. To copy the KV cache of a long prompt takes some tens of
/// milliseconds on an idle link, but a replica that stops has many copies to make. A call without an answer
/// is made again.
const MOVE_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Limit on the targets that are tried one after the other.
const MAX_TARGETS: usize = 2;

/// Pause before a call whose outcome is not known is made again, and before a move is tried again.
const MOVE_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Pause before a move that found no target is tried again.
pub(crate) const NEXT_MOVE_PAUSE: Duration = Duration::from_millis(250);

/// Time after the announced stop of a replica in which it may still answer for a run that it stopped.
const STOP_TOLERANCE: Duration = Duration::from_secs(3);

/// Time before the announced stop of a replica at which its runs are moved without a turn.
const TURN_RESERVE: Duration = Duration::from_millis(500);

/// Limit on the time to read the remaining events of a stopped run.
const REMAINDER_TIMEOUT: Duration = Duration::from_millis(100);

/// Limit on the response to a request to move a run, which holds a handle.
const MAX_MOVE_RESPONSE_BYTES: usize = 64 * 1024;

/// `SourceState` is the known state of a run at the replica that it leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SourceState {
    /// The run continues.
    Running,
    /// The run has stopped before its end, and its stream has been read up to that point.
    Stopped,
    /// The stream ended with its connection. The run is complete or has stopped.
    Ended,
}

/// `MoveProgress` is the next item of the stream, or the outcome of the call that moves its run.
enum MoveProgress<T> {
    /// Next item of the stream.
    Item(StreamItem),
    /// Outcome of the call.
    Outcome(T),
}

impl StreamForwarder {
    /// Moves the run of an attempt to another replica. Returns the attempt whose events follow: a new one,
    /// or the same one if the run was not moved and continues.
    pub(crate) async fn move_away(
        &mut self,
        mut attempt: Attempt<Answered>,
    ) -> Result<Attempt<Answered>, Interruption> {
        if self.exchange.progress.last_event.is_none() {
            // Without an id there is no place to go on at.
            self.may_move = false;
            self.log_move(&attempt, None, None, "no event has an id");
            return Ok(attempt);
        }
        self.exchange.bind_to(&attempt.upstream);
        // All copies share the link of the replica. A run whose copy is made waits for those that are asked
        // for before its stop, so few are moved at a time.
        let last_turn = stop_time(&attempt.upstream)
            .checked_sub(TURN_RESERVE)
            .unwrap_or_else(Instant::now);
        let turn = timeout_at(last_turn, attempt.upstream.move_turns().acquire_owned());
        let turn = self.forward_during(&mut attempt, turn).await?;
        let mut without_room = Vec::new();
        let mut copied = None;
        while copied.is_none() && without_room.len() < MAX_TARGETS && !is_stopped(&attempt.upstream)
        {
            let Some(target) = self.select_target(&attempt, &without_room).await else {
                self.log_move(&attempt, None, None, "no other replica");
                break;
            };
            match self.copy_to(&mut attempt, &target).await? {
                Some(copy) => copied = Some((target, copy)),
                None => without_room.push(target),
            }
        }
        let Some((target, copy)) = copied else {
            self.move_after = Some(Instant::now() + NEXT_MOVE_PAUSE);
            return Ok(attempt);
        };
        let mut source = SourceState::Running;
        let stopped = self.stop_run(&mut attempt, &mut source, &target).await?;
        drop(turn);
        match stopped {
            Some(stopped) => {
                copy.keep();
                self.continue_stopped(attempt, stopped).await
            }
            None => match source {
                SourceState::Running => {
                    self.move_after = Some(Instant::now() + NEXT_MOVE_PAUSE);
                    Ok(attempt)
                }
                SourceState::Ended => Err(Interruption::Replica(UNCLEAR_END.to_owned())),
                // To read on would yield the end of the body, as if the stream were complete. The
                // target still has the copy.
                SourceState::Stopped => {
                    let destinations = VecDeque::from([target]);
                    let handle = copy.keep();
                    let stopped = StoppedRun {
                        handle,
                        destinations,
                    };
                    self.continue_stopped(attempt, stopped).await
                }
            },
        }
    }

    /// Selects a target for the run of an attempt, other than those without room. The replica of the run
    /// itself may be registered anew.
    async fn select_target(
        &self,
        attempt: &Attempt<Answered>,
        without_room: &[Arc<UpstreamEntry>],
    ) -> Option<Arc<UpstreamEntry>> {
        let source = &attempt.upstream.address;
        let mut excluded = self.exchange.relay.registry.all();
        excluded.retain(|entry| entry.address.address == source.address);
        excluded.extend_from_slice(without_room);
        let selection = self.exchange.select_replica_except(&excluded).await?;
        Some(selection.upstream)
    }

    /// Copies the KV cache of a run to a target while the run continues. A call whose outcome is not known is
    /// made again at the same target, which may hold a copy already. Returns `None` if no copy is known.
    async fn copy_to(
        &mut self,
        attempt: &mut Attempt<Answered>,
        target: &Arc<UpstreamEntry>,
    ) -> Result<Option<MoveCopy>, Interruption> {
        let give_up_at = stop_time(&attempt.upstream);
        loop {
            let called_at = Instant::now();
            let call = request_move(
                Arc::clone(&self.exchange.relay),
                attempt.upstream.address.address,
                self.exchange.caller.id.clone(),
                target.address.address,
                MovePhase::Copy,
            );
            let outcome = self.forward_during(attempt, call).await?;
            let text = outcome_text("copied", "not copied", &outcome);
            self.log_move(attempt, Some(target), Some(called_at), &text);
            match outcome {
                Ok(MoveOutcome::Moved { handle }) => {
                    let relay = Arc::clone(&self.exchange.relay);
                    let source = attempt.upstream.address.address;
                    return Ok(Some(MoveCopy::new(relay, source, handle)));
                }
                Ok(MoveOutcome::InProgress)
                | Err(UpstreamError::TimedOut | UpstreamError::Interrupted { .. })
                    if Instant::now() < give_up_at =>
                {
                    sleep(MOVE_RETRY_PAUSE).await;
                }
                _ => return Ok(None),
            }
        }
    }

    /// Forwards the events of a run that continues, until `other` is done.
    async fn forward_during<T>(
        &mut self,
        attempt: &mut Attempt<Answered>,
        other: impl Future<Output = T>,
    ) -> Result<T, Interruption> {
        tokio::pin!(other);
        loop {
            match self.next_progress(attempt, &mut other, true).await? {
                MoveProgress::Item(StreamItem::Event(event)) => {
                    self.forward_event(attempt, event).await?;
                }
                MoveProgress::Item(StreamItem::End) if self.ends_unclear(attempt) => {
                    return Err(Interruption::Replica(UNCLEAR_END.to_owned()));
                }
                MoveProgress::Item(StreamItem::End) => return Err(Interruption::Complete),
                MoveProgress::Item(StreamItem::Interrupted(reason)) => {
                    return Err(Interruption::Replica(reason));
                }
                MoveProgress::Outcome(outcome) => return Ok(outcome),
            }
        }
    }

    /// Stops a run whose KV cache is at `target`, and forwards the events that arrive meanwhile. A call
    /// whose outcome is not known is made again, as long as the replica may answer. Returns `None` if the
    /// run is not known to have stopped with a handle; `source` then tells its state.
    async fn stop_run(
        &mut self,
        attempt: &mut Attempt<Answered>,
        source: &mut SourceState,
        target: &Arc<UpstreamEntry>,
    ) -> Result<Option<StoppedRun>, Interruption> {
        let from = Arc::clone(&attempt.upstream);
        let give_up_at = stop_time(&from) + STOP_TOLERANCE;
        loop {
            let called_at = Instant::now();
            let outcome = self.call_to_stop(attempt, source, target).await?;
            let text = outcome_text("moved", "not moved", &outcome);
            self.may_be_stopped |= matches!(
                outcome,
                Ok(MoveOutcome::InProgress)
                    | Err(UpstreamError::TimedOut | UpstreamError::Interrupted { .. })
            );
            self.log_move(attempt, Some(target), Some(called_at), &text);
            let (handle, destinations) = match outcome {
                Ok(MoveOutcome::Moved { handle }) => (handle, vec![Arc::clone(target), from]),
                Ok(MoveOutcome::Stopped { handle }) => {
                    self.exchange.progress.tried.push(Arc::clone(target));
                    (handle, vec![from])
                }
                Ok(MoveOutcome::NoSuchRun)
                    if *source == SourceState::Ended && !self.may_be_stopped =>
                {
                    // The replica did not stop the run, so the stream ended with it.
                    return Err(Interruption::Complete);
                }
                Ok(MoveOutcome::InProgress)
                | Err(UpstreamError::TimedOut | UpstreamError::Interrupted { .. })
                    if Instant::now() < give_up_at =>
                {
                    sleep(MOVE_RETRY_PAUSE).await;
                    continue;
                }
                _ => return Ok(None),
            };
            if *source == SourceState::Running {
                self.forward_remainder(attempt).await?;
            }
            *source = SourceState::Stopped;
            return Ok(Some(StoppedRun {
                handle,
                destinations: destinations.into(),
            }));
        }
    }

    /// Calls a replica to stop a run, and forwards the events that arrive meanwhile.
    async fn call_to_stop(
        &mut self,
        attempt: &mut Attempt<Answered>,
        source: &mut SourceState,
        target: &Arc<UpstreamEntry>,
    ) -> Result<UpstreamResult<MoveOutcome>, Interruption> {
        let call = request_move(
            Arc::clone(&self.exchange.relay),
            attempt.upstream.address.address,
            self.exchange.caller.id.clone(),
            target.address.address,
            MovePhase::Stop,
        );
        tokio::pin!(call);
        loop {
            let is_running = *source == SourceState::Running;
            match self.next_progress(attempt, &mut call, is_running).await? {
                MoveProgress::Item(StreamItem::Event(event)) => {
                    self.forward_event(attempt, event).await?;
                }
                MoveProgress::Item(StreamItem::End) if attempt.ends_with_connection() => {
                    *source = SourceState::Ended;
                }
                MoveProgress::Item(StreamItem::End) => return Err(Interruption::Complete),
                MoveProgress::Item(StreamItem::Interrupted(_)) => *source = SourceState::Stopped,
                MoveProgress::Outcome(outcome) => return Ok(outcome),
            }
        }
    }

    /// Waits for the next event of the stream, unless `is_running` is `false`, or for the end of a call.
    async fn next_progress<T>(
        &mut self,
        attempt: &mut Attempt<Answered>,
        call: impl Future<Output = T>,
        is_running: bool,
    ) -> Result<MoveProgress<T>, Interruption> {
        tokio::select! {
            biased;
            item = self.cursor.next(attempt), if is_running => Ok(MoveProgress::Item(item)),
            outcome = call => Ok(MoveProgress::Outcome(outcome)),
            () = self.tx.closed() => Err(Interruption::CallerGone),
            () = sleep_until(self.exchange.deadline) => Err(Interruption::TimedOut),
        }
    }

    /// Forwards the remaining events of a stopped run. The target sends those again that do not
    /// arrive in time.
    async fn forward_remainder(
        &mut self,
        attempt: &mut Attempt<Answered>,
    ) -> Result<(), Interruption> {
        let until = Instant::now() + REMAINDER_TIMEOUT;
        loop {
            match timeout_at(until, self.cursor.next(attempt)).await {
                Ok(StreamItem::Event(event)) => self.forward_event(attempt, event).await?,
                Ok(StreamItem::End) if !attempt.ends_with_connection() => {
                    return Err(Interruption::Complete);
                }
                Ok(StreamItem::End | StreamItem::Interrupted(_)) | Err(_) => return Ok(()),
            }
        }
    }

    fn log_move(
        &self,
        attempt: &Attempt<Answered>,
        to: Option<&Arc<UpstreamEntry>>,
        called_at: Option<Instant>,
        outcome: &str,
    ) {
        tracing::info!(
            request = %self.exchange.caller.id,
            upstream = %attempt.upstream.address.upstream,
            to = to.map(|target| target.address.upstream.as_str()),
            last_event = self.exchange.progress.last_event.map(|event| event.0),
            status = %attempt.upstream.status(),
            call_ms = called_at.map(|at| at.elapsed().as_millis() as u64),
            outcome,
            "stream leaves its replica",
        );
    }
}

/// Returns whether the announced stop of a replica has passed, after which no move from it begins.
fn is_stopped(upstream: &UpstreamEntry) -> bool {
    match upstream.status() {
        UpstreamStatus::Leaving { until } => until <= Instant::now(),
        UpstreamStatus::Live | UpstreamStatus::Gone => false,
    }
}

/// Returns the time at which a replica stops by its own account.
fn stop_time(upstream: &UpstreamEntry) -> Instant {
    match upstream.status() {
        UpstreamStatus::Leaving { until } => until,
        UpstreamStatus::Live | UpstreamStatus::Gone => Instant::now(),
    }
}

fn outcome_text(done: &str, not_done: &str, outcome: &UpstreamResult<MoveOutcome>) -> String {
    match outcome {
        Ok(MoveOutcome::Moved { .. }) => done.to_owned(),
        Ok(MoveOutcome::Stopped { .. }) => "stopped, no room at the target".to_owned(),
        Ok(outcome) => format!("{not_done}: {outcome}"),
        Err(error) => format!("not known to be {done}: {error}"),
    }
}

/// Asks the replica at `from` to copy a run to the replica at `target`, or to stop it too.
async fn request_move(
    relay: Arc<Relay>,
    from: SocketAddr,
    id: CallerRequestId,
    target: SocketAddr,
    phase: MovePhase,
) -> UpstreamResult<MoveOutcome> {
    let until = Instant::now() + MOVE_TIMEOUT;
    let req = relay.dialect.move_request(&id, target, phase);
    let sent = relay
        .connections
        .send_to(from, req, Reuse::Forbidden, MOVE_TIMEOUT);
    let (head, body) = sent.await?.into_parts();
    let body = Limited::new(body, MAX_MOVE_RESPONSE_BYTES);
    let body = match timeout_at(until, body.collect()).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) => return Err(UpstreamError::interrupted(error)),
        Err(_) => return Err(UpstreamError::interrupted("no answer in time")),
    };
    let response: Response<Bytes> = Response::from_parts(head, body);
    Ok(relay.dialect.read_move_response(&response))
}
