//! Client side of the calls between nodes.

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
    convert::{convert_all, decode_outcomes, encode_request_id, try_convert_all},
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
    /// Builds a client without open connections.
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

    /// Stores journals at the holder `peer` and returns one result for each.
    ///
    /// # Errors
    ///
    /// When the holder gave no valid response. It may or may not have stored the journals.
    pub async fn put_journals(
        &self,
        peer: SocketAddr,
        records: Vec<JournalRecord>,
    ) -> Result<Vec<JournalResult<()>>> {
        let count = records.len();
        let req = wire::PutJournalsRequest {
            records: convert_all(records),
        };
        let call = |mut client: PeerClient<Channel>| async move { client.put_journals(req).await };
        let response = self.call(peer, self.options.journal_timeout, call).await?;
        decode_outcomes(response.outcomes, count)
    }

    /// Stores one journal at the holder `peer`. The holder has stored it when this returns `Ok`.
    ///
    /// # Errors
    ///
    /// [`Error::Journal`] when the holder refused, other errors when it gave no valid response. In
    /// the latter case it may or may not have stored the journal.
    pub async fn put_journal(&self, peer: SocketAddr, record: JournalRecord) -> Result<()> {
        let outcomes = self.put_journals(peer, vec![record]).await?;
        outcomes.into_iter().try_for_each(|outcome| Ok(outcome?))
    }

    /// Appends to journals at the holder `peer` and returns one result for each.
    ///
    /// # Errors
    ///
    /// When the holder gave no valid response. Appends are idempotent and may be retried.
    pub async fn append_journals(
        &self,
        peer: SocketAddr,
        appends: Vec<JournalAppend>,
    ) -> Result<Vec<JournalResult<()>>> {
        let count = appends.len();
        let req = wire::AppendJournalsRequest {
            appends: convert_all(appends),
        };
        let call =
            |mut client: PeerClient<Channel>| async move { client.append_journals(req).await };
        let response = self.call(peer, self.options.journal_timeout, call).await?;
        decode_outcomes(response.outcomes, count)
    }

    /// Reads a journal at the holder `peer`, with its tokens from position `from` on.
    ///
    /// # Errors
    ///
    /// [`Error::Journal`] when the holder has no such journal, other errors when it gave no valid
    /// response.
    pub async fn read_journal(
        &self,
        peer: SocketAddr,
        request: RequestId,
        from: u64,
    ) -> Result<JournalRecord> {
        let req = wire::ReadJournalRequest {
            request: encode_request_id(request),
            from,
        };
        let call = |mut client: PeerClient<Channel>| async move { client.read_journal(req).await };
        let response = self.call(peer, self.options.journal_timeout, call).await?;
        Ok(JournalResult::try_from(response)??)
    }

    /// Makes another node the owner of a request and returns its journal with the new epoch.
    ///
    /// # Errors
    ///
    /// [`Error::Journal`] with a stale epoch when another node took over first, other errors when
    /// the holder gave no valid response.
    pub async fn take_over_journal(
        &self,
        peer: SocketAddr,
        take_over: JournalTakeOver,
    ) -> Result<JournalRecord> {
        let req = wire::TakeOverJournalRequest::from(take_over);
        let call =
            |mut client: PeerClient<Channel>| async move { client.take_over_journal(req).await };
        let response = self.call(peer, self.options.journal_timeout, call).await?;
        Ok(JournalResult::try_from(response)??)
    }

    /// Drops journals at the holder `peer` and returns one result for each.
    ///
    /// # Errors
    ///
    /// When the holder gave no valid response. Drops are idempotent and may be retried.
    pub async fn drop_journals(
        &self,
        peer: SocketAddr,
        drops: Vec<JournalDrop>,
    ) -> Result<Vec<JournalResult<()>>> {
        let count = drops.len();
        let req = wire::DropJournalsRequest {
            drops: convert_all(drops),
        };
        let call = |mut client: PeerClient<Channel>| async move { client.drop_journals(req).await };
        let response = self.call(peer, self.options.journal_timeout, call).await?;
        decode_outcomes(response.outcomes, count)
    }

    /// Reads the report `name` of the node `peer` as JSON. Returns `None` when the node has no such
    /// report.
    ///
    /// # Errors
    ///
    /// When the node gave no valid response.
    pub async fn read_report(&self, peer: SocketAddr, name: &str) -> Result<Option<Bytes>> {
        let req = wire::ReadReportRequest {
            name: name.to_owned(),
        };
        let call = |mut client: PeerClient<Channel>| async move { client.read_report(req).await };
        let response = self.call(peer, self.options.report_timeout, call).await?;
        Ok(response.json)
    }

    /// Makes a call that must complete within `deadline`. After an error that the connection may
    /// have caused, the next call opens a new connection.
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
            Ok(Err(status)) => Err(call_error(peer, deadline, &status)),
            Err(_) => Err(Error::DeadlineExceeded { peer, deadline }),
        };
        if result.as_ref().is_err_and(Error::is_connection_error) {
            self.connections.discard(peer, id);
        }
        result
    }
}

/// Converts the status of a failed call into an error.
fn call_error(peer: SocketAddr, deadline: Duration, status: &Status) -> Error {
    match status.code() {
        Code::DeadlineExceeded | Code::Cancelled => Error::DeadlineExceeded { peer, deadline },
        Code::Unavailable | Code::Unknown | Code::Internal => Error::Unavailable {
            peer,
            reason: status_reason(status),
        },
        _ => Error::Refused {
            peer,
            reason: status_reason(status),
        },
    }
}

/// Returns the message of a status followed by its chain of causes.
fn status_reason(status: &Status) -> String {
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
        let response = self.call(peer, deadline, call).await;
        response
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
        let response = self.call(peer, deadline, call).await;
        response
            .map(|response| response.is_reached)
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
        let response = self.call(peer, deadline, call).await;
        response
            .and_then(MemberExchange::try_from)
            .map_err(|e| membership_error(peer, &e))
    }

    async fn push_news(
        &self,
        peer: SocketAddr,
        items: Vec<NewsItem>,
        deadline: Duration,
    ) -> MembershipResult<()> {
        let req = wire::PushNewsRequest {
            items: convert_all(items),
        };
        let call = |mut client: PeerClient<Channel>| async move { client.push_news(req).await };
        let response = self.call(peer, deadline, call).await;
        response.map(|_| ()).map_err(|e| membership_error(peer, &e))
    }

    async fn exchange_news(
        &self,
        peer: SocketAddr,
        items: Vec<NewsItem>,
        deadline: Duration,
    ) -> MembershipResult<Vec<NewsItem>> {
        let req = wire::ExchangeNewsRequest {
            items: convert_all(items),
        };
        let call = |mut client: PeerClient<Channel>| async move { client.exchange_news(req).await };
        let response = self.call(peer, deadline, call).await;
        response
            .and_then(|response| try_convert_all(response.items))
            .map_err(|e| membership_error(peer, &e))
    }
}
