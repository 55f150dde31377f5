//! Continues runs that have stopped for a move, at the replica that took the copy or at their source.
//!
//! The handle of a run may be good once at each replica, so the next destination is asked only when the one
//! before is known not to work on the run.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use tokio::time::{Instant, sleep, sleep_until};
use verbenahead_core::units::Tokens;
use verbenahead_upstream::{Error as UpstreamError, Reuse};

use crate::{
    attempt::{Answered, Attempt, AttemptError, NotRunCause},
    dialect::{EventId, KvSource},
    event_cursor::EventCursor,
    replica_selector::Selection,
    stall_timer::sleep_until_some,
    stream_forwarder::{Interruption, StreamForwarder},
    stream_move::NEXT_MOVE_PAUSE,
    successor::{Successor, rejected_head},
    upstream::{UpstreamEntry, UpstreamStatus},
};

/// Limit on the requests to continue a run at one destination.
const MAX_REQUESTS: u32 = 2;

/// Time after which a replica has stopped work on a request whose connection has closed.
const CANCEL_TIME: Duration = Duration::from_millis(400);

/// Time before the announced stop of a replica from which on a stopped run does not return to it. The notice
/// is usually read up to a quarter of a second late, and nothing may arrive after the drain time.
const RETURN_MARGIN: Duration = Duration::from_millis(300);

/// Time to find out that a silent destination does not work on a run, before the run returns to its source.
const CHECK_TIME: Duration = Duration::from_millis(200);

/// Pause between two probes of a replica that may still work on a run.
const PROBE_PAUSE: Duration = Duration::from_millis(100);

/// `StoppedRun` is a run that has stopped, with the replicas at which it can continue.
pub(crate) struct StoppedRun {
    pub(crate) handle: String,
    /// Replicas that are asked to continue the run, one after the other.
    pub(crate) destinations: VecDeque<Arc<UpstreamEntry>>,
}

/// `Continuation` is a request to continue a run.
struct Continuation<'a> {
    source: &'a Arc<UpstreamEntry>,
    handle: &'a str,
    /// Last event that was forwarded.
    last: EventId,
    /// Whether no other destination is left.
    is_last: bool,
    /// Time after which a silent destination is left, or `None` if nothing is gained by leaving it.
    silence_limit: Option<Duration>,
}

/// `NotContinued` tells why a destination does not continue a run.
enum NotContinued {
    /// The request did not arrive, or the destination did not run it.
    NotRun(AttemptError),
    /// The destination may work on the run.
    Unknown(String),
    /// The response does not continue the stream.
    Rejected(String),
}

impl NotContinued {
    fn reason(&self) -> String {
        match self {
            Self::NotRun(error) => error.to_string(),
            Self::Unknown(reason) | Self::Rejected(reason) => reason.clone(),
        }
    }
}

/// `Liveness` is what a probe shows of a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Liveness {
    /// It answers.
    Answers,
    /// It closes connections without an answer.
    Resets,
    /// It does not answer.
    Silent,
    /// No process listens at its address.
    Gone,
}

impl StreamForwarder {
    /// Continues a stopped run at the first of its destinations that takes it.
    pub(crate) async fn continue_stopped(
        &mut self,
        previous: Attempt<Answered>,
        stopped: StoppedRun,
    ) -> Result<Attempt<Answered>, Interruption> {
        let source = Arc::clone(&previous.upstream);
        drop(previous);
        let Some(last) = self.exchange.resume_after() else {
            return Err(Interruption::Replica("moved without an event".to_owned()));
        };
        let mut destinations = stopped.destinations;
        let mut reason = "no destination in time".to_owned();
        loop {
            let to_return = time_to_return(&source);
            destinations
                .retain(|destination| !Arc::ptr_eq(destination, &source) || !to_return.is_zero());
            let Some(destination) = destinations.pop_front() else {
                break;
            };
            let continuation = Continuation {
                source: &source,
                handle: &stopped.handle,
                last,
                is_last: destinations.is_empty(),
                silence_limit: self.silence_limit(destinations.is_empty(), to_return),
            };
            match self.try_destination(&destination, &continuation).await? {
                Ok(successor) => {
                    if Arc::ptr_eq(&destination, &source) {
                        self.move_after = Some(Instant::now() + NEXT_MOVE_PAUSE);
                    } else {
                        let observer = &self.exchange.relay.observer;
                        observer.stream_moved(&self.exchange.service);
                    }
                    return Ok(self.go_on_at(successor));
                }
                Err(failure) => reason = format!("moved, then {}", failure.reason()),
            }
        }
        Err(Interruption::Replica(reason))
    }

    /// Returns the time after which a silent destination is left, or `None` if the run could not return to its
    /// source then.
    fn silence_limit(&self, is_last: bool, to_return: Duration) -> Option<Duration> {
        let limit = self.exchange.silence_limit().filter(|_| !is_last)?;
        (limit + CHECK_TIME <= to_return).then_some(limit)
    }

    /// Asks a destination to continue a run, more than once if needed. After a failure, the destination does
    /// not work on the run, unless it is the last one.
    async fn try_destination(
        &mut self,
        destination: &Arc<UpstreamEntry>,
        continuation: &Continuation<'_>,
    ) -> Result<Result<Successor, NotContinued>, Interruption> {
        let mut may_run = false;
        let mut requests = 1;
        let failure = loop {
            let failure = match self.continue_at(destination, continuation).await? {
                Ok(successor) => return Ok(Ok(successor)),
                Err(failure) => failure,
            };
            self.log_not_continued(destination, continuation, &failure);
            let is_asked_again = match &failure {
                NotContinued::NotRun(AttemptError::NotRun(NotRunCause::NotSent(_))) => false,
                // The handle is used after a request whose outcome is unknown. The replica has ended the
                // work on that one, since its connection has closed.
                NotContinued::NotRun(_) => !std::mem::replace(&mut may_run, false),
                // A replica resets connections that it has no room for.
                NotContinued::Unknown(_) => {
                    may_run = true;
                    true
                }
                NotContinued::Rejected(_) => {
                    may_run = true;
                    false
                }
            };
            let is_source = Arc::ptr_eq(destination, continuation.source);
            let is_too_late = is_source && time_to_return(destination).is_zero();
            if !is_asked_again || requests == MAX_REQUESTS || is_too_late {
                break failure;
            }
            requests += 1;
        };
        if may_run && !continuation.is_last {
            self.wait_cancelled(destination).await?;
        }
        Ok(Err(failure))
    }

    /// Asks a replica to continue a run, and reads its response up to the first event that follows.
    async fn continue_at(
        &mut self,
        destination: &Arc<UpstreamEntry>,
        continuation: &Continuation<'_>,
    ) -> Result<Result<Successor, NotContinued>, Interruption> {
        let exchange = &mut self.exchange;
        exchange.progress.tried.push(Arc::clone(destination));
        exchange.progress.attempts += 1;
        exchange.relay.usage_tracker.on_retry(&exchange.service);
        let sent = self.send_continuation(destination, continuation).await?;
        let mut attempt = match sent {
            Ok(attempt) => attempt,
            Err(error @ AttemptError::NotRun(_)) => return Ok(Err(NotContinued::NotRun(error))),
            Err(error) => return Ok(Err(NotContinued::Unknown(error.to_string()))),
        };
        if let Some(reason) = rejected_head(&attempt) {
            match attempt.head().status.is_success() {
                true => attempt.fail(),
                false => attempt.finish(),
            }
            return Ok(Err(NotContinued::Rejected(reason)));
        }
        let mut cursor = EventCursor::new(self.exchange.memory.another());
        loop {
            let item = tokio::select! {
                biased;
                item = cursor.next(&mut attempt) => item,
                () = self.tx.closed() => return Err(Interruption::CallerGone),
                () = sleep_until(self.exchange.deadline) => return Err(Interruption::TimedOut),
            };
            match self.exchange.judge(item, continuation.last) {
                Ok(Some(event)) => {
                    cursor.pending = Some(event);
                    return Ok(Ok(Successor { attempt, cursor }));
                }
                Ok(None) => {}
                Err(rejection) => {
                    if rejection.is_break {
                        self.exchange.record_break(&attempt.upstream);
                    }
                    attempt.fail();
                    return Ok(Err(NotContinued::Rejected(rejection.reason)));
                }
            }
        }
    }

    /// Sends the request to continue a run. A replica that sends no response is left if it answers a probe,
    /// which shows that it will learn of it. One that answers nothing may have begun to work.
    async fn send_continuation(
        &self,
        destination: &Arc<UpstreamEntry>,
        continuation: &Continuation<'_>,
    ) -> Result<Result<Attempt<Answered>, AttemptError>, Interruption> {
        let exchange = &self.exchange;
        let kv_source = Some(KvSource::Moved {
            from: continuation.source.address.address,
            handle: continuation.handle.to_owned(),
        });
        let selection = Selection::fixed(Arc::clone(destination));
        let reserved = Attempt::reserve(&exchange.relay, Arc::clone(destination), Tokens(0));
        let sent = reserved.send(
            &exchange.relay,
            &exchange.caller.id,
            || exchange.upstream_request(&selection, kv_source.clone()),
            Reuse::Forbidden,
            exchange.deadline,
        );
        tokio::pin!(sent);
        let limit = continuation.silence_limit;
        let next_probe = || limit.map(|limit| Instant::now() + limit);
        let mut probe_at = next_probe();
        loop {
            tokio::select! {
                biased;
                sent = &mut sent => return Ok(sent),
                () = self.tx.closed() => return Err(Interruption::CallerGone),
                () = sleep_until(exchange.deadline) => return Err(Interruption::TimedOut),
                () = sleep_until_some(probe_at) => {}
            }
            let liveness = tokio::select! {
                biased;
                sent = &mut sent => return Ok(sent),
                liveness = self.check_alive(destination) => liveness,
            };
            if liveness == Liveness::Answers {
                return Ok(Err(AttemptError::Unknown("no response".to_owned())));
            }
            probe_at = next_probe();
        }
    }

    /// Waits until a replica does not work on a request whose connection has closed: until it answers later
    /// than that, or is gone.
    async fn wait_cancelled(&self, upstream: &Arc<UpstreamEntry>) -> Result<(), Interruption> {
        let closed_at = Instant::now();
        loop {
            let is_cancelled = tokio::select! {
                liveness = self.check_alive(upstream) => match liveness {
                    Liveness::Answers | Liveness::Gone => true,
                    Liveness::Resets => closed_at.elapsed() >= CANCEL_TIME,
                    Liveness::Silent => false,
                },
                () = self.tx.closed() => return Err(Interruption::CallerGone),
                () = sleep_until(self.exchange.deadline) => return Err(Interruption::TimedOut),
            };
            if is_cancelled {
                return Ok(());
            }
            sleep(PROBE_PAUSE).await;
        }
    }

    /// Probes a replica, through another node if this one does not reach it.
    async fn check_alive(&self, upstream: &Arc<UpstreamEntry>) -> Liveness {
        if upstream.status() == UpstreamStatus::Gone {
            return Liveness::Gone;
        }
        let relay = &self.exchange.relay;
        if relay.direct_paths.is_cut(upstream) {
            return match relay.peer_paths.check(upstream).await {
                Some(true) => Liveness::Answers,
                _ => Liveness::Silent,
            };
        }
        let probe = relay.connections.send_to(
            upstream.address.address,
            relay.dialect.probe_request(),
            Reuse::Forbidden,
            relay.options.probe_timeout,
        );
        match probe.await {
            Ok(response) => {
                upstream.record_probe(relay.dialect.as_ref(), &response.into_parts().0);
                Liveness::Answers
            }
            Err(UpstreamError::ConnectionRefused { .. }) => Liveness::Gone,
            Err(UpstreamError::Interrupted { .. }) => Liveness::Resets,
            Err(_) => Liveness::Silent,
        }
    }

    fn log_not_continued(
        &self,
        destination: &Arc<UpstreamEntry>,
        continuation: &Continuation<'_>,
        failure: &NotContinued,
    ) {
        tracing::info!(
            request = %self.exchange.caller.id,
            upstream = %destination.address.upstream,
            from = %continuation.source.address.upstream,
            last_event = continuation.last.0,
            may_run = !matches!(failure, NotContinued::NotRun(_)),
            is_last = continuation.is_last,
            remaining_ms = self.exchange.remaining().as_millis() as u64,
            outcome = failure.reason(),
            "stopped run not continued",
        );
    }
}

/// Returns the time within which a stopped run may return to its source.
fn time_to_return(source: &UpstreamEntry) -> Duration {
    match source.status() {
        UpstreamStatus::Live => Duration::MAX,
        UpstreamStatus::Leaving { until } => until
            .saturating_duration_since(Instant::now())
            .saturating_sub(RETURN_MARGIN),
        UpstreamStatus::Gone => Duration::ZERO,
    }
}
