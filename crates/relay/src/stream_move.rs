//! Moves of running streams away from replicas that stop.
//!
//! A request that may not run again can still continue at another replica: its replica stops the
//! run and copies the KV cache to a target replica, which continues the run under the same request
//! id. The platform counts it as one run.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http::Response;
use http_body_util::{BodyExt, Limited};
use tokio::time::{Instant, sleep_until, timeout_at};
use verbenahead_core::units::Tokens;
use verbenahead_upstream::{Result as UpstreamResult, Reuse};

use crate::{
    attempt::{Answered, Attempt},
    dialect::{CallerRequestId, KvSource, MoveOutcome},
    event_cursor::{EventCursor, StreamItem},
    relay::Relay,
    replica_selector::Selection,
    stream_forwarder::{Interruption, StreamForwarder},
};

/// Timeout of the call that moves a run. To copy the KV cache of a long prompt takes some tens of
/// milliseconds on an idle link, but a replica that stops has many copies to make.
const MOVE_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Limit on the targets that are tried one after the other. The notice leaves time for no more.
const MAX_TARGETS: u32 = 2;

/// Limit on the time to read the remaining events of a stopped run.
const REMAINDER_TIMEOUT: Duration = Duration::from_millis(100);

/// Limit on the response to a request to move a run, which holds a handle.
const MAX_MOVE_RESPONSE_BYTES: usize = 64 * 1024;

/// `MoveResult` is the result of a request to move a run to one target.
enum MoveResult {
    /// The run has stopped, and the target holds its KV cache under this handle.
    Moved(String),
    /// The run has stopped, but the target had no room for its KV cache, which can still be copied
    /// to another target.
    NoRoom,
    /// The run was not moved, or it is unknown whether it was.
    NotMoved,
}

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
enum MoveProgress {
    /// Next item of the stream.
    Item(StreamItem),
    /// Outcome of the call.
    Outcome(UpstreamResult<MoveOutcome>),
}

impl StreamForwarder {
    /// Moves the run of an attempt to another replica. Returns the attempt whose events follow: the
    /// new one, or the same one if the run was not moved and continues.
    pub(crate) async fn move_away(
        &mut self,
        mut attempt: Attempt<Answered>,
    ) -> Result<Attempt<Answered>, Interruption> {
        self.exchange.bind_to(&attempt.upstream);
        let mut source = SourceState::Running;
        for _ in 0..MAX_TARGETS {
            let Some(selection) = self.exchange.select_replica().await else {
                self.log_move(&attempt, None, None, "no other replica");
                break;
            };
            match self.move_to(&mut attempt, &mut source, &selection).await? {
                MoveResult::Moved(handle) => {
                    return self.continue_at_target(attempt, selection, handle).await;
                }
                MoveResult::NoRoom => self.exchange.progress.tried.push(selection.upstream),
                MoveResult::NotMoved => break,
            }
        }
        self.may_move = false;
        match source {
            SourceState::Running => Ok(attempt),
            SourceState::Ended => Err(Interruption::Replica(
                "ended during a move, and not known to be complete".to_owned(),
            )),
            // To read on would yield the end of the body, as if the stream were complete.
            SourceState::Stopped => Err(Interruption::Replica("stopped and not moved".to_owned())),
        }
    }

    /// Asks the replica to move the run to the selected target, and forwards the events that arrive
    /// meanwhile.
    async fn move_to(
        &mut self,
        attempt: &mut Attempt<Answered>,
        source: &mut SourceState,
        selection: &Selection,
    ) -> Result<MoveResult, Interruption> {
        let relay = self.exchange.relay.clone();
        let id = self.exchange.caller.id.clone();
        let from = attempt.upstream.address.address;
        let called_at = Instant::now();
        let call = request_move(&relay, from, &id, selection.upstream.address.address);
        tokio::pin!(call);
        let outcome = loop {
            let progress = tokio::select! {
                biased;
                item = self.cursor.next(attempt), if *source == SourceState::Running => {
                    MoveProgress::Item(item)
                }
                outcome = &mut call => MoveProgress::Outcome(outcome),
                () = self.tx.closed() => return Err(Interruption::CallerGone),
                () = sleep_until(self.exchange.deadline) => return Err(Interruption::TimedOut),
            };
            match progress {
                MoveProgress::Item(StreamItem::Event(event)) => {
                    self.forward_event(attempt, event).await?;
                }
                MoveProgress::Item(StreamItem::End) if attempt.ends_with_connection() => {
                    *source = SourceState::Ended;
                }
                MoveProgress::Item(StreamItem::End) => return Err(Interruption::Complete),
                MoveProgress::Item(StreamItem::Interrupted(_)) => *source = SourceState::Stopped,
                MoveProgress::Outcome(outcome) => break outcome,
            }
        };
        let target = Some(selection);
        let called_at = Some(called_at);
        match outcome {
            Ok(MoveOutcome::Moved { handle }) => {
                self.log_move(attempt, target, called_at, "moved");
                if *source == SourceState::Running {
                    self.forward_remainder(attempt).await?;
                }
                Ok(MoveResult::Moved(handle))
            }
            Ok(MoveOutcome::Stopped { .. }) => {
                self.log_move(attempt, target, called_at, "stopped, no room at the target");
                if *source == SourceState::Running {
                    self.forward_remainder(attempt).await?;
                }
                *source = SourceState::Stopped;
                Ok(MoveResult::NoRoom)
            }
            Ok(outcome) => {
                self.log_move(attempt, target, called_at, &format!("not moved: {outcome}"));
                match source {
                    // The replica did not stop the run, so the stream ended with it.
                    SourceState::Ended => Err(Interruption::Complete),
                    SourceState::Running | SourceState::Stopped => Ok(MoveResult::NotMoved),
                }
            }
            Err(error) => {
                self.log_move(
                    attempt,
                    target,
                    called_at,
                    &format!("not known to be moved: {error}"),
                );
                Ok(MoveResult::NotMoved)
            }
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

    /// Continues the run at the target, which holds its KV cache under `handle`.
    async fn continue_at_target(
        &mut self,
        previous: Attempt<Answered>,
        selection: Selection,
        handle: String,
    ) -> Result<Attempt<Answered>, Interruption> {
        let from = previous.upstream.address.address;
        drop(previous);
        let kv_source = Some(KvSource::Moved { from, handle });
        let exchange = &mut self.exchange;
        let target = Arc::clone(&selection.upstream);
        exchange.progress.tried.push(target.clone());
        exchange.progress.attempts += 1;
        exchange.relay.usage_tracker.on_retry(&exchange.service);
        exchange.relay.observer.stream_moved(&exchange.service);
        let sent = Attempt::reserve(&exchange.relay, target, Tokens(0)).send(
            &exchange.relay,
            &exchange.caller.id,
            || exchange.upstream_request(&selection, kv_source.clone()),
            Reuse::Forbidden,
            exchange.deadline,
        );
        match sent.await {
            Ok(next) if next.head().status.is_success() => {
                self.cursor = EventCursor::default();
                Ok(next)
            }
            Ok(next) => {
                let status = next.head().status;
                Err(Interruption::Replica(format!(
                    "moved, then status {status}"
                )))
            }
            Err(error) => Err(Interruption::Replica(format!("moved, then {error}"))),
        }
    }

    fn log_move(
        &self,
        attempt: &Attempt<Answered>,
        to: Option<&Selection>,
        called_at: Option<Instant>,
        outcome: &str,
    ) {
        tracing::info!(
            request = %self.exchange.caller.id,
            upstream = %attempt.upstream.address.upstream,
            to = to.map(|selection| selection.upstream.address.upstream.as_str()),
            last_event = self.exchange.progress.last_event.map(|event| event.0),
            status = %attempt.upstream.status(),
            call_ms = called_at.map(|at| at.elapsed().as_millis() as u64),
            outcome,
            "stream leaves its replica",
        );
    }
}

/// Asks the replica at `from` to stop a run and to copy its KV cache to the replica at `target`.
async fn request_move(
    relay: &Relay,
    from: SocketAddr,
    id: &CallerRequestId,
    target: SocketAddr,
) -> UpstreamResult<MoveOutcome> {
    let until = Instant::now() + MOVE_TIMEOUT;
    let req = relay.dialect.move_request(id, target);
    let sent = relay
        .connections
        .send_to(from, req, Reuse::Forbidden, MOVE_TIMEOUT);
    let (head, body) = sent.await?.into_parts();
    let body = Limited::new(body, MAX_MOVE_RESPONSE_BYTES);
    let body = match timeout_at(until, body.collect()).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) => return Err(verbenahead_upstream::Error::interrupted(error)),
        Err(_) => {
            return Err(verbenahead_upstream::Error::interrupted(
                "no answer in time",
            ));
        }
    };
    let response: Response<Bytes> = Response::from_parts(head, body);
    Ok(relay.dialect.read_move_response(&response))
}
