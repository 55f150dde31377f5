//! The handle of the task that spreads news.

use std::sync::Arc;

use tokio::sync::{mpsc, oneshot, watch};

use super::{board::NewsSnapshot, item::NewsItem};
use crate::errors::{Error, Result};

/// `RefreshReport` tells how many peers took part in a refresh.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RefreshReport {
    /// Peers that were asked.
    pub asked: usize,
    /// Peers that answered.
    pub answered: usize,
}

#[derive(Debug)]
pub(crate) enum Command {
    Publish(Vec<NewsItem>, oneshot::Sender<()>),
    Received(Vec<NewsItem>, oneshot::Sender<()>),
    Exchanged(Vec<NewsItem>, oneshot::Sender<Vec<NewsItem>>),
    Refresh(oneshot::Sender<RefreshReport>),
}

/// `NewsHandle` gives access to the news of this node. The task ends when all handles are dropped.
#[derive(Debug, Clone)]
pub struct NewsHandle {
    commands: mpsc::Sender<Command>,
    snapshots: watch::Receiver<Arc<NewsSnapshot>>,
}

impl NewsHandle {
    pub(crate) fn new(
        commands: mpsc::Sender<Command>,
        snapshots: watch::Receiver<Arc<NewsSnapshot>>,
    ) -> Self {
        Self {
            commands,
            snapshots,
        }
    }

    /// Takes an item into this node's news and pushes it to all live peers, unless it is known
    /// already. Returns when this node has it; the pushes go on.
    ///
    /// # Errors
    ///
    /// [`Error::Closed`] when the task has ended.
    pub async fn publish(&self, item: NewsItem) -> Result<()> {
        self.publish_all(vec![item]).await
    }

    /// Does the same as [`publish`](Self::publish) with several items in one push.
    ///
    /// # Errors
    ///
    /// [`Error::Closed`] when the task has ended.
    pub async fn publish_all(&self, items: Vec<NewsItem>) -> Result<()> {
        self.ask(|reply| Command::Publish(items, reply)).await
    }

    /// Takes items that a peer pushed. They are not pushed on.
    ///
    /// # Errors
    ///
    /// [`Error::Closed`] when the task has ended.
    pub async fn push_received(&self, items: Vec<NewsItem>) -> Result<()> {
        self.ask(|reply| Command::Received(items, reply)).await
    }

    /// Takes all items of a peer and returns all of this node.
    ///
    /// # Errors
    ///
    /// [`Error::Closed`] when the task has ended.
    pub async fn exchange_received(&self, items: Vec<NewsItem>) -> Result<Vec<NewsItem>> {
        self.ask(|reply| Command::Exchanged(items, reply)).await
    }

    /// Exchanges news with all live peers and returns how many answered.
    ///
    /// # Errors
    ///
    /// [`Error::Closed`] when the task has ended.
    pub async fn refresh(&self) -> Result<RefreshReport> {
        self.ask(Command::Refresh).await
    }

    /// Returns the news of this node.
    pub fn snapshot(&self) -> Arc<NewsSnapshot> {
        self.snapshots.borrow().clone()
    }

    /// Returns a channel that always holds the latest news.
    pub fn subscribe(&self) -> watch::Receiver<Arc<NewsSnapshot>> {
        self.snapshots.clone()
    }

    async fn ask<T>(&self, command: impl FnOnce(oneshot::Sender<T>) -> Command) -> Result<T> {
        let (reply, answer) = oneshot::channel();
        self.commands
            .send(command(reply))
            .await
            .map_err(|_| Error::Closed)?;
        answer.await.map_err(|_| Error::Closed)
    }
}
