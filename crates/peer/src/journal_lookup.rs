//! Lookup of the journal of a request from any node.

use std::net::SocketAddr;

use tokio::task::JoinSet;
use verbenahead_core::{NodeId, RequestId};
use verbenahead_membership::Member;

use crate::{
    clients::PeerClients,
    errors::{Error, Result},
    journal::{JournalRecord, JournalRefusal},
    journal_holders::journal_lookup_order,
    journal_store::JournalStore,
};

/// `FoundJournal` is a journal with the node that holds it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FoundJournal {
    /// Node that holds the journal.
    pub holder: NodeId,
    /// Address of the holder.
    pub address: SocketAddr,
    /// The journal, with its tokens from the requested position on.
    pub record: JournalRecord,
}

/// Asks this node and the most likely holders concurrently for the journal of a request.
///
/// A holder whose acknowledgement was lost may have an outdated copy. The copy with the highest
/// epoch is returned and, within that epoch, the one with the most tokens.
///
/// # Errors
///
/// [`Error::JournalNotFound`] when none of them has the journal. It may still exist at an unreachable
/// peer.
pub async fn find_journal(
    clients: &PeerClients,
    local_store: &JournalStore,
    local_node: &NodeId,
    members: &[Member],
    request: RequestId,
    from: u64,
) -> Result<FoundJournal> {
    let mut asked = 0;
    let mut unreachable = 0;
    let mut best: Option<FoundJournal> = None;
    if let Some(local_member) = members.iter().find(|member| member.node == *local_node) {
        asked += 1;
        let record = local_store.read(request, from).ok();
        best = record.map(|record| found_at(local_member, record));
    }
    let mut calls = JoinSet::new();
    for holder in likely_holders(clients, local_node, members, request) {
        asked += 1;
        let clients = clients.clone();
        calls.spawn(async move {
            let result = clients.read_journal(holder.address, request, from).await;
            (holder, result)
        });
    }
    while let Some(Ok((holder, result))) = calls.join_next().await {
        match result {
            Ok(record) => best = Some(newer(best, found_at(&holder, record))),
            Err(Error::Journal(JournalRefusal::NotFound)) => {}
            Err(e) => {
                tracing::debug!(peer = %holder.node, error = %e, "journal lookup at a peer failed");
                unreachable += 1;
            }
        }
    }
    best.ok_or(Error::JournalNotFound { asked, unreachable })
}

fn likely_holders(
    clients: &PeerClients,
    local_node: &NodeId,
    members: &[Member],
    request: RequestId,
) -> Vec<Member> {
    let member_of = |node: NodeId| members.iter().find(|member| member.node == node);
    journal_lookup_order(request, members)
        .into_iter()
        .filter(|node| node != local_node)
        .filter_map(member_of)
        .take(clients.options().max_lookup_peers)
        .cloned()
        .collect()
}

fn found_at(holder: &Member, record: JournalRecord) -> FoundJournal {
    FoundJournal {
        holder: holder.node.clone(),
        address: holder.address,
        record,
    }
}

/// Returns the newer of two copies of a journal.
fn newer(best: Option<FoundJournal>, other: FoundJournal) -> FoundJournal {
    let rank = |found: &FoundJournal| {
        let record = &found.record;
        (record.epoch, record.tokens.len(), record.is_finished)
    };
    match best {
        Some(best) if rank(&best) >= rank(&other) => best,
        _ => other,
    }
}
