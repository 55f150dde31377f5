//! Continues runs that have stopped for a move, at the replica that took the copy or at their source.

use std::{collections::VecDeque, sync::Arc};

use tokio::time::Instant;
use verbenahead_core::units::Tokens;
use verbenahead_upstream::Reuse;

use crate::{
    attempt::{Answered, Attempt, AttemptError, NotRunCause},
    dialect::KvSource,
    event_cursor::EventCursor,
    replica_selector::Selection,
    stream_forwarder::{Interruption, StreamForwarder},
    stream_move::NEXT_MOVE_PAUSE,
    upstream::UpstreamEntry,
};

/// `StoppedRun` is a run that has stopped, with the replicas at which it can continue.
pub(crate) struct StoppedRun {
    pub(crate) handle: String,
    /// Replicas that are asked to continue the run, one after the other.
    pub(crate) destinations: VecDeque<Arc<UpstreamEntry>>,
}

impl StreamForwarder {
    /// Continues a stopped run at the first of its destinations that takes it. The handle is good for one
    /// run, so a request whose outcome is not known can be made again.
    pub(crate) async fn continue_stopped(
        &mut self,
        previous: Attempt<Answered>,
        stopped: StoppedRun,
    ) -> Result<Attempt<Answered>, Interruption> {
        let source = Arc::clone(&previous.upstream);
        drop(previous);
        let mut destinations = stopped.destinations;
        let mut is_repeated = false;
        let mut reason = "no destination".to_owned();
        while let Some(destination) = destinations.pop_front() {
            let sent = self
                .continue_at(&destination, &source, &stopped.handle)
                .await;
            match sent {
                Ok(next) if next.head().status.is_success() => {
                    self.cursor = EventCursor::default();
                    if Arc::ptr_eq(&destination, &source) {
                        self.move_after = Some(Instant::now() + NEXT_MOVE_PAUSE);
                    } else {
                        self.exchange
                            .relay
                            .observer
                            .stream_moved(&self.exchange.service);
                    }
                    return Ok(next);
                }
                Ok(next) => {
                    let status = next.head().status;
                    return Err(Interruption::Replica(format!(
                        "moved, then status {status}"
                    )));
                }
                Err(error) => {
                    tracing::info!(
                        request = %self.exchange.caller.id,
                        upstream = %destination.address.upstream,
                        from = %source.address.upstream,
                        outcome = %error,
                        others = destinations.len(),
                        "stopped run not continued",
                    );
                    reason = format!("moved, then {error}");
                    // A replica resets connections that it has no room for.
                    let is_unsent = matches!(error, AttemptError::NotRun(NotRunCause::NotSent(_)));
                    if !is_unsent && !std::mem::replace(&mut is_repeated, true) {
                        destinations.push_front(destination);
                    }
                }
            }
        }
        Err(Interruption::Replica(reason))
    }

    /// Asks a replica to continue a run that stopped at `source`.
    async fn continue_at(
        &mut self,
        destination: &Arc<UpstreamEntry>,
        source: &Arc<UpstreamEntry>,
        handle: &str,
    ) -> Result<Attempt<Answered>, AttemptError> {
        let kv_source = Some(KvSource::Moved {
            from: source.address.address,
            handle: handle.to_owned(),
        });
        let exchange = &mut self.exchange;
        exchange.progress.tried.push(Arc::clone(destination));
        exchange.progress.attempts += 1;
        exchange.relay.usage_tracker.on_retry(&exchange.service);
        let selection = Selection::fixed(Arc::clone(destination));
        let reserved = Attempt::reserve(&exchange.relay, Arc::clone(destination), Tokens(0));
        let sent = reserved.send(
            &exchange.relay,
            &exchange.caller.id,
            || exchange.upstream_request(&selection, kv_source.clone()),
            Reuse::Forbidden,
            exchange.deadline,
        );
        sent.await
    }
}
