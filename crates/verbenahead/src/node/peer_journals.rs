//! Journals of this node's requests, held by other nodes and reached over the peer transport.

use std::{net::SocketAddr, time::Duration};

use async_trait::async_trait;
use futures_util::{StreamExt, future::BoxFuture, stream::FuturesUnordered};
use tokio::time::{Instant, sleep};
use verbenahead_core::{AvailabilityZone, NodeId, RequestId};
use verbenahead_membership::{Member, MembershipHandle};
use verbenahead_peer::{
    Error as PeerError, FoundJournal, JournalAppend, JournalAppender, JournalDrop, JournalRecord,
    JournalRefusal, JournalStore, JournalTakeOver, PeerClients, find_journal, journal_holders,
};

use crate::node::journals::{JournalFailure, JournalHandle, Journals};

/// Maximum number of nodes that are asked to hold a journal.
const MAX_HOLDERS: usize = 3;

/// Delay after which the next node is asked while the earlier ones have not answered.
const HEDGE_DELAY: Duration = Duration::from_millis(60);

/// `PeerJournals` stores journals at nodes chosen by rendezvous hashing.
#[derive(Clone)]
pub struct PeerJournals {
    node: NodeId,
    zone: AvailabilityZone,
    membership: MembershipHandle,
    clients: PeerClients,
    appender: JournalAppender,
    store: JournalStore,
}

impl PeerJournals {
    /// Builds the journals of a node. `store` holds the journals that other nodes put at this one.
    pub fn new(
        node: NodeId,
        zone: AvailabilityZone,
        membership: MembershipHandle,
        clients: PeerClients,
        store: JournalStore,
    ) -> Self {
        let appender = JournalAppender::start(clients.clone());
        Self {
            node,
            zone,
            membership,
            clients,
            appender,
            store,
        }
    }

    fn holders(&self, request: RequestId) -> Vec<Member> {
        let members = self.membership.members();
        journal_holders(request, &self.node, &self.zone, &members)
            .into_iter()
            .filter_map(|node| members.iter().find(|member| member.node == node).cloned())
            .take(MAX_HOLDERS)
            .collect()
    }

    fn address_of(&self, node: &NodeId) -> Option<SocketAddr> {
        let members = self.membership.members();
        let member = members.iter().find(|member| member.node == *node)?;
        Some(member.address)
    }

    /// Sends hedged requests to the holders, each [`HEDGE_DELAY`] after the one before. Returns the
    /// first holder that acknowledges.
    async fn put_hedged(
        &self,
        record: &JournalRecord,
        holders: &[Member],
    ) -> Result<Member, PeerError> {
        let mut calls: FuturesUnordered<BoxFuture<'_, _>> = FuturesUnordered::new();
        for (index, holder) in holders.iter().enumerate() {
            let delay = HEDGE_DELAY * index as u32;
            calls.push(Box::pin(self.put_after(delay, record, holder)));
        }
        let mut last = PeerError::Closed;
        while let Some((holder, result)) = calls.next().await {
            match result {
                Ok(()) => {
                    self.drop_other_copies(record, holders, holder);
                    return Ok(holder.clone());
                }
                Err(error) => last = error,
            }
        }
        Err(last)
    }

    async fn put_after<'a>(
        &self,
        delay: Duration,
        record: &JournalRecord,
        holder: &'a Member,
    ) -> (&'a Member, Result<(), PeerError>) {
        // Even a zero-length sleep takes up to one millisecond.
        if !delay.is_zero() {
            sleep(delay).await;
        }
        let result = self
            .clients
            .put_journal(holder.address, record.clone())
            .await;
        (holder, result)
    }

    /// Drops the copies that slower holders may have stored, so that a lookup finds only the copy
    /// that receives further tokens.
    fn drop_other_copies(&self, record: &JournalRecord, holders: &[Member], chosen: &Member) {
        let position = holders.iter().position(|holder| holder.node == chosen.node);
        let others: Vec<_> = holders
            .iter()
            .take(position.unwrap_or_default() + 2)
            .filter(|holder| holder.node != chosen.node)
            .map(|holder| holder.address)
            .collect();
        if position == Some(0) || others.is_empty() {
            return;
        }
        let clients = self.clients.clone();
        let drop = JournalDrop {
            request: record.request,
            epoch: record.epoch,
        };
        tokio::spawn(async move {
            for address in others {
                let _ = clients.drop_journals(address, vec![drop]).await;
            }
        });
    }

    async fn find(&self, request: RequestId) -> Result<FoundJournal, JournalFailure> {
        let members = self.membership.members();
        find_journal(&self.clients, &self.store, &self.node, &members, request, 0)
            .await
            .map_err(to_failure)
    }

    /// Moves the local copy of a journal whose request this node now owns to another node, since a
    /// local copy would be lost with this node. Keeps the local copy when no other node accepts the
    /// journal; the request continues, and its writer retries.
    async fn move_own_copy_elsewhere(&self, record: &JournalRecord) -> Option<NodeId> {
        let holders = self.holders(record.request);
        let holder = self.put_hedged(record, &holders).await.ok()?;
        self.store.take(record.request);
        Some(holder.node)
    }

    async fn take_over_at(&self, found: &FoundJournal) -> Result<JournalRecord, JournalFailure> {
        let take_over = JournalTakeOver {
            request: found.record.request,
            epoch: found.record.epoch,
            owner: self.node.clone(),
        };
        if found.holder == self.node {
            return self
                .store
                .take_over(take_over, Instant::now())
                .map_err(JournalFailure::Refused);
        }
        self.clients
            .take_over_journal(found.address, take_over)
            .await
            .map_err(to_failure)
    }
}

fn to_failure(error: PeerError) -> JournalFailure {
    match error {
        PeerError::Journal(refusal) => JournalFailure::Refused(refusal),
        PeerError::JournalNotFound { unreachable: 0, .. } => {
            JournalFailure::Refused(JournalRefusal::NotFound)
        }
        error => JournalFailure::Unreachable(error.to_string()),
    }
}

#[async_trait]
impl Journals for PeerJournals {
    async fn put(&self, record: JournalRecord) -> Result<JournalHandle, JournalFailure> {
        let handle = |holder| JournalHandle {
            request: record.request,
            epoch: record.epoch,
            holder,
        };
        let holders = self.holders(record.request);
        if holders.is_empty() {
            tracing::warn!(request = %record.request, "no other node holds the journal");
            return Ok(handle(None));
        }
        let holder = self
            .put_hedged(&record, &holders)
            .await
            .map_err(to_failure)?;
        Ok(handle(Some(holder.node)))
    }

    async fn append(
        &self,
        handle: &JournalHandle,
        append: JournalAppend,
    ) -> Result<(), JournalFailure> {
        let holder = handle.holder.as_ref();
        let Some(address) = holder.and_then(|holder| self.address_of(holder)) else {
            return Err(JournalFailure::Refused(JournalRefusal::NotFound));
        };
        self.appender
            .append(address, append)
            .await
            .map_err(to_failure)
    }

    fn is_held(&self, handle: &JournalHandle) -> bool {
        let members = self.membership.members();
        match &handle.holder {
            Some(holder) => members
                .iter()
                .any(|member| member.node == *holder && member.is_alive()),
            None => self.holders(handle.request).is_empty(),
        }
    }

    async fn take_over(
        &self,
        request: RequestId,
    ) -> Result<(JournalRecord, JournalHandle), JournalFailure> {
        let found = self.find(request).await?;
        let record = self.take_over_at(&found).await?;
        let mut handle = JournalHandle {
            request,
            epoch: record.epoch,
            holder: Some(found.holder.clone()),
        };
        if found.holder == self.node {
            handle.holder = self.move_own_copy_elsewhere(&record).await;
        }
        Ok((record, handle))
    }

    async fn read(&self, request: RequestId) -> Result<JournalRecord, JournalFailure> {
        self.find(request).await.map(|found| found.record)
    }
}
