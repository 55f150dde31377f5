//! Server side of the calls between nodes.

use std::sync::Arc;

use async_trait::async_trait;
use tokio::time::Instant;
use tonic::{Request, Response, Status};
use verbenahead_membership::{
    Error as MembershipError, MembershipHandle, NewsHandle, Result as MembershipResult,
};

use crate::{
    convert::{convert_all, decode_request_id, encode_outcomes, try_convert_all},
    errors::Error,
    journal::JournalTakeOver,
    journal_store::JournalStore,
    report::ReportSource,
    wire::{self, peer_server::Peer},
};

/// `PeerService` handles the calls of peers.
#[derive(Clone)]
pub struct PeerService {
    /// Membership of the node.
    pub membership: MembershipHandle,
    /// News of the node.
    pub news: NewsHandle,
    /// Journals that the node keeps for other nodes.
    pub journals: JournalStore,
    /// Reports of the node.
    pub reports: Arc<dyn ReportSource>,
}

type RpcResult<T> = Result<Response<T>, Status>;

impl From<Error> for Status {
    fn from(e: Error) -> Self {
        match e {
            Error::Malformed { .. } => Self::invalid_argument(e.to_string()),
            other => Self::internal(other.to_string()),
        }
    }
}

/// Converts an error of the membership into a gRPC status.
fn to_status<T>(result: MembershipResult<T>) -> Result<T, Status> {
    result.map_err(|e| match e {
        MembershipError::WrongNode { .. } => Status::failed_precondition(e.to_string()),
        other => Status::unavailable(other.to_string()),
    })
}

#[async_trait]
impl Peer for PeerService {
    async fn ping(&self, req: Request<wire::PingRequest>) -> RpcResult<wire::PingResponse> {
        let ping = req.into_inner().try_into()?;
        let ack = to_status(self.membership.ping_received(ping).await)?;
        Ok(Response::new(ack.into()))
    }

    async fn probe_indirectly(
        &self,
        req: Request<wire::ProbeIndirectlyRequest>,
    ) -> RpcResult<wire::ProbeIndirectlyResponse> {
        let probe = req.into_inner().try_into()?;
        let is_reached = to_status(self.membership.indirect_probe_received(probe).await)?;
        Ok(Response::new(wire::ProbeIndirectlyResponse { is_reached }))
    }

    async fn exchange_members(
        &self,
        req: Request<wire::ExchangeMembersRequest>,
    ) -> RpcResult<wire::ExchangeMembersResponse> {
        let exchange = req.into_inner().try_into()?;
        let response = to_status(self.membership.exchange_received(exchange).await)?;
        Ok(Response::new(response.into()))
    }

    async fn push_news(
        &self,
        req: Request<wire::PushNewsRequest>,
    ) -> RpcResult<wire::PushNewsResponse> {
        let items = try_convert_all(req.into_inner().items)?;
        to_status(self.news.push_received(items).await)?;
        Ok(Response::new(wire::PushNewsResponse {}))
    }

    async fn exchange_news(
        &self,
        req: Request<wire::ExchangeNewsRequest>,
    ) -> RpcResult<wire::ExchangeNewsResponse> {
        let items = try_convert_all(req.into_inner().items)?;
        let news = to_status(self.news.exchange_received(items).await)?;
        Ok(Response::new(wire::ExchangeNewsResponse {
            items: convert_all(news),
        }))
    }

    async fn put_journals(
        &self,
        req: Request<wire::PutJournalsRequest>,
    ) -> RpcResult<wire::PutJournalsResponse> {
        let records = try_convert_all(req.into_inner().records)?;
        let now = Instant::now();
        let put = |record| self.journals.put(record, now);
        let results = records.into_iter().map(put).collect();
        Ok(Response::new(wire::PutJournalsResponse {
            outcomes: encode_outcomes(results),
        }))
    }

    async fn append_journals(
        &self,
        req: Request<wire::AppendJournalsRequest>,
    ) -> RpcResult<wire::AppendJournalsResponse> {
        let appends = try_convert_all(req.into_inner().appends)?;
        let now = Instant::now();
        let append = |append| self.journals.append(append, now);
        let results = appends.into_iter().map(append).collect();
        Ok(Response::new(wire::AppendJournalsResponse {
            outcomes: encode_outcomes(results),
        }))
    }

    async fn read_journal(
        &self,
        req: Request<wire::ReadJournalRequest>,
    ) -> RpcResult<wire::JournalResponse> {
        let req = req.into_inner();
        let request = decode_request_id(&req.request)?;
        let result = self.journals.read(request, req.from);
        Ok(Response::new(result.into()))
    }

    async fn take_over_journal(
        &self,
        req: Request<wire::TakeOverJournalRequest>,
    ) -> RpcResult<wire::JournalResponse> {
        let take_over = JournalTakeOver::try_from(req.into_inner())?;
        let result = self.journals.take_over(take_over, Instant::now());
        Ok(Response::new(result.into()))
    }

    async fn drop_journals(
        &self,
        req: Request<wire::DropJournalsRequest>,
    ) -> RpcResult<wire::DropJournalsResponse> {
        let drops = try_convert_all(req.into_inner().drops)?;
        let drop = |drop| self.journals.drop_journal(drop);
        let results = drops.into_iter().map(drop).collect();
        Ok(Response::new(wire::DropJournalsResponse {
            outcomes: encode_outcomes(results),
        }))
    }

    async fn read_report(
        &self,
        req: Request<wire::ReadReportRequest>,
    ) -> RpcResult<wire::ReadReportResponse> {
        let name = req.into_inner().name;
        let json = self.reports.report(&name).await;
        Ok(Response::new(wire::ReadReportResponse { json }))
    }
}
