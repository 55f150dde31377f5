//! The second attempt to begin a stream whose replica was found to be cut off before its first event. The stream
//! begins at the replica whose first event arrives first.

use std::{pin::Pin, sync::Arc};

use tokio::time::sleep_until;

use crate::{
    exchange::Exchange,
    own_answer::OwnAnswer,
    stall_timer::sleep_until_some,
    stream::{self, FirstEvent, FirstEventError, OpenStream},
    stream_search::{SPARE_ATTEMPTS, SearchPause},
    successor::rejected_head,
    upstream::UpstreamEntry,
};

impl Exchange {
    /// Seeks another replica that begins the stream, and waits for the first event of the present one at
    /// `upstream` meanwhile.
    ///
    /// # Errors
    ///
    /// Returns the response to the caller if both attempts are over and no further one is allowed.
    pub(crate) async fn first_of_two(
        &mut self,
        mut waiting: Pin<&mut impl Future<Output = FirstEvent>>,
        upstream: &Arc<UpstreamEntry>,
    ) -> Result<FirstEvent, OwnAnswer> {
        let mut pause = SearchPause::default();
        loop {
            if self.may_start_second()
                && let Some(first) = self.start_second(waiting.as_mut(), upstream).await?
            {
                return Ok(first);
            }
            pause.begin();
            tracing::info!(
                request = %self.caller.id,
                upstream = %upstream.address.upstream,
                attempts = self.progress.attempts,
                "stream stays at its replica before its first event",
            );
            tokio::select! {
                biased;
                first = waiting.as_mut() => return Ok(first),
                () = self.wait_quarantined() => return Err(self.cancelled()),
                () = sleep_until_some(pause.until()) => {}
            }
        }
    }

    /// Takes a retry for a second attempt from the budget, if there is another replica.
    fn may_start_second(&mut self) -> bool {
        if !self.relay.replica_selector.has_untried(self) {
            return false;
        }
        self.progress.spare_attempts = SPARE_ATTEMPTS;
        let is_allowed = self.check_retry(false).is_ok();
        if !is_allowed {
            self.progress.spare_attempts = 0;
        }
        is_allowed
    }

    /// Makes further attempts until one of them or the present one has a first event. Returns `None` if only
    /// the present one is left.
    async fn start_second(
        &mut self,
        mut waiting: Pin<&mut impl Future<Output = FirstEvent>>,
        upstream: &Arc<UpstreamEntry>,
    ) -> Result<Option<FirstEvent>, OwnAnswer> {
        let attempts = self.progress.attempts;
        let deadline = self.deadline;
        let mut failed = None;
        let mut first = None;
        let second = {
            let second = self.next_start();
            tokio::pin!(second);
            loop {
                tokio::select! {
                    biased;
                    event = waiting.as_mut(), if failed.is_none() => match event {
                        Err((attempt, error @ FirstEventError::Interrupted(_))) => {
                            failed = Some((attempt, error));
                        }
                        event => {
                            first = Some(event);
                            break None;
                        }
                    },
                    second = &mut second => break Some(second),
                    () = sleep_until(deadline), if failed.is_some() => break None,
                }
            }
        };
        self.progress.spare_attempts = 0;
        self.record_abandoned();
        if self.progress.attempts == attempts {
            self.relay.usage_tracker.return_retry(&self.service);
        }
        if let Some((attempt, error)) = failed {
            self.log_broken_off(&attempt, &error.to_string());
            self.record_break(&attempt.upstream);
            attempt.fail();
            return match second {
                Some(second) => second.map(|stream| Some(Ok(stream))),
                None => Err(self.out_of_time()),
            };
        }
        match second {
            Some(Ok(stream)) => Ok(Some(Ok(stream))),
            Some(Err(_)) | None => {
                self.set_last_tried(upstream);
                Ok(first)
            }
        }
    }

    /// Makes attempts until one has a first event.
    async fn next_start(&mut self) -> Result<OpenStream, OwnAnswer> {
        loop {
            let attempt = self.next_attempt().await?;
            if let Some(reason) = rejected_head(&attempt) {
                self.log_broken_off(&attempt, &reason);
                attempt.finish();
                self.check_retry(false)?;
                continue;
            }
            let first = tokio::select! {
                biased;
                first = stream::first_event(attempt, self.memory.another(), self.deadline) => first,
                () = self.wait_quarantined() => return Err(self.cancelled()),
            };
            match first {
                Ok(stream) => return Ok(stream),
                Err((attempt, FirstEventError::TimedOut)) => {
                    attempt.fail();
                    return Err(self.out_of_time());
                }
                Err((attempt, error)) => {
                    self.log_broken_off(&attempt, &error.to_string());
                    self.record_break(&attempt.upstream);
                    attempt.fail();
                    self.check_retry(false)?;
                }
            }
        }
    }
}
