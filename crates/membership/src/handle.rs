//! The handle of the membership task.

use std::{net::SocketAddr, sync::Arc};

use tokio::sync::{mpsc, oneshot, watch};

use crate::{
    errors::{Error, Result},
    member::Member,
    message::{Ack, IndirectProbe, MemberExchange, Ping},
};

#[derive(Debug)]
pub(crate) enum Command {
    Ping(Ping, oneshot::Sender<Result<Ack>>),
    ProbeIndirectly(IndirectProbe, oneshot::Sender<bool>),
    Exchange(MemberExchange, oneshot::Sender<MemberExchange>),
    SetSeeds(Vec<SocketAddr>),
    Leave(oneshot::Sender<()>),
    Depart(oneshot::Sender<()>),
}

/// `MembershipHandle` gives access to the membership of this node. The task ends when all handles
/// are dropped.
#[derive(Debug, Clone)]
pub struct MembershipHandle {
    commands: mpsc::Sender<Command>,
    members: watch::Receiver<Arc<Vec<Member>>>,
}

impl MembershipHandle {
    pub(crate) fn new(
        commands: mpsc::Sender<Command>,
        members: watch::Receiver<Arc<Vec<Member>>>,
    ) -> Self {
        Self { commands, members }
    }

    /// Returns all known members including this node, sorted by id. Dead members are listed for
    /// [`dead_retention`](crate::MembershipOptions::dead_retention).
    pub fn members(&self) -> Arc<Vec<Member>> {
        self.members.borrow().clone()
    }

    /// Returns a watch channel with the latest members.
    pub fn subscribe(&self) -> watch::Receiver<Arc<Vec<Member>>> {
        self.members.clone()
    }

    /// Replaces the seeds, the addresses at which other nodes may be found.
    ///
    /// # Errors
    ///
    /// [`Error::Closed`] when the task has ended.
    pub async fn set_seeds(&self, seeds: Vec<SocketAddr>) -> Result<()> {
        let command = Command::SetSeeds(seeds);
        self.commands.send(command).await.map_err(|_| Error::Closed)
    }

    /// Announces that this node is draining. It stays a member.
    ///
    /// # Errors
    ///
    /// [`Error::Closed`] when the task has ended.
    pub async fn leave(&self) -> Result<()> {
        self.ask(Command::Leave).await
    }

    /// Announces that this node is about to stop. Returns when the announcement has been sent.
    ///
    /// # Errors
    ///
    /// [`Error::Closed`] when the task has ended.
    pub async fn depart(&self) -> Result<()> {
        self.ask(Command::Depart).await
    }

    /// Applies a ping from a peer and returns the answer.
    ///
    /// # Errors
    ///
    /// [`Error::WrongNode`] when it is addressed to another node, [`Error::Closed`] when the task
    /// has ended.
    pub async fn ping_received(&self, ping: Ping) -> Result<Ack> {
        self.ask(|reply| Command::Ping(ping, reply)).await?
    }

    /// Probes a member on behalf of a peer. Returns whether the member answered.
    ///
    /// # Errors
    ///
    /// [`Error::Closed`] when the task has ended.
    pub async fn indirect_probe_received(&self, probe: IndirectProbe) -> Result<bool> {
        self.ask(|reply| Command::ProbeIndirectly(probe, reply))
            .await
    }

    /// Applies the request of an exchange of members and returns the answer.
    ///
    /// # Errors
    ///
    /// [`Error::Closed`] when the task has ended.
    pub async fn exchange_received(&self, exchange: MemberExchange) -> Result<MemberExchange> {
        self.ask(|reply| Command::Exchange(exchange, reply)).await
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
