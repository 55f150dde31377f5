//! Copies the tokens of one answer to the holder of its journal.

use std::{sync::Arc, time::Duration};

use futures_util::future::BoxFuture;
use tokio::time::{Instant, sleep, sleep_until};
use verbenahead_peer::{JournalAppend, JournalRecord, JournalRefusal};

use crate::node::journals::{JournalFailure, JournalHandle, Journals};

/// Shortest time between two messages about one journal.
const MESSAGE_INTERVAL: Duration = Duration::from_millis(100);

/// Time between two looks at whether the holder lives.
const HOLDER_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Longest time that the last messages about a journal may take.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(2);

/// Most messages that a flush sends, as the journal may have to be put whole at a new holder.
const MAX_FLUSH_MESSAGES: u32 = 4;

/// `JournalWriter` sends the tokens of one answer to the holder of its journal, in the background
/// of the answer and a few tokens at a time. When the holder is gone, the whole journal is put at
/// another one.
pub struct JournalWriter {
    journals: Arc<dyn Journals>,
    /// The journal without its tokens.
    record: JournalRecord,
    handle: JournalHandle,
    acknowledged: u64,
    is_lost: bool,
    in_flight: Option<Message>,
    next_message: Instant,
    next_check: Instant,
}

/// `TakenOver` says that another node carries out the request now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TakenOver;

struct Message {
    /// Number of tokens that the holder has when it acknowledges.
    length: u64,
    answer: BoxFuture<'static, Answer>,
}

enum Answer {
    Appended(Result<(), JournalFailure>),
    Put(Result<JournalHandle, JournalFailure>),
}

impl JournalWriter {
    /// Builds a writer of a journal, which the holder has with the tokens of `record`.
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
            is_lost: false,
            in_flight: None,
            next_message: Instant::now() + MESSAGE_INTERVAL,
            next_check: Instant::now() + HOLDER_CHECK_INTERVAL,
        }
    }

    /// Works on the journal until the request is taken over. It does not return otherwise, so that
    /// it can be one branch of a `select!`; dropping the future loses nothing.
    pub async fn drive(&mut self, tokens: &[String]) -> TakenOver {
        loop {
            if self.in_flight.is_none() {
                self.wait_for_work(tokens).await;
                self.start_message(tokens, false);
            }
            if self.finish_message().await == Err(TakenOver) {
                return TakenOver;
            }
        }
    }

    /// Waits until there is something to tell and the time to tell it has come.
    async fn wait_for_work(&mut self, tokens: &[String]) {
        loop {
            self.check_holder();
            if self.is_lost || self.has_news(tokens) {
                sleep_until(self.next_message).await;
                return;
            }
            sleep(HOLDER_CHECK_INTERVAL).await;
        }
    }

    fn check_holder(&mut self) {
        let now = Instant::now();
        if now >= self.next_check {
            self.next_check = now + HOLDER_CHECK_INTERVAL;
            self.is_lost |= !self.journals.is_held(&self.handle);
        }
    }

    fn has_news(&self, tokens: &[String]) -> bool {
        self.handle.holder.is_some() && self.acknowledged < tokens.len() as u64
    }

    /// Sends what is left and waits for the holder's word, for a bounded time. Returns whether the
    /// holder has every token.
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
        self.finish_message().await?;
        for _ in 0..MAX_FLUSH_MESSAGES {
            self.start_message(tokens, is_finished);
            self.finish_message().await?;
            if !self.is_lost && self.acknowledged == tokens.len() as u64 {
                return Ok(true);
            }
        }
        Ok(false)
    }

    fn start_message(&mut self, tokens: &[String], is_finished: bool) {
        let answer = if self.is_lost {
            self.put(tokens, is_finished)
        } else {
            self.append(tokens, is_finished)
        };
        let length = tokens.len() as u64;
        self.in_flight = Some(Message { length, answer });
        self.next_message = Instant::now() + MESSAGE_INTERVAL;
    }

    fn append(&self, tokens: &[String], is_finished: bool) -> BoxFuture<'static, Answer> {
        let append = JournalAppend {
            request: self.handle.request,
            epoch: self.handle.epoch,
            position: self.acknowledged,
            tokens: tokens[self.acknowledged as usize..].to_vec(),
            is_finished,
        };
        let journals = Arc::clone(&self.journals);
        let handle = self.handle.clone();
        Box::pin(async move { Answer::Appended(journals.append(&handle, append).await) })
    }

    fn put(&self, tokens: &[String], is_finished: bool) -> BoxFuture<'static, Answer> {
        let record = JournalRecord {
            tokens: tokens.to_vec(),
            is_finished,
            ..self.record.clone()
        };
        let journals = Arc::clone(&self.journals);
        Box::pin(async move { Answer::Put(journals.put(record).await) })
    }

    async fn finish_message(&mut self) -> Result<(), TakenOver> {
        let Some(message) = &mut self.in_flight else {
            return Ok(());
        };
        let length = message.length;
        let answer = (&mut message.answer).await;
        self.in_flight = None;
        let failure = match answer {
            Answer::Appended(Ok(())) => {
                self.acknowledged = length;
                return Ok(());
            }
            Answer::Put(Ok(handle)) => {
                self.handle = handle;
                self.acknowledged = length;
                self.is_lost = false;
                return Ok(());
            }
            Answer::Appended(Err(failure)) | Answer::Put(Err(failure)) => failure,
        };
        self.after_failure(failure)
    }

    fn after_failure(&mut self, failure: JournalFailure) -> Result<(), TakenOver> {
        match failure {
            JournalFailure::Refused(JournalRefusal::StaleEpoch { .. }) => return Err(TakenOver),
            JournalFailure::Refused(JournalRefusal::Gap { length }) => {
                self.acknowledged = length.min(self.acknowledged);
            }
            failure => {
                tracing::info!(request = %self.handle.request, ?failure, "journal is put again");
                self.is_lost = true;
            }
        }
        Ok(())
    }
}
