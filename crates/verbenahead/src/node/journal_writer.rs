//! Replication of the tokens of one answer to the node that holds its journal.

use std::{sync::Arc, time::Duration};

use futures_util::future::BoxFuture;
use tokio::time::{Instant, sleep, sleep_until};
use verbenahead_peer::{JournalAppend, JournalRecord, JournalRefusal};

use crate::node::journals::{JournalFailure, JournalHandle, Journals};

/// Minimum time between two messages about one journal.
const MESSAGE_INTERVAL: Duration = Duration::from_millis(100);

/// Time between two checks of whether the holder is alive.
const HOLDER_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Longest time that a flush may take.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum number of messages in a flush, which may have to put the complete journal at a new
/// holder.
const MAX_FLUSH_MESSAGES: u32 = 4;

/// `JournalWriter` replicates the tokens of one answer to the holder of its journal, in batches and
/// without delaying the answer. When the holder is lost, it puts the complete journal at another
/// node.
pub struct JournalWriter {
    journals: Arc<dyn Journals>,
    /// The journal without its tokens.
    record: JournalRecord,
    handle: JournalHandle,
    /// Number of tokens that the holder has acknowledged.
    acknowledged: u64,
    is_holder_lost: bool,
    in_flight: Option<Message>,
    next_message_at: Instant,
    next_check_at: Instant,
}

/// `TakenOver` is returned when another node has become the owner of the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TakenOver;

struct Message {
    /// Number of tokens that the holder has once it acknowledges this message.
    length: u64,
    reply: BoxFuture<'static, Reply>,
}

enum Reply {
    Appended(Result<(), JournalFailure>),
    Put(Result<JournalHandle, JournalFailure>),
}

impl JournalWriter {
    /// Builds a writer of a journal whose holder already has the tokens of `record`.
    pub fn new(
        journals: Arc<dyn Journals>,
        mut record: JournalRecord,
        handle: JournalHandle,
    ) -> Self {
        let acknowledged = record.tokens.len() as u64;
        record.tokens = Vec::new();
        record.epoch = handle.epoch;
        Self {
            journals,
            record,
            handle,
            acknowledged,
            is_holder_lost: false,
            in_flight: None,
            next_message_at: Instant::now() + MESSAGE_INTERVAL,
            next_check_at: Instant::now() + HOLDER_CHECK_INTERVAL,
        }
    }

    /// Replicates `tokens` until another node takes the request over; otherwise it does not return.
    /// It is cancel-safe, for use as a branch of `select!`.
    pub async fn drive(&mut self, tokens: &[String]) -> TakenOver {
        loop {
            if self.in_flight.is_none() {
                self.wait_until_due(tokens).await;
                self.send_message(tokens, false);
            }
            if self.await_reply().await == Err(TakenOver) {
                return TakenOver;
            }
        }
    }

    /// Waits until there is something to send and the minimum time since the last message is over.
    async fn wait_until_due(&mut self, tokens: &[String]) {
        loop {
            self.check_holder();
            if self.is_holder_lost || self.has_unsent_tokens(tokens) {
                sleep_until(self.next_message_at).await;
                return;
            }
            sleep(HOLDER_CHECK_INTERVAL).await;
        }
    }

    fn check_holder(&mut self) {
        let now = Instant::now();
        if now >= self.next_check_at {
            self.next_check_at = now + HOLDER_CHECK_INTERVAL;
            self.is_holder_lost |= !self.journals.is_held(&self.handle);
        }
    }

    fn has_unsent_tokens(&self, tokens: &[String]) -> bool {
        self.handle.holder.is_some() && self.acknowledged < tokens.len() as u64
    }

    /// Sends the remaining tokens and waits for the acknowledgement, for at most `FLUSH_TIMEOUT`.
    /// Returns whether the holder has every token.
    ///
    /// # Errors
    ///
    /// [`TakenOver`] when another node has taken the request over.
    pub async fn flush(&mut self, tokens: &[String], is_finished: bool) -> Result<bool, TakenOver> {
        if self.handle.holder.is_none() && self.journals.is_held(&self.handle) {
            return Ok(false);
        }
        let flushed = self.flush_all(tokens, is_finished);
        match tokio::time::timeout(FLUSH_TIMEOUT, flushed).await {
            Ok(result) => result,
            Err(_) => Ok(false),
        }
    }

    async fn flush_all(&mut self, tokens: &[String], is_finished: bool) -> Result<bool, TakenOver> {
        self.await_reply().await?;
        for _ in 0..MAX_FLUSH_MESSAGES {
            self.send_message(tokens, is_finished);
            self.await_reply().await?;
            if !self.is_holder_lost && self.acknowledged == tokens.len() as u64 {
                return Ok(true);
            }
        }
        Ok(false)
    }

    fn send_message(&mut self, tokens: &[String], is_finished: bool) {
        let reply = if self.is_holder_lost {
            self.put(tokens, is_finished)
        } else {
            self.append(tokens, is_finished)
        };
        let length = tokens.len() as u64;
        self.in_flight = Some(Message { length, reply });
        self.next_message_at = Instant::now() + MESSAGE_INTERVAL;
    }

    fn append(&self, tokens: &[String], is_finished: bool) -> BoxFuture<'static, Reply> {
        let append = JournalAppend {
            request: self.handle.request,
            epoch: self.handle.epoch,
            position: self.acknowledged,
            tokens: tokens[self.acknowledged as usize..].to_vec(),
            is_finished,
        };
        let journals = Arc::clone(&self.journals);
        let handle = self.handle.clone();
        Box::pin(async move { Reply::Appended(journals.append(&handle, append).await) })
    }

    fn put(&self, tokens: &[String], is_finished: bool) -> BoxFuture<'static, Reply> {
        let record = JournalRecord {
            tokens: tokens.to_vec(),
            is_finished,
            ..self.record.clone()
        };
        let journals = Arc::clone(&self.journals);
        Box::pin(async move { Reply::Put(journals.put(record).await) })
    }

    async fn await_reply(&mut self) -> Result<(), TakenOver> {
        let Some(message) = &mut self.in_flight else {
            return Ok(());
        };
        let length = message.length;
        let reply = (&mut message.reply).await;
        self.in_flight = None;
        let failure = match reply {
            Reply::Appended(Ok(())) => {
                self.acknowledged = length;
                return Ok(());
            }
            Reply::Put(Ok(handle)) => {
                self.handle = handle;
                self.acknowledged = length;
                self.is_holder_lost = false;
                return Ok(());
            }
            Reply::Appended(Err(failure)) | Reply::Put(Err(failure)) => failure,
        };
        self.handle_failure(failure)
    }

    fn handle_failure(&mut self, failure: JournalFailure) -> Result<(), TakenOver> {
        match failure {
            JournalFailure::Refused(JournalRefusal::StaleEpoch { .. }) => return Err(TakenOver),
            JournalFailure::Refused(JournalRefusal::Gap { length }) => {
                self.acknowledged = length.min(self.acknowledged);
            }
            failure => {
                tracing::info!(
                    request = %self.handle.request,
                    ?failure,
                    "journal message failed; putting the journal again",
                );
                self.is_holder_lost = true;
            }
        }
        Ok(())
    }
}
