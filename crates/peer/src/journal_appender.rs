//! Batches the journal appends of many requests into few calls.

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

/// Capacity of the channel to the task, in appends.
const APPEND_CHANNEL_CAPACITY: usize = 4_096;

/// `QueuedAppend` is an append whose caller waits for the reply.
struct QueuedAppend {
    append: JournalAppend,
    reply: oneshot::Sender<Result<()>>,
}

/// `JournalAppender` queues the appends for each holder while a call to that holder is in flight and
/// sends them together in the next call. Clones share one task, which ends when all are dropped.
#[derive(Clone)]
pub struct JournalAppender {
    appends: mpsc::Sender<(SocketAddr, QueuedAppend)>,
}

impl JournalAppender {
    /// Starts the task.
    pub fn start(clients: PeerClients) -> Self {
        let (tx, rx) = mpsc::channel(APPEND_CHANNEL_CAPACITY);
        let task = AppenderTask {
            clients,
            holders: HashMap::default(),
            calls: JoinSet::new(),
        };
        tokio::spawn(task.run(rx));
        Self { appends: tx }
    }

    /// Appends to a journal at the holder `peer`. The holder has stored the tokens when this returns
    /// `Ok`.
    ///
    /// # Errors
    ///
    /// [`Error::Journal`] when the holder refused. After [`JournalRefusal::NotFound`] the whole
    /// journal must be stored at a holder again. Other errors when the holder gave no valid
    /// response or too many appends are queued for it; the append may then be retried.
    ///
    /// [`JournalRefusal::NotFound`]: crate::JournalRefusal::NotFound
    pub async fn append(&self, peer: SocketAddr, append: JournalAppend) -> Result<()> {
        let (reply, result) = oneshot::channel();
        let queued = QueuedAppend { append, reply };
        self.appends
            .send((peer, queued))
            .await
            .map_err(|_| Error::Closed)?;
        result.await.map_err(|_| Error::Closed)?
    }
}

/// `HolderQueue` holds the queued appends of one holder and the replies of the call in flight.
#[derive(Default)]
struct HolderQueue {
    queued: VecDeque<QueuedAppend>,
    in_flight: Vec<oneshot::Sender<Result<()>>>,
}

type CompletedCall = (SocketAddr, Result<Vec<JournalResult<()>>>);

struct AppenderTask {
    clients: PeerClients,
    holders: HashMap<SocketAddr, HolderQueue>,
    calls: JoinSet<CompletedCall>,
}

impl AppenderTask {
    async fn run(mut self, mut appends: mpsc::Receiver<(SocketAddr, QueuedAppend)>) {
        loop {
            tokio::select! {
                append = appends.recv() => match append {
                    Some((peer, queued)) => self.enqueue(peer, queued),
                    None => break,
                },
                Some(call) = self.calls.join_next() => self.complete_call(call.ok()),
            }
        }
        while let Some(call) = self.calls.join_next().await {
            self.complete_call(call.ok());
        }
    }

    fn enqueue(&mut self, peer: SocketAddr, queued: QueuedAppend) {
        let holder = self.holders.entry(peer).or_default();
        if holder.queued.len() >= self.clients.options().max_queued_appends {
            let _ = queued.reply.send(Err(Error::Overloaded { peer }));
            return;
        }
        holder.queued.push_back(queued);
        if holder.in_flight.is_empty() {
            self.send_batch(peer);
        }
    }

    /// Sends the queued appends of a holder, at most one batch, or removes its empty queue.
    fn send_batch(&mut self, peer: SocketAddr) {
        let Some(holder) = self.holders.get_mut(&peer) else {
            return;
        };
        if holder.queued.is_empty() {
            self.holders.remove(&peer);
            return;
        }
        let count = holder
            .queued
            .len()
            .min(self.clients.options().max_append_batch);
        let mut appends = Vec::with_capacity(count);
        for queued in holder.queued.drain(..count) {
            appends.push(queued.append);
            holder.in_flight.push(queued.reply);
        }
        let clients = self.clients.clone();
        self.calls
            .spawn(async move { (peer, clients.append_journals(peer, appends).await) });
    }

    /// Replies to the appends of a completed call and sends the next batch.
    fn complete_call(&mut self, call: Option<CompletedCall>) {
        let Some((peer, result)) = call else {
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
        self.send_batch(peer);
    }
}
