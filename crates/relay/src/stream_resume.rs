//! Streams that go on at another replica within the response.

use crate::{
    attempt::{Answered, Attempt},
    stream_forwarder::StreamForwarder,
    stream_search::SearchPause,
    successor::Successor,
};

impl StreamForwarder {
    /// Resumes the stream at another replica after the last forwarded event.
    ///
    /// # Errors
    ///
    /// Returns the outcome of the request for its log line if the stream cannot be resumed.
    pub(crate) async fn resume(&mut self, reason: &str) -> Result<(), String> {
        let upstream = self.exchange.progress.tried.last();
        tracing::info!(
            request = %self.exchange.caller.id,
            status = upstream.map(|u| tracing::field::display(u.status())),
            generation = self.exchange.generation.0,
            generation_in_force = self.exchange.generation_in_force(),
            upstream = upstream.map(|u| u.address.upstream.as_str()),
            last_event = self.exchange.progress.last_event.map(|id| id.0),
            fingerprint = %self.exchange.content.fingerprint(),
            parts = self.exchange.part_ids(),
            reason,
            is_resumable = self.exchange.route.retry_safety.is_repeatable(),
            "stream interrupted",
        );
        if !self.exchange.route.retry_safety.is_repeatable() {
            return Err(format!("broken off: {reason}"));
        }
        self.exchange.keep_only_last_tried();
        let exchange = &self.exchange;
        exchange.relay.usage_tracker.on_retry(&exchange.service);
        exchange.relay.observer.stream_resumed(&exchange.service);
        let next = tokio::select! {
            next = self.exchange.next_successor() => next,
            () = self.tx.closed() => return Err("caller left".to_owned()),
        };
        let next = next.map_err(|own| format!("broken off: {reason}, then {}", own.reason))?;
        self.attempt = Some(self.go_on_at(next));
        Ok(())
    }

    /// Makes a successor the current attempt of the stream.
    pub(crate) fn go_on_at(&mut self, successor: Successor) -> Attempt<Answered> {
        self.cursor = successor.cursor;
        self.may_be_stopped = false;
        self.is_resumed = true;
        self.run_event = None;
        self.search_pause = SearchPause::default();
        successor.attempt
    }
}
