//! An engine whose attempts follow a script.

use std::{
    collections::VecDeque,
    sync::{Mutex, PoisonError},
    time::Duration,
};

use async_trait::async_trait;
use futures_util::{StreamExt, stream};
use verbenahead_core::AttemptId;
use verbenahead_upstream::{
    Engine, Error, FinishReason, Frame, FrameEvent, GenerateRequest, KvBlocks, LoadReport, Order,
    OrderOutcome, Result, StartedAnswer, UpstreamAddress,
};

/// One step of an attempt.
#[derive(Debug, Clone)]
pub enum Step {
    /// Sends the next tokens, one frame each.
    Tokens(u64),
    /// Sends an extra frame at a position, of the given attempt or of this one.
    ExtraFrame(Option<AttemptId>, u64),
    /// Waits.
    Wait(Duration),
    /// Breaks the stream.
    Break,
    /// Sends nothing more and keeps the stream open.
    Silence,
    /// Ends the answer.
    End,
}

/// Behaviour of one attempt.
#[derive(Debug, Clone)]
pub enum Script {
    /// Refuses to start.
    Refuse(Error),
    /// Runs the steps in order.
    Run(Vec<Step>),
}

/// `ScriptedEngine` runs the next script for each attempt and records the requests.
#[derive(Debug, Default)]
pub struct ScriptedEngine {
    scripts: Mutex<VecDeque<Script>>,
    requests: Mutex<Vec<(UpstreamAddress, GenerateRequest)>>,
}

/// Returns the token at a position.
pub fn token(position: u64) -> String {
    format!(" t{position}")
}

/// Returns the text of the first `length` tokens.
pub fn text(length: u64) -> String {
    (0..length).map(token).collect()
}

impl ScriptedEngine {
    pub fn new(scripts: impl IntoIterator<Item = Script>) -> Self {
        Self {
            scripts: Mutex::new(scripts.into_iter().collect()),
            requests: Mutex::default(),
        }
    }

    pub fn requests(&self) -> Vec<(UpstreamAddress, GenerateRequest)> {
        self.requests
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    fn next_script(&self) -> Script {
        let mut scripts = self.scripts.lock().unwrap_or_else(PoisonError::into_inner);
        scripts
            .pop_front()
            .unwrap_or_else(|| Script::Refuse(Error::not_sent("no script is left")))
    }
}

fn frame(attempt: AttemptId, position: u64, event: FrameEvent) -> Result<Frame> {
    Ok(Frame {
        attempt,
        position,
        event,
    })
}

fn frames_of(step: Step, attempt: AttemptId, position: &mut u64) -> Vec<Result<Frame>> {
    match step {
        Step::Tokens(count) => {
            let first = *position;
            *position += count;
            (first..*position)
                .map(|at| frame(attempt, at, FrameEvent::Token(token(at))))
                .collect()
        }
        Step::ExtraFrame(other, at) => {
            let extra = FrameEvent::Token(" stray".to_owned());
            vec![frame(other.unwrap_or(attempt), at, extra)]
        }
        Step::Break => vec![Err(Error::interrupted("the script breaks the stream"))],
        Step::End => vec![frame(
            attempt,
            *position,
            FrameEvent::End(FinishReason::Stop),
        )],
        Step::Wait(_) | Step::Silence => Vec::new(),
    }
}

async fn pause(step: &Step) {
    match step {
        Step::Wait(time) => tokio::time::sleep(*time).await,
        Step::Silence => std::future::pending().await,
        _ => {}
    }
}

#[async_trait]
impl Engine for ScriptedEngine {
    async fn generate(&self, to: &UpstreamAddress, req: GenerateRequest) -> Result<StartedAnswer> {
        let attempt = req.attempt;
        let start = req.generated.len() as u64;
        self.requests
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push((to.clone(), req));
        let steps = match self.next_script() {
            Script::Refuse(error) => return Err(error),
            Script::Run(steps) => steps,
        };
        let frames = stream::unfold(
            (steps.into_iter(), start),
            move |(mut steps, mut position)| async move {
                let step = steps.next()?;
                pause(&step).await;
                let frames = frames_of(step, attempt, &mut position);
                Some((stream::iter(frames), (steps, position)))
            },
        );
        Ok(StartedAnswer {
            load: None,
            frames: frames.flatten().boxed(),
        })
    }

    async fn load(&self, _: &UpstreamAddress) -> Result<LoadReport> {
        Err(Error::not_sent("the script has no load"))
    }

    async fn export_kv(&self, _: &UpstreamAddress, _: AttemptId) -> Result<KvBlocks> {
        Err(Error::not_sent("the script has no KV cache"))
    }

    async fn import_kv(&self, _: &UpstreamAddress, _: KvBlocks) -> Result<()> {
        Err(Error::not_sent("the script has no KV cache"))
    }

    async fn order(&self, _: &UpstreamAddress, _: &Order) -> OrderOutcome {
        OrderOutcome::Unknown("the script takes no orders".to_owned())
    }
}
