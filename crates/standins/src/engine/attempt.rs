//! One attempt to generate an answer, and the frames that it streams.

use std::{fmt::Write as _, io};

use bytes::Bytes;
use tokio::sync::mpsc;
use verbenahead_core::AttemptId;
use verbenahead_upstream::{FinishReason, GenerateRequest};

use super::{
    answer::{AnswerGenerator, unlimited_length},
    cache::PrefixChain,
};

/// Maximum number of writes buffered for a slow reader.
const CHANNEL_WRITES: usize = 16;

/// `BodySender` sends chunks of a response body.
pub(super) type BodySender = mpsc::Sender<io::Result<Bytes>>;

/// `BodyReceiver` yields chunks of a response body.
pub(super) type BodyReceiver = mpsc::Receiver<io::Result<Bytes>>;

/// `BadContinuation` is the error for generated tokens that are not a prefix of the answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct BadContinuation;

/// `Attempt` is a request that is queued or in the batch.
#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) id: AttemptId,
    pub(super) model: String,
    pub(super) priority: u8,
    pub(super) chain: PrefixChain,
    /// Whether the request came with tokens that an earlier attempt generated.
    pub(super) is_continuation: bool,
    prompt_tokens: usize,
    answer: AnswerGenerator,
    position: u64,
    length: u64,
    reason: FinishReason,
    tx: BodySender,
}

/// `StepResult` is the result of one batch step for one attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum StepResult {
    /// This number of tokens was sent.
    Tokens(u64),
    /// This number of tokens and the end frame were sent.
    Finished(u64),
    /// The channel to the reader is full, so nothing was generated.
    Blocked,
    /// The reader closed the stream.
    Cancelled,
}

impl Attempt {
    /// Builds the attempt and the receiver of its response body.
    ///
    /// # Errors
    ///
    /// [`BadContinuation`] when the generated tokens of the request are not a prefix of the answer.
    pub(super) fn try_new(req: &GenerateRequest) -> Result<(Self, BodyReceiver), BadContinuation> {
        let answer = AnswerGenerator::new(&req.model, &req.prompt);
        let full = unlimited_length(&req.prompt);
        let length = full.min(req.max_tokens.0);
        let mut chain = PrefixChain::new(&req.model, &req.prompt);
        let prompt_tokens = chain.token_count();
        if req.generated.len() as u64 > length {
            return Err(BadContinuation);
        }
        for (position, token) in (0..).zip(&req.generated) {
            if *token != answer.token(position) {
                return Err(BadContinuation);
            }
            chain.push(token);
        }
        let (tx, rx) = mpsc::channel(CHANNEL_WRITES);
        let attempt = Self {
            id: req.attempt,
            model: req.model.clone(),
            priority: req.priority,
            chain,
            is_continuation: !req.generated.is_empty(),
            prompt_tokens,
            answer,
            position: req.generated.len() as u64,
            length,
            reason: if length < full {
                FinishReason::Length
            } else {
                FinishReason::Stop
            },
            tx,
        };
        Ok((attempt, rx))
    }

    /// Returns the number of input tokens: the prompt and the tokens generated so far.
    pub(super) fn input_tokens(&self) -> usize {
        self.chain.token_count()
    }

    /// Returns the number of prompt tokens after the first `cached` tokens.
    pub(super) fn uncached_prompt(&self, cached: usize) -> usize {
        self.prompt_tokens.saturating_sub(cached)
    }

    pub(super) fn is_cancelled(&self) -> bool {
        self.tx.is_closed()
    }

    /// Ends the stream with an error before the answer is complete.
    pub(super) fn abort(self) {
        let _ = self
            .tx
            .try_send(Err(io::Error::other("the stream was aborted")));
    }

    /// Generates and sends at most `count` tokens in one write. Calls `on_token` after each token.
    pub(super) fn step(
        &mut self,
        count: u64,
        extra_frames: ExtraFrames,
        mut on_token: impl FnMut(&PrefixChain),
    ) -> StepResult {
        let permit = match self.tx.try_reserve() {
            Ok(permit) => permit,
            Err(mpsc::error::TrySendError::Full(())) => return StepResult::Blocked,
            Err(mpsc::error::TrySendError::Closed(())) => return StepResult::Cancelled,
        };
        let mut text = String::new();
        let end = self.length.min(self.position + count);
        let generated = end - self.position;
        while self.position < end {
            let token = self.answer.token(self.position);
            extra_frames.write(&mut text, self.id, self.position, &token);
            write_token(&mut text, self.id, self.position, &token);
            self.chain.push(&token);
            on_token(&self.chain);
            self.position += 1;
        }
        let is_finished = self.position == self.length;
        if is_finished {
            write_end(&mut text, self.id, self.position, self.reason);
        }
        permit.send(Ok(text.into()));
        if is_finished {
            StepResult::Finished(generated)
        } else {
            StepResult::Tokens(generated)
        }
    }
}

/// `ExtraFrames` selects invalid frames to add, which a reader must ignore.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ExtraFrames {
    /// A frame of another attempt precedes each token frame.
    pub(super) has_foreign_frames: bool,
    /// Each token frame is sent twice.
    pub(super) has_repeated_frames: bool,
}

impl ExtraFrames {
    fn write(self, text: &mut String, id: AttemptId, position: u64, token: &str) {
        if self.has_foreign_frames {
            write_token(text, AttemptId(!id.0), position, " foreign");
        }
        if self.has_repeated_frames {
            write_token(text, id, position, token);
        }
    }
}

// Tokens contain no characters that JSON escapes, so no serializer is needed.
fn write_token(text: &mut String, id: AttemptId, position: u64, token: &str) {
    let _ = write!(
        text,
        "data: {{\"attempt\":\"{id}\",\"position\":{position},\"token\":\"{token}\"}}\n\n"
    );
}

fn write_end(text: &mut String, id: AttemptId, position: u64, reason: FinishReason) {
    let _ = write!(
        text,
        "data: {{\"attempt\":\"{id}\",\"position\":{position},\"end\":\"{reason}\"}}\n\n"
    );
}
