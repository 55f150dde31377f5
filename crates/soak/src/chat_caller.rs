//! A caller that reads chats until their answers are whole.

use std::{sync::Arc, time::Duration};

use http::StatusCode;
use rand::{Rng, SeedableRng as _, rngs::StdRng};
use tokio::time::{Instant, sleep};

use crate::{
    chat_stream::{Chat, ChatStream, OpenError, StreamEnd},
    invariant::BrokenInvariant,
    node_directory::{NodeDirectory, NodeEntry},
    report::Counters,
    run::StopFlag,
};

/// Longest time that an accepted answer makes no progress while there are healthy nodes and
/// engines.
const PROGRESS_TIMEOUT: Duration = Duration::from_secs(60);

/// Pause after a refusal.
const REFUSAL_PAUSE: Duration = Duration::from_millis(200);

/// Credentials of the workspaces that chat.
const KEYS: [&str; 2] = ["crew-key", "barber-key"];

/// `ChatCaller` sends one chat after another.
#[derive(Debug)]
pub struct ChatCaller {
    number: usize,
    rng: StdRng,
    directory: Arc<NodeDirectory>,
    counters: Arc<Counters>,
}

/// State of a chat in progress, for failure details and the progress timeout.
struct Progress {
    nodes: Vec<String>,
    last: String,
    since: Instant,
}

impl ChatCaller {
    /// Builds a caller.
    pub fn new(
        number: usize,
        seed: u64,
        directory: Arc<NodeDirectory>,
        counters: Arc<Counters>,
    ) -> Self {
        Self {
            number,
            rng: StdRng::seed_from_u64(seed),
            directory,
            counters,
        }
    }

    /// Sends chats until the run stops.
    ///
    /// # Errors
    ///
    /// [`BrokenInvariant`] when an accepted answer is wrong or lost.
    pub async fn run(mut self, stop: StopFlag) -> Result<(), BrokenInvariant> {
        let mut count = 0_u64;
        while !stop.is_set() {
            count += 1;
            let length = self.rng.random_range(20..=600);
            let message = format!("plan {count} of caller {} [n={length}]", self.number);
            let key = KEYS[self.number % KEYS.len()];
            self.chat(Chat::new(key, message)).await?;
        }
        Ok(())
    }

    async fn chat(&mut self, mut chat: Chat) -> Result<(), BrokenInvariant> {
        let Some(node) = self.directory.draw(&mut self.rng) else {
            sleep(REFUSAL_PAUSE).await;
            return Ok(());
        };
        let Ok(mut stream) = chat.send(node.callers).await else {
            self.counters.refused.increment();
            sleep(REFUSAL_PAUSE).await;
            return Ok(());
        };
        let mut progress = Progress {
            nodes: vec![node.name.clone()],
            last: "accepted".to_owned(),
            since: Instant::now(),
        };
        let mut node = node;
        loop {
            let before = chat.last_event_id;
            let end = chat.read(stream).await;
            if chat.last_event_id > before {
                progress.since = Instant::now();
            }
            match end {
                StreamEnd::Done => break,
                StreamEnd::Wrong(detail) => {
                    return Err(broken("an answer is exact", &chat, &detail, &progress));
                }
                end => progress.last = format!("{} said: {end}", node.name),
            }
            (node, stream) = self.resume(&chat, &mut progress).await?;
        }
        self.counters.chats.increment();
        Ok(())
    }

    /// Resumes at healthy nodes until one continues the answer.
    async fn resume(
        &mut self,
        chat: &Chat,
        progress: &mut Progress,
    ) -> Result<(NodeEntry, ChatStream), BrokenInvariant> {
        let mut not_found = 0;
        loop {
            if progress.since.elapsed() > PROGRESS_TIMEOUT {
                let detail = progress.last.clone();
                return Err(broken(
                    "no accepted request is lost",
                    chat,
                    &detail,
                    progress,
                ));
            }
            let last = progress.nodes.last().cloned().unwrap_or_default();
            let Some(node) = self.directory.draw_healthy(&mut self.rng, &last) else {
                sleep(REFUSAL_PAUSE).await;
                continue;
            };
            progress.nodes.push(node.name.clone());
            match chat.resume(node.callers).await {
                Ok(stream) => {
                    self.counters.resumed.increment();
                    if not_found > 0 {
                        self.counters.resumed_not_found.increment();
                    }
                    return Ok((node, stream));
                }
                Err(error) => {
                    let not_found_error = OpenError::Refused {
                        status: StatusCode::NOT_FOUND,
                    };
                    not_found += u32::from(error == not_found_error);
                    progress.last = format!("{} said: {error}", node.name);
                }
            }
            sleep(REFUSAL_PAUSE).await;
        }
    }
}

fn broken(
    invariant: &'static str,
    chat: &Chat,
    detail: &str,
    progress: &Progress,
) -> BrokenInvariant {
    let Chat {
        request,
        last_event_id,
        message,
        ..
    } = chat;
    let detail = format!("request {request} `{message}` after event {last_event_id}: {detail}");
    BrokenInvariant::new(invariant, detail).with_nodes(progress.nodes.clone())
}
