//! Calls to other nodes.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use async_trait::async_trait;
use bytes::Bytes;
use tokio::time::timeout;
use tonic::{Code, Response, Status, transport::Channel};
use verbenahead_core::RequestId;
use verbenahead_membership::{
    Ack, Error as MembershipError, IndirectProbe, MemberExchange, NewsItem, PeerTransport, Ping,
    Result as MembershipResult,
};

use crate::{
    connections::Connections,
    convert::{all, request_bytes, results, try_all},
    credentials::PeerSecurity,
    errors::{Error, Result},
    journal::{JournalAppend, JournalDrop, JournalRecord, JournalResult, JournalTakeOver},
    options::PeerOptions,
    wire::{self, peer_client::PeerClient},
};

/// `PeerClients` calls other nodes. Clones share the connections.
#[derive(Clone)]
pub struct PeerClients {
    options: Arc<PeerOptions>,
    connections: Arc<Connections>,
}

impl PeerClients {
    /// Builds a client without any connection.
    pub fn new(options: PeerOptions, security: PeerSecurity) -> Self {
        Self {
            options: Arc::new(options.clone()),
            connections: Arc::new(Connections::new(options, security)),
        }
    }

    /// Returns the options.
    pub fn options(&self) -> &PeerOptions {
        &self.options
    }

    /// Returns the number of cached connections.
    pub fn connection_count(&self) -> usize {
        self.connections.len()
    }

    /// Puts journals at the holder `peer` and returns one outcome for each.
    ///
    /// # Errors
    ///
    /// When the holder gave no usable answer. The journals may then be there or not.
    pub async fn put_journals(
        &self,
        peer: SocketAddr,
        records: Vec<JournalRecord>,
    ) -> Result<Vec<JournalResult<()>>> {
        let count = records.len();
        let req = wire::PutJournalsRequest {
            records: all(records),
        };
        let call = |mut client: PeerClient<Channel>| async move { client.put_journals(req).await };
        let answer = self.call(peer, self.options.journal_timeout, call).await?;
        results(answer.outcomes, count)
    }

    /// Puts one journal at the holder `peer`. It has the journal once this returns.
    ///
    /// # Errors
    ///
    /// [`Error::Journal`] when the holder refused, others when it gave no usable answer. In the
    /// latter case the journal may be there or not.
    pub async fn put_journal(&self, peer: SocketAddr, record: JournalRecord) -> Result<()> {
        let outcomes = self.put_journals(peer, vec![record]).await?;
        outcomes.into_iter().try_for_each(|outcome| Ok(outcome?))
    }

    /// Appends to journals at the holder `peer` and returns one outcome for each.
    ///
    /// # Errors
    ///
    /// When the holder gave no usable answer. Appends may be repeated.
    pub async fn append_journals(
        &self,
        peer: SocketAddr,
        appends: Vec<JournalAppend>,
    ) -> Result<Vec<JournalResult<()>>> {
        let count = appends.len();
        let req = wire::AppendJournalsRequest {
            appends: all(appends),
        };
        let call =
            |mut client: PeerClient<Channel>| async move { client.append_journals(req).await };
        let answer = self.call(peer, self.options.journal_timeout, call).await?;
        results(answer.outcomes, count)
    }

    /// Reads a journal at the holder `peer`, with its tokens from the position `from` on.
    ///
    /// # Errors
    ///
    /// [`Error::Journal`] when the holder has no such journal, others when it gave no usable
    /// answer.
    pub async fn read_journal(
        &self,
        peer: SocketAddr,
        request: RequestId,
        from: u64,
    ) -> Result<JournalRecord> {
        let req = wire::ReadJournalRequest {
            request: request_bytes(request),
            from,
        };
        let call = |mut client: PeerClient<Channel>| async move { client.read_journal(req).await };
        let answer = self.call(peer, self.options.journal_timeout, call).await?;
        Ok(JournalResult::try_from(answer)??)
    }

    /// Makes another node the owner of a request and returns its journal with the new epoch.
    ///
    /// # Errors
    ///
    /// [`Error::Journal`] with a stale epoch when another node was faster, others when the holder
    /// gave no usable answer.
    pub async fn take_over_journal(
        &self,
        peer: SocketAddr,
        take_over: JournalTakeOver,
    ) -> Result<JournalRecord> {
        let req = wire::TakeOverJournalRequest::from(take_over);
        let call =
            |mut client: PeerClient<Channel>| async move { client.take_over_journal(req).await };
        let answer = self.call(peer, self.options.journal_timeout, call).await?;
        Ok(JournalResult::try_from(answer)??)
    }

    /// Drops journals at the holder `peer` and returns one outcome for each.
    ///
    /// # Errors
    ///
    /// When the holder gave no usable answer. Drops may be repeated.
    pub async fn drop_journals(
        &self,
        peer: SocketAddr,
        drops: Vec<JournalDrop>,
    ) -> Result<Vec<JournalResult<()>>> {
        let count = drops.len();
        let req = wire::DropJournalsRequest { drops: all(drops) };
        let call = |mut client: PeerClient<Channel>| async move { client.drop_journals(req).await };
        let answer = self.call(peer, self.options.journal_timeout, call).await?;
        results(answer.outcomes, count)
    }

    /// Reads a report of the node `peer` as JSON. Returns nothing when it has no such report.
    ///
    /// # Errors
    ///
    /// When the node gave no usable answer.
    pub async fn read_report(&self, peer: SocketAddr, name: &str) -> Result<Option<Bytes>> {
        let req = wire::ReadReportRequest {
            name: name.to_owned(),
        };
        let call = |mut client: PeerClient<Channel>| async move { client.read_report(req).await };
        let answer = self.call(peer, self.options.report_timeout, call).await?;
        Ok(answer.json)
    }

    /// Makes a call within a deadline. After a fault of the connection the next call makes a new
    /// one.
    async fn call<T, F>(
        &self,
        peer: SocketAddr,
        deadline: Duration,
        call: impl FnOnce(PeerClient<Channel>) -> F,
    ) -> Result<T>
    where
        F: Future<Output = std::result::Result<Response<T>, Status>>,
    {
        let (id, client) = self.connections.get(peer)?;
        let result = match timeout(deadline, call(client)).await {
            Ok(Ok(response)) => Ok(response.into_inner()),
            Ok(Err(status)) => Err(error(peer, deadline, &status)),
            Err(_) => Err(Error::DeadlineExceeded { peer, deadline }),
        };
        if result.as_ref().is_err_and(Error::is_connection_fault) {
            self.connections.forget(peer, id);
        }
        result
    }
}

fn error(peer: SocketAddr, deadline: Duration, status: &Status) -> Error {
    match status.code() {
        Code::DeadlineExceeded | Code::Cancelled => Error::DeadlineExceeded { peer, deadline },
        Code::Unavailable | Code::Unknown | Code::Internal => Error::Unavailable {
            peer,
            reason: reason(status),
        },
        _ => Error::Refused {
            peer,
            reason: reason(status),
        },
    }
}

/// Returns the message of a status with the causes behind it.
fn reason(status: &Status) -> String {
    let mut text = status.message().to_owned();
    let mut source = std::error::Error::source(status);
    while let Some(cause) = source {
        text = format!("{text}: {cause}");
        source = cause.source();
    }
    text
}

fn membership_error(peer: SocketAddr, e: &Error) -> MembershipError {
    MembershipError::call(peer, e)
}

#[async_trait]
impl PeerTransport for PeerClients {
    async fn ping(
        &self,
        peer: SocketAddr,
        ping: Ping,
        deadline: Duration,
    ) -> MembershipResult<Ack> {
        let req = wire::PingRequest::from(ping);
        let call = |mut client: PeerClient<Channel>| async move { client.ping(req).await };
        let answer = self.call(peer, deadline, call).await;
        answer
            .and_then(Ack::try_from)
            .map_err(|e| membership_error(peer, &e))
    }

    async fn probe_indirectly(
        &self,
        peer: SocketAddr,
        probe: IndirectProbe,
        deadline: Duration,
    ) -> MembershipResult<bool> {
        let req = wire::ProbeIndirectlyRequest::from(probe);
        let call =
            |mut client: PeerClient<Channel>| async move { client.probe_indirectly(req).await };
        let answer = self.call(peer, deadline, call).await;
        answer
            .map(|answer| answer.is_reached)
            .map_err(|e| membership_error(peer, &e))
    }

    async fn exchange_members(
        &self,
        peer: SocketAddr,
        exchange: MemberExchange,
        deadline: Duration,
    ) -> MembershipResult<MemberExchange> {
        let req = wire::ExchangeMembersRequest::from(exchange);
        let call =
            |mut client: PeerClient<Channel>| async move { client.exchange_members(req).await };
        let answer = self.call(peer, deadline, call).await;
        answer
            .and_then(MemberExchange::try_from)
            .map_err(|e| membership_error(peer, &e))
    }

    async fn push_news(
        &self,
        peer: SocketAddr,
        items: Vec<NewsItem>,
        deadline: Duration,
    ) -> MembershipResult<()> {
        let req = wire::PushNewsRequest { items: all(items) };
        let call = |mut client: PeerClient<Channel>| async move { client.push_news(req).await };
        let answer = self.call(peer, deadline, call).await;
        answer.map(|_| ()).map_err(|e| membership_error(peer, &e))
    }

    async fn exchange_news(
        &self,
        peer: SocketAddr,
        items: Vec<NewsItem>,
        deadline: Duration,
    ) -> MembershipResult<Vec<NewsItem>> {
        let req = wire::ExchangeNewsRequest { items: all(items) };
        let call = |mut client: PeerClient<Channel>| async move { client.exchange_news(req).await };
        let answer = self.call(peer, deadline, call).await;
        answer
            .and_then(|answer| try_all(answer.items))
            .map_err(|e| membership_error(peer, &e))
    }
}
