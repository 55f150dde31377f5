//! The task that serves one model request with one or more attempts at upstreams.

mod attempt;
mod end;
mod forward;
mod request;

use std::sync::Arc;

use tokio::{sync::mpsc, time::timeout};
use verbenahead_core::{invariant, units::Tokens};
use verbenahead_relay::upstream::UpstreamEntry;

use crate::node::{
    answer::AnswerEvent, answer_times::AnswerTimes, journal_writer::JournalWriter,
    routing::RoutedPrompt, serving::ServingContext,
};

use end::TaskEnd;
use forward::AttemptEnd;

pub use request::GenerationRequest;

/// `GenerationTask` serves one model request and sends the events of its answer to the caller.
pub struct GenerationTask {
    serving: Arc<ServingContext>,
    req: GenerationRequest,
    journal: JournalWriter,
    events: mpsc::Sender<AnswerEvent>,
    /// Tokens of the answer so far, from position 0.
    tokens: Vec<String>,
    /// Next position to send: the caller has the events before it, from this connection or an
    /// earlier one.
    delivered: u64,
    routed_prompt: RoutedPrompt,
    times: AnswerTimes,
    /// Attempts in a row that added no token.
    attempts_without_progress: u32,
    /// Upstreams at which an attempt failed.
    avoided: Vec<Arc<UpstreamEntry>>,
}

impl GenerationTask {
    /// Builds a task that continues an answer after `tokens`. The caller gets the events from
    /// position `delivered` on, which may lie before or after the end of `tokens`.
    pub fn new(
        serving: Arc<ServingContext>,
        req: GenerationRequest,
        journal: JournalWriter,
        events: mpsc::Sender<AnswerEvent>,
        tokens: Vec<String>,
        delivered: u64,
    ) -> Self {
        let routed_prompt = serving
            .routing
            .analyze_prompt(&req.service, &req.model, &req.prompt);
        Self {
            serving,
            req,
            journal,
            events,
            tokens,
            delivered,
            routed_prompt,
            times: AnswerTimes::start(),
            attempts_without_progress: 0,
            avoided: Vec::new(),
        }
    }

    /// Runs until the answer has ended, the caller has disconnected or another node continues the
    /// request. Returns the length of the answer.
    pub async fn run(mut self) -> Tokens {
        let ending = match self.send_known_tokens().await {
            Ok(()) => self.run_attempts().await,
            Err(ending) => ending,
        };
        self.finish(ending).await
    }

    /// Sends the known tokens that the caller does not have yet.
    async fn send_known_tokens(&mut self) -> Result<(), TaskEnd> {
        while self.delivered < self.tokens.len() as u64 {
            let text = self.tokens[self.delivered as usize].clone();
            self.send_token(text).await?;
        }
        Ok(())
    }

    async fn run_attempts(&mut self) -> TaskEnd {
        loop {
            let mut attempt = match self.start_attempt().await {
                Ok(attempt) => attempt,
                Err(ending) => return ending,
            };
            let interruption = match self.forward_frames(&mut attempt).await {
                Ok(reason) => {
                    attempt.upstream.record_success();
                    self.serving.observer.attempt(&self.req.service, "answered");
                    self.serving.routing.on_success(&self.req.service);
                    return TaskEnd::Finished(reason);
                }
                Err(AttemptEnd::RequestEnded(ending)) => return ending,
                Err(AttemptEnd::Interrupted(interruption)) => interruption,
            };
            if let Err(ending) = self.handle_interruption(attempt, interruption).await {
                return ending;
            }
        }
    }

    async fn send_token(&mut self, text: String) -> Result<(), TaskEnd> {
        let position = self.delivered;
        invariant!(
            "delivered_in_order",
            position < self.tokens.len() as u64,
            "position {position} of {} tokens",
            self.tokens.len()
        );
        self.delivered += 1;
        self.send(AnswerEvent::Token { position, text }).await
    }

    /// Sends an event to the caller. A caller that does not read it within the write stall timeout
    /// counts as disconnected.
    async fn send(&mut self, event: AnswerEvent) -> Result<(), TaskEnd> {
        let limit = self.serving.limits.write_stall_timeout;
        match timeout(limit, self.events.send(event)).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) | Err(_) => Err(TaskEnd::CallerGone),
        }
    }
}
