//! What a node does for the calls of its peers.

use std::sync::Arc;

use async_trait::async_trait;
use tokio::time::Instant;
use tonic::{Request, Response, Status};
use verbenahead_membership::{
    Error as MembershipError, MembershipHandle, NewsHandle, Result as MembershipResult,
};

use crate::{
    convert::{all, outcomes, request_id, try_all},
    errors::Error,
    journal::JournalTakeOver,
    journal_store::JournalStore,
    report::ReportSource,
    wire::{self, peer_server::Peer},
};

/// `PeerService` holds the parts of a node that its peers call.
#[derive(Clone)]
pub struct PeerService {
    /// Membership of the node.
    pub membership: MembershipHandle,
    /// News of the node.
    pub news: NewsHandle,
    /// Journals that the node keeps for others.
    pub journals: JournalStore,
    /// Reports of the node.
    pub reports: Arc<dyn ReportSource>,
}

type Answer<T> = Result<Response<T>, Status>;

impl From<Error> for Status {
    fn from(e: Error) -> Self {
        match e {
            Error::Malformed { .. } => Self::invalid_argument(e.to_string()),
            other => Self::internal(other.to_string()),
        }
    }
}

fn status<T>(result: MembershipResult<T>) -> Result<T, Status> {
    result.map_err(|e| match e {
        MembershipError::WrongNode { .. } => Status::failed_precondition(e.to_string()),
        other => Status::unavailable(other.to_string()),
    })
}

#[async_trait]
impl Peer for PeerService {
    async fn ping(&self, req: Request<wire::PingRequest>) -> Answer<wire::PingResponse> {
        let ping = req.into_inner().try_into()?;
        let ack = status(self.membership.ping_received(ping).await)?;
        Ok(Response::new(ack.into()))
    }

    async fn probe_indirectly(
        &self,
        req: Request<wire::ProbeIndirectlyRequest>,
    ) -> Answer<wire::ProbeIndirectlyResponse> {
        let probe = req.into_inner().try_into()?;
        let is_reached = status(self.membership.indirect_probe_received(probe).await)?;
        Ok(Response::new(wire::ProbeIndirectlyResponse { is_reached }))
    }

    async fn exchange_members(
        &self,
        req: Request<wire::ExchangeMembersRequest>,
    ) -> Answer<wire::ExchangeMembersResponse> {
        let exchange = req.into_inner().try_into()?;
        let answer = status(self.membership.exchange_received(exchange).await)?;
        Ok(Response::new(answer.into()))
    }

    async fn push_news(
        &self,
        req: Request<wire::PushNewsRequest>,
    ) -> Answer<wire::PushNewsResponse> {
        let items = try_all(req.into_inner().items)?;
        status(self.news.push_received(items).await)?;
        Ok(Response::new(wire::PushNewsResponse {}))
    }

    async fn exchange_news(
        &self,
        req: Request<wire::ExchangeNewsRequest>,
    ) -> Answer<wire::ExchangeNewsResponse> {
        let items = try_all(req.into_inner().items)?;
        let own = status(self.news.exchange_received(items).await)?;
        Ok(Response::new(wire::ExchangeNewsResponse {
            items: all(own),
        }))
    }

    async fn put_journals(
        &self,
        req: Request<wire::PutJournalsRequest>,
    ) -> Answer<wire::PutJournalsResponse> {
        let records = try_all(req.into_inner().records)?;
        let now = Instant::now();
        let put = |record| self.journals.put(record, now);
        let results = records.into_iter().map(put).collect();
        Ok(Response::new(wire::PutJournalsResponse {
            outcomes: outcomes(results),
        }))
    }

    async fn append_journals(
        &self,
        req: Request<wire::AppendJournalsRequest>,
    ) -> Answer<wire::AppendJournalsResponse> {
        let appends = try_all(req.into_inner().appends)?;
        let now = Instant::now();
        let append = |append| self.journals.append(append, now);
        let results = appends.into_iter().map(append).collect();
        Ok(Response::new(wire::AppendJournalsResponse {
            outcomes: outcomes(results),
        }))
    }

    async fn read_journal(
        &self,
        req: Request<wire::ReadJournalRequest>,
    ) -> Answer<wire::JournalResponse> {
        let req = req.into_inner();
        let request = request_id(&req.request)?;
        let result = self.journals.read(request, req.from);
        Ok(Response::new(result.into()))
    }

    async fn take_over_journal(
        &self,
        req: Request<wire::TakeOverJournalRequest>,
    ) -> Answer<wire::JournalResponse> {
        let take_over = JournalTakeOver::try_from(req.into_inner())?;
        let result = self.journals.take_over(take_over, Instant::now());
        Ok(Response::new(result.into()))
    }

    async fn drop_journals(
        &self,
        req: Request<wire::DropJournalsRequest>,
    ) -> Answer<wire::DropJournalsResponse> {
        let drops = try_all(req.into_inner().drops)?;
        let drop = |drop| self.journals.drop_journal(drop);
        let results = drops.into_iter().map(drop).collect();
        Ok(Response::new(wire::DropJournalsResponse {
            outcomes: outcomes(results),
        }))
    }

    async fn read_report(
        &self,
        req: Request<wire::ReadReportRequest>,
    ) -> Answer<wire::ReadReportResponse> {
        let name = req.into_inner().name;
        let json = self.reports.report(&name).await;
        Ok(Response::new(wire::ReadReportResponse { json }))
    }
}
