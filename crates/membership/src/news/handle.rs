//! The handle of the news task.

use std::sync::Arc;

use tokio::sync::{mpsc, oneshot, watch};

use super::{item::NewsItem, state::NewsSnapshot};
use crate::errors::{Error, Result};

/// `RefreshReport` counts the peers that took part in a refresh.
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

    /// Merges an item into this node's news and, if it is new, pushes it to peers according to the
    /// [`PushPolicy`](super::PushPolicy). Returns once the item is merged; the pushes continue in
    /// the background.
    ///
    /// # Errors
    ///
    /// [`Error::Closed`] when the task has ended.
    pub async fn publish(&self, item: NewsItem) -> Result<()> {
        self.publish_all(vec![item]).await
    }

    /// Publishes several items as [`publish`](Self::publish) does, in one push per peer.
    ///
    /// # Errors
    ///
    /// [`Error::Closed`] when the task has ended.
    pub async fn publish_all(&self, items: Vec<NewsItem>) -> Result<()> {
        self.ask(|reply| Command::Publish(items, reply)).await
    }

    /// Merges items that a peer pushed. New ones are forwarded according to the
    /// [`PushPolicy`](super::PushPolicy).
    ///
    /// # Errors
    ///
    /// [`Error::Closed`] when the task has ended.
    pub async fn push_received(&self, items: Vec<NewsItem>) -> Result<()> {
        self.ask(|reply| Command::Received(items, reply)).await
    }

    /// Merges all items of a peer and returns all items of this node.
    ///
    /// # Errors
    ///
    /// [`Error::Closed`] when the task has ended.
    pub async fn exchange_received(&self, items: Vec<NewsItem>) -> Result<Vec<NewsItem>> {
        self.ask(|reply| Command::Exchanged(items, reply)).await
    }

    /// Exchanges news with all members that are not dead and returns how many answered.
    ///
    /// # Errors
    ///
    /// [`Error::Closed`] when the task has ended.
    pub async fn refresh(&self) -> Result<RefreshReport> {
        self.ask(Command::Refresh).await
    }

    /// Returns the current news of this node.
    pub fn snapshot(&self) -> Arc<NewsSnapshot> {
        self.snapshots.borrow().clone()
    }

    /// Returns a watch channel with the latest news.
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
