//! Appends of many requests, batched into few calls.

use std::{collections::VecDeque, net::SocketAddr};

use tokio::{
    sync::{mpsc, oneshot},
    task::JoinSet,
};
use verbenahead_core::HashMap;

use crate::{
    clients::PeerClients,
    errors::{Error, Result},
    journal::{JournalAppend, JournalResult},
};

/// Appends that may wait for the task.
const APPEND_QUEUE: usize = 4_096;

struct Waiting {
    append: JournalAppend,
    reply: oneshot::Sender<Result<()>>,
}

/// `JournalAppender` collects the appends to each holder while an earlier call to it is under way,
/// and sends them together in the next one. The task ends when all handles are dropped.
#[derive(Clone)]
pub struct JournalAppender {
    appends: mpsc::Sender<(SocketAddr, Waiting)>,
}

impl JournalAppender {
    /// Starts the task.
    pub fn start(clients: PeerClients) -> Self {
        let (tx, rx) = mpsc::channel(APPEND_QUEUE);
        let task = AppenderTask {
            clients,
            holders: HashMap::default(),
            calls: JoinSet::new(),
        };
        tokio::spawn(task.run(rx));
        Self { appends: tx }
    }

    /// Appends to a journal at the holder `peer`. The holder has the tokens once this returns.
    ///
    /// # Errors
    ///
    /// [`Error::Journal`] when the holder refused. After [`JournalRefusal::NotFound`] the whole
    /// journal has to be put at a holder again. Others when the holder gave no usable answer or
    /// too many appends wait for it; the append may then be repeated.
    ///
    /// [`JournalRefusal::NotFound`]: crate::JournalRefusal::NotFound
    pub async fn append(&self, peer: SocketAddr, append: JournalAppend) -> Result<()> {
        let (reply, answer) = oneshot::channel();
        let waiting = Waiting { append, reply };
        self.appends
            .send((peer, waiting))
            .await
            .map_err(|_| Error::Closed)?;
        answer.await.map_err(|_| Error::Closed)?
    }
}

#[derive(Default)]
struct Holder {
    waiting: VecDeque<Waiting>,
    in_flight: Vec<oneshot::Sender<Result<()>>>,
}

type Done = (SocketAddr, Result<Vec<JournalResult<()>>>);

struct AppenderTask {
    clients: PeerClients,
    holders: HashMap<SocketAddr, Holder>,
    calls: JoinSet<Done>,
}

impl AppenderTask {
    async fn run(mut self, mut appends: mpsc::Receiver<(SocketAddr, Waiting)>) {
        loop {
            tokio::select! {
                append = appends.recv() => match append {
                    Some((peer, waiting)) => self.enqueue(peer, waiting),
                    None => break,
                },
                Some(done) = self.calls.join_next() => self.done(done.ok()),
            }
        }
        while let Some(done) = self.calls.join_next().await {
            self.done(done.ok());
        }
    }

    fn enqueue(&mut self, peer: SocketAddr, waiting: Waiting) {
        let holder = self.holders.entry(peer).or_default();
        if holder.waiting.len() >= self.clients.options().max_waiting_appends {
            let _ = waiting.reply.send(Err(Error::Overloaded { peer }));
            return;
        }
        holder.waiting.push_back(waiting);
        if holder.in_flight.is_empty() {
            self.send(peer);
        }
    }

    fn send(&mut self, peer: SocketAddr) {
        let Some(holder) = self.holders.get_mut(&peer) else {
            return;
        };
        if holder.waiting.is_empty() {
            self.holders.remove(&peer);
            return;
        }
        let count = holder
            .waiting
            .len()
            .min(self.clients.options().max_append_batch);
        let mut appends = Vec::with_capacity(count);
        for waiting in holder.waiting.drain(..count) {
            appends.push(waiting.append);
            holder.in_flight.push(waiting.reply);
        }
        let clients = self.clients.clone();
        self.calls
            .spawn(async move { (peer, clients.append_journals(peer, appends).await) });
    }

    fn done(&mut self, done: Option<Done>) {
        let Some((peer, result)) = done else {
            return;
        };
        let Some(holder) = self.holders.get_mut(&peer) else {
            return;
        };
        let replies = std::mem::take(&mut holder.in_flight);
        match result {
            Ok(outcomes) => {
                for (reply, outcome) in replies.into_iter().zip(outcomes) {
                    let _ = reply.send(outcome.map_err(Error::from));
                }
            }
            Err(e) => {
                let reason = e.to_string();
                for reply in replies {
                    let reason = reason.clone();
                    let _ = reply.send(Err(Error::Unavailable { peer, reason }));
                }
            }
        }
        self.send(peer);
    }
}
