//! The task that carries out one model request, over as many attempts as it takes.

mod attempt;
mod ending;
mod follow;
mod request;

use std::sync::Arc;

use tokio::{sync::mpsc, time::timeout};
use verbenahead_core::{invariant, units::Tokens};
use verbenahead_relay::upstream::UpstreamEntry;

use crate::node::{
    answer::AnswerEvent, answer_times::AnswerTimes, journal_writer::JournalWriter,
    routing::RoutedPrompt, serving::ServingContext,
};

use ending::Ending;
use follow::Stop;

pub use request::GenerationRequest;

/// `Generation` carries out one request and sends its events to the caller.
pub struct GenerationTask {
    serving: Arc<ServingContext>,
    req: GenerationRequest,
    journal: JournalWriter,
    events: mpsc::Sender<AnswerEvent>,
    /// Tokens of the answer so far.
    tokens: Vec<String>,
    /// Number of tokens that the caller has already, or has in this answer.
    delivered: u64,
    routed: RoutedPrompt,
    times: AnswerTimes,
    /// Attempts since the answer last made progress.
    fruitless_attempts: u32,
    avoided: Vec<Arc<UpstreamEntry>>,
}

impl GenerationTask {
    /// Builds a generation that continues after `tokens`. The caller gets events from position
    /// `delivered` on, which may be before or after the end of `tokens`.
    pub fn new(
        serving: Arc<ServingContext>,
        req: GenerationRequest,
        journal: JournalWriter,
        events: mpsc::Sender<AnswerEvent>,
        tokens: Vec<String>,
        delivered: u64,
    ) -> Self {
        let routed = serving
            .routing
            .read_prompt(&req.service, &req.model, &req.prompt);
        Self {
            serving,
            req,
            journal,
            events,
            tokens,
            delivered,
            routed,
            times: AnswerTimes::start(),
            fruitless_attempts: 0,
            avoided: Vec::new(),
        }
    }

    /// Runs until the answer has ended or the caller has gone. Returns the length of the answer.
    pub async fn run(mut self) -> Tokens {
        let ending = match self.replay().await {
            Ok(()) => self.attempt_until_end().await,
            Err(ending) => ending,
        };
        self.finish(ending).await
    }

    /// Sends the tokens that are known already and that the caller does not have.
    async fn replay(&mut self) -> Result<(), Ending> {
        while self.delivered < self.tokens.len() as u64 {
            let text = self.tokens[self.delivered as usize].clone();
            self.send_token(text).await?;
        }
        Ok(())
    }

    async fn attempt_until_end(&mut self) -> Ending {
        loop {
            let mut attempt = match self.start_attempt().await {
                Ok(attempt) => attempt,
                Err(ending) => return ending,
            };
            let interruption = match self.follow(&mut attempt).await {
                Ok(reason) => {
                    attempt.upstream.record_success();
                    self.serving.observer.attempt(&self.req.service, "answered");
                    self.serving.routing.on_success(&self.req.service);
                    return Ending::Finished(reason);
                }
                Err(Stop::Ended(ending)) => return ending,
                Err(Stop::Interrupted(interruption)) => interruption,
            };
            if let Err(ending) = self.after_interruption(attempt, interruption).await {
                return ending;
            }
        }
    }

    async fn send_token(&mut self, text: String) -> Result<(), Ending> {
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

    /// Sends an event to the caller. A caller that leaves it unread for too long counts as gone.
    async fn send(&mut self, event: AnswerEvent) -> Result<(), Ending> {
        let limit = self.serving.limits.write_stall_timeout;
        match timeout(limit, self.events.send(event)).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) | Err(_) => Err(Ending::CallerGone),
        }
    }
}
