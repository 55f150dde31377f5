//! Copies the tokens of one answer to the holder of its journal.

use std::{future::pending, sync::Arc, time::Duration};

use futures_util::future::BoxFuture;
use tokio::time::{Instant, sleep_until};
use verbenahead_peer::{JournalAppend, JournalRefusal};

use crate::node::journals::{JournalFailure, JournalTicket, Journals};

/// Shortest time between two messages about one journal.
const APPEND_INTERVAL: Duration = Duration::from_millis(100);

/// Longest time that the last message about a journal may take.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(1);

/// `JournalWriter` sends the tokens of one answer to the holder of its journal, in the background
/// of the answer and a few tokens at a time.
pub struct JournalWriter {
    journals: Arc<dyn Journals>,
    ticket: JournalTicket,
    acknowledged: u64,
    in_flight: Option<(u64, BoxFuture<'static, Result<(), JournalFailure>>)>,
    next_append: Instant,
}

/// `TakenOver` says that another node carries out the request now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TakenOver;

impl JournalWriter {
    /// Builds a writer of a journal that holds `length` tokens.
    pub fn new(journals: Arc<dyn Journals>, ticket: JournalTicket, length: u64) -> Self {
        Self {
            journals,
            ticket,
            acknowledged: length,
            in_flight: None,
            next_append: Instant::now() + APPEND_INTERVAL,
        }
    }

    /// Works on the journal until the request is taken over. Never returns otherwise, so that it
    /// can be one branch of a `select!`; dropping the future loses nothing.
    pub async fn drive(&mut self, tokens: &[String]) -> TakenOver {
        loop {
            if self.in_flight.is_none() {
                if self.ticket.holder.is_none() || self.acknowledged >= tokens.len() as u64 {
                    return pending().await;
                }
                sleep_until(self.next_append).await;
                self.start_append(tokens, false);
            }
            if self.finish_append().await == Err(TakenOver) {
                return TakenOver;
            }
        }
    }

    /// Sends what is left and waits for the holder's word, for a bounded time. Returns whether the
    /// holder has every token.
    ///
    /// # Errors
    ///
    /// [`TakenOver`] when another node has taken the request over.
    pub async fn flush(&mut self, tokens: &[String], is_finished: bool) -> Result<bool, TakenOver> {
        if self.ticket.holder.is_none() {
            return Ok(false);
        }
        match tokio::time::timeout(FLUSH_TIMEOUT, self.flush_all(tokens, is_finished)).await {
            Ok(result) => result.map(|()| self.acknowledged == tokens.len() as u64),
            Err(_) => Ok(false),
        }
    }

    async fn flush_all(&mut self, tokens: &[String], is_finished: bool) -> Result<(), TakenOver> {
        self.finish_append().await?;
        self.start_append(tokens, is_finished);
        self.finish_append().await
    }

    fn start_append(&mut self, tokens: &[String], is_finished: bool) {
        let append = JournalAppend {
            request: self.ticket.request,
            epoch: self.ticket.epoch,
            position: self.acknowledged,
            tokens: tokens[self.acknowledged as usize..].to_vec(),
            is_finished,
        };
        let journals = Arc::clone(&self.journals);
        let ticket = self.ticket.clone();
        let call = async move { journals.append(&ticket, append).await };
        self.in_flight = Some((tokens.len() as u64, Box::pin(call)));
        self.next_append = Instant::now() + APPEND_INTERVAL;
    }

    async fn finish_append(&mut self) -> Result<(), TakenOver> {
        let Some((length, call)) = &mut self.in_flight else {
            return Ok(());
        };
        let length = *length;
        let result = call.await;
        self.in_flight = None;
        match result {
            Ok(()) => self.acknowledged = length,
            Err(JournalFailure::Refused(JournalRefusal::StaleEpoch { .. })) => {
                return Err(TakenOver);
            }
            Err(JournalFailure::Refused(JournalRefusal::Gap { length })) => {
                self.acknowledged = length.min(self.acknowledged);
            }
            // The tokens stay in the writer and go with the next message.
            Err(failure) => tracing::debug!(?failure, "journal append failed"),
        }
        Ok(())
    }
}
