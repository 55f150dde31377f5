//! The end of a generation.

use std::time::Duration;

use verbenahead_core::units::Tokens;
use verbenahead_upstream::FinishReason;

use crate::{
    callers::problem::{Problem, ProblemKind},
    node::answer::AnswerEvent,
};

use super::{GenerationRequest, GenerationTask};

/// Time to tell callers to wait before the next try.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// How a generation ended.
#[derive(Debug)]
pub(super) enum Ending {
    Finished(FinishReason),
    CallerGone,
    NodeLeaving,
    TakenOver,
    Failed(Problem),
}

impl Ending {
    pub(super) fn name(&self) -> &'static str {
        match self {
            Self::Finished(_) => "finished",
            Self::CallerGone => "caller_gone",
            Self::NodeLeaving => "node_leaving",
            Self::TakenOver => "taken_over",
            Self::Failed(_) => "failed",
        }
    }
}

impl GenerationTask {
    pub(super) async fn finish(mut self, ending: Ending) -> Tokens {
        self.observe(&ending);
        tracing::info!(
            request = %self.req.id,
            tokens = self.tokens.len(),
            ending = ending.name(),
            "request ended",
        );
        let length = self.tokens.len() as u64;
        match ending {
            Ending::Finished(reason) => {
                // The caller has every token, so the journal may learn of the end later.
                let is_delivered = self.delivered > length;
                let end = AnswerEvent::End {
                    length,
                    reason,
                    is_delivered,
                };
                let _ = self.send(end).await;
                let _ = self.journal.flush(&self.tokens, true).await;
            }
            Ending::CallerGone => {
                let _ = self.journal.flush(&self.tokens, false).await;
            }
            Ending::NodeLeaving => self.move_away().await,
            Ending::TakenOver => self.send_taken_over().await,
            Ending::Failed(problem) => {
                let _ = self.send(AnswerEvent::Failed(Box::new(problem))).await;
            }
        }
        Tokens(length)
    }

    /// Sends the caller to another node, once the journal has what the caller may have.
    pub(super) async fn move_away(&mut self) {
        if self.journal.flush(&self.tokens, false).await.is_err() {
            self.send_taken_over().await;
            return;
        }
        let request = self.req.id;
        let _ = self.send(AnswerEvent::Moved { request }).await;
    }

    pub(super) async fn send_taken_over(&mut self) {
        let detail = "another node carries out the request now";
        let problem = self.problem(ProblemKind::TakenOver, detail);
        let _ = self.send(AnswerEvent::Failed(Box::new(problem))).await;
    }

    pub(super) fn observe(&self, ending: &Ending) {
        let observer = &self.serving.observer;
        let GenerationRequest {
            workspace, service, ..
        } = &self.req;
        match ending {
            Ending::Finished(_) => observer.answered(workspace, service, self.times.report()),
            Ending::Failed(_) => observer.given_up(workspace, service),
            other => observer.left(workspace, service, other.name()),
        }
        observer.tokens(service, "answer", Tokens(self.times.tokens));
    }

    /// Builds the problem of this request. A model request has no effect beyond its answer, so
    /// one without a whole answer counts as not run.
    pub(super) fn problem(&self, kind: ProblemKind, detail: &str) -> Problem {
        Problem::not_run(kind, detail)
            .with_retry_after(RETRY_AFTER)
            .with_request(self.req.id)
    }
}
