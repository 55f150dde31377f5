//! Interface of the transport between nodes.

use std::{net::SocketAddr, time::Duration};

use async_trait::async_trait;

use crate::{
    errors::Result,
    message::{Ack, IndirectProbe, MemberExchange, Ping},
    news::NewsItem,
};

/// `PeerTransport` sends messages to other nodes. Each call ends within its `deadline`, which is
/// counted from the start of the call.
#[async_trait]
pub trait PeerTransport: Send + Sync + 'static {
    /// Probes the member at `peer`.
    async fn ping(&self, peer: SocketAddr, ping: Ping, deadline: Duration) -> Result<Ack>;

    /// Asks the node at `peer` to probe another member. Returns whether that member answered.
    async fn probe_indirectly(
        &self,
        peer: SocketAddr,
        probe: IndirectProbe,
        deadline: Duration,
    ) -> Result<bool>;

    /// Exchanges members with the node at `peer`.
    async fn exchange_members(
        &self,
        peer: SocketAddr,
        exchange: MemberExchange,
        deadline: Duration,
    ) -> Result<MemberExchange>;

    /// Pushes news to the node at `peer`.
    async fn push_news(
        &self,
        peer: SocketAddr,
        items: Vec<NewsItem>,
        deadline: Duration,
    ) -> Result<()>;

    /// Sends all of this node's news to the node at `peer` and returns all of its news.
    async fn exchange_news(
        &self,
        peer: SocketAddr,
        items: Vec<NewsItem>,
        deadline: Duration,
    ) -> Result<Vec<NewsItem>>;
}
