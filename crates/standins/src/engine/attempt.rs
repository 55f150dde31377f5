//! One attempt in the engine stand-in.

use std::{fmt::Write as _, io};

use bytes::Bytes;
use tokio::sync::mpsc;
use verbenahead_core::AttemptId;
use verbenahead_upstream::{FinishReason, GenerateRequest};

use super::{
    answer::{AnswerFunction, full_length},
    cache::PrefixChain,
};

/// Number of writes that wait for a slow reader.
const CHANNEL_WRITES: usize = 16;

/// `BodySender` takes the parts of the body of an answer.
pub(super) type BodySender = mpsc::Sender<io::Result<Bytes>>;

/// `BodyReceiver` yields the parts of the body of an answer.
pub(super) type BodyReceiver = mpsc::Receiver<io::Result<Bytes>>;

/// `Refused` tells why a request cannot be continued.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct BadContinuation;

/// `Attempt` is a request in the queue or in the batch.
#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) id: AttemptId,
    pub(super) model: String,
    pub(super) priority: u8,
    pub(super) chain: PrefixChain,
    /// Whether tokens of the answer existed before this attempt.
    pub(super) is_continuation: bool,
    prompt_tokens: usize,
    answer: AnswerFunction,
    position: u64,
    length: u64,
    reason: FinishReason,
    tx: BodySender,
}

/// `Emitted` is the result of a step of one attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Emitted {
    /// Some tokens were sent.
    Tokens(u64),
    /// Some tokens and the end were sent.
    Finished(u64),
    /// The reader is slow, so nothing was generated.
    Blocked,
    /// The reader has gone.
    Cancelled,
}

impl Attempt {
    /// Builds the attempt after checking that the given tokens are the beginning of the answer.
    pub(super) fn try_new(req: &GenerateRequest) -> Result<(Self, BodyReceiver), BadContinuation> {
        let answer = AnswerFunction::new(&req.model, &req.prompt);
        let full = full_length(&req.prompt);
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

    /// Returns the number of tokens of the input.
    pub(super) fn input_tokens(&self) -> usize {
        self.chain.token_count()
    }

    /// Returns how many of the prompt's tokens are not among the first `cached` ones.
    pub(super) fn uncached_prompt(&self, cached: usize) -> usize {
        self.prompt_tokens.saturating_sub(cached)
    }

    pub(super) fn is_cancelled(&self) -> bool {
        self.tx.is_closed()
    }

    /// Breaks the stream off, so that the reader gets an error.
    pub(super) fn break_off(self) {
        let _ = self
            .tx
            .try_send(Err(io::Error::other("the stream is broken off")));
    }

    /// Generates and sends at most `count` tokens. Calls `on_token` after each.
    pub(super) fn step(
        &mut self,
        count: u64,
        noise: Noise,
        mut on_token: impl FnMut(&PrefixChain),
    ) -> Emitted {
        let permit = match self.tx.try_reserve() {
            Ok(permit) => permit,
            Err(mpsc::error::TrySendError::Full(())) => return Emitted::Blocked,
            Err(mpsc::error::TrySendError::Closed(())) => return Emitted::Cancelled,
        };
        let mut text = String::new();
        let end = self.length.min(self.position + count);
        let generated = end - self.position;
        while self.position < end {
            let token = self.answer.token(self.position);
            noise.write_before(&mut text, self.id, self.position, &token);
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
            Emitted::Finished(generated)
        } else {
            Emitted::Tokens(generated)
        }
    }
}

/// `Noise` adds frames that a reader must drop.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Noise {
    /// A frame of another attempt goes before each frame.
    pub(super) has_foreign_frames: bool,
    /// Each frame is sent twice.
    pub(super) has_repeated_frames: bool,
}

impl Noise {
    fn write_before(self, text: &mut String, id: AttemptId, position: u64, token: &str) {
        if self.has_foreign_frames {
            write_token(text, AttemptId(!id.0), position, " foreign");
        }
        if self.has_repeated_frames {
            write_token(text, id, position, token);
        }
    }
}

// Tokens have no characters that JSON escapes, so the text is written without a serializer.
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
