//! Moves of streams away from replicas that stop.
//!
//! A run that may not be repeated can still go on elsewhere: its replica stops it and copies its
//! memory to another one, which goes on from there under the same request. To the platform it
//! stays one run.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::Response;
use http_body_util::BodyExt;
use tokio::time::{Instant, sleep_until, timeout_at};
use verbenahead_core::units::Tokens;
use verbenahead_upstream::{Result as UpstreamResult, Reuse};

use crate::{
    attempt::{Answered, Attempt},
    dialect::{CallerRequestId, KvSource, MoveOutcome},
    follow::{EventCursor, Follower, Interruption, Step},
    placement::Placement,
    relay::Relay,
};

/// Longest time of the call that moves a run. The copy of a long prompt takes some tens of
/// milliseconds on an idle link; a replica that empties has many of them to make.
const MOVE_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Replicas to which a run is handed over in turn. The notice leaves time for no more.
const MAX_TARGETS: u32 = 2;

/// Longest time for the rest of a stream to arrive whose run was stopped.
const REST_TIMEOUT: Duration = Duration::from_millis(100);

/// `Handover` is what a replica did when it was asked to hand a run over.
enum Handover {
    /// The run is stopped, and the target holds its memory.
    Ready(String),
    /// The target did not take the memory. The run is stopped and can be copied elsewhere.
    NoRoom,
    /// The run was not handed over, as far as is known.
    NotMade,
}

/// `Source` is what is known of a run at the replica that it leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Source {
    /// It goes on.
    Runs,
    /// It has stopped without its end, and its stream has been read to where it broke off.
    Stopped,
}

/// `Heard` is what a stream or the call that moves it brought.
enum Heard {
    Step(Step),
    Outcome(UpstreamResult<MoveOutcome>),
}

impl Follower {
    /// Moves the run of an attempt to another replica. Returns the attempt to follow from now on,
    /// which is the same one when the run could not be moved.
    pub(crate) async fn move_away(
        &mut self,
        mut attempt: Attempt<Answered>,
    ) -> Result<Attempt<Answered>, Interruption> {
        let mut source = Source::Runs;
        for _ in 0..MAX_TARGETS {
            let tried = &self.exchange.progress.tried;
            let placed = self
                .exchange
                .relay
                .replica_selector
                .place(&self.exchange, tried);
            let Some(placement) = placed else {
                self.log_move(&attempt, None, "no other replica");
                break;
            };
            match self
                .hand_over(&mut attempt, &mut source, &placement)
                .await?
            {
                Handover::Ready(handle) => return self.go_on(attempt, placement, handle).await,
                Handover::NoRoom => self.exchange.progress.tried.push(placement.upstream),
                Handover::NotMade => break,
            }
        }
        self.may_move = false;
        match source {
            Source::Runs => Ok(attempt),
            // Reading on would find the end of the body, as if the stream were complete.
            Source::Stopped => Err(Interruption::Replica("stopped and not moved".to_owned())),
        }
    }

    /// Asks the replica to hand the run over, and passes on what the stream brings meanwhile.
    async fn hand_over(
        &mut self,
        attempt: &mut Attempt<Answered>,
        source: &mut Source,
        placement: &Placement,
    ) -> Result<Handover, Interruption> {
        let relay = self.exchange.relay.clone();
        let id = self.exchange.caller.id.clone();
        let from = attempt.upstream.address.address;
        let call = move_run(&relay, from, &id, placement.upstream.address.address);
        tokio::pin!(call);
        let outcome = loop {
            let heard = tokio::select! {
                biased;
                step = self.cursor.next(attempt), if *source == Source::Runs => Heard::Step(step),
                outcome = &mut call => Heard::Outcome(outcome),
                () = self.tx.closed() => return Err(Interruption::CallerGone),
                () = sleep_until(self.exchange.deadline) => return Err(Interruption::TimedOut),
            };
            match heard {
                Heard::Step(Step::Event(event)) => self.pass_on(attempt, event).await?,
                Heard::Step(Step::End) => return Err(Interruption::Complete),
                Heard::Step(Step::Broken(_)) => *source = Source::Stopped,
                Heard::Outcome(outcome) => break outcome,
            }
        };
        let target = Some(placement);
        match outcome {
            Ok(MoveOutcome::Moved { handle }) => {
                self.log_move(attempt, target, "moved");
                if *source == Source::Runs {
                    self.pass_on_rest(attempt).await?;
                }
                Ok(Handover::Ready(handle))
            }
            Ok(MoveOutcome::Stopped { .. }) => {
                self.log_move(attempt, target, "stopped, no room at the target");
                if *source == Source::Runs {
                    self.pass_on_rest(attempt).await?;
                    *source = Source::Stopped;
                }
                Ok(Handover::NoRoom)
            }
            Ok(outcome) => {
                self.log_move(attempt, target, &format!("not moved: {outcome}"));
                Ok(Handover::NotMade)
            }
            Err(error) => {
                self.log_move(attempt, target, &format!("not known to be moved: {error}"));
                Ok(Handover::NotMade)
            }
        }
    }

    /// Passes on the events of a stopped run that are still on their way. What does not come in
    /// time comes again from the target.
    async fn pass_on_rest(&mut self, attempt: &mut Attempt<Answered>) -> Result<(), Interruption> {
        let until = Instant::now() + REST_TIMEOUT;
        loop {
            match timeout_at(until, self.cursor.next(attempt)).await {
                Ok(Step::Event(event)) => self.pass_on(attempt, event).await?,
                Ok(Step::End) => return Err(Interruption::Complete),
                Ok(Step::Broken(_)) | Err(_) => return Ok(()),
            }
        }
    }

    /// Goes on at the replica that holds the run's memory.
    async fn go_on(
        &mut self,
        before: Attempt<Answered>,
        placement: Placement,
        handle: String,
    ) -> Result<Attempt<Answered>, Interruption> {
        let from = before.upstream.address.address;
        drop(before);
        let kv_source = Some(KvSource::Moved { from, handle });
        let exchange = &mut self.exchange;
        let req = exchange.upstream_request(&placement, kv_source);
        let target = placement.upstream;
        exchange.progress.tried.push(target.clone());
        exchange.progress.attempts += 1;
        exchange.relay.usage_tracker.on_repeat(&exchange.service);
        exchange.relay.observer.stream_moved(&exchange.service);
        let sent = Attempt::reserve(target, Tokens(0)).send(
            &exchange.relay.connections,
            exchange.relay.dialect.as_ref(),
            &exchange.caller.id,
            req,
            Reuse::Forbidden,
            exchange.remaining(),
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
            Err(unanswered) => Err(Interruption::Replica(format!("moved, then {unanswered}"))),
        }
    }

    fn log_move(&self, attempt: &Attempt<Answered>, to: Option<&Placement>, outcome: &str) {
        tracing::info!(
            request = %self.exchange.caller.id,
            upstream = %attempt.upstream.address.upstream,
            to = to.map(|placement| placement.upstream.address.upstream.as_str()),
            last_event = self.exchange.progress.last_event.map(|event| event.0),
            status = ?attempt.upstream.status(),
            outcome,
            "stream leaves its replica",
        );
    }
}

/// Asks the replica at `from` to stop a run and to copy its memory to the one at `target`.
async fn move_run(
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
    let body = match timeout_at(until, body.collect()).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) => return Err(verbenahead_upstream::Error::interrupted(error)),
        Err(_) => {
            return Err(verbenahead_upstream::Error::interrupted(
                "no answer in time",
            ));
        }
    };
    let answer: Response<Bytes> = Response::from_parts(head, body);
    Ok(relay.dialect.read_move_response(&answer))
}
