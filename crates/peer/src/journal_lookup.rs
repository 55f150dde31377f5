//! Finding the journal of a request at any node.

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

/// `FoundJournal` is a journal and where it was found.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FoundJournal {
    /// Node that holds the journal.
    pub holder: NodeId,
    /// Address of the holder.
    pub address: SocketAddr,
    /// The journal, with its tokens from the wanted position on.
    pub record: JournalRecord,
}

/// Asks this node and the likely holders for the journal of a request, all at the same time.
///
/// A holder whose acknowledgement was lost may have an old copy. So the journal with the highest
/// epoch, and with the most tokens of that epoch, is taken.
///
/// # Errors
///
/// [`Error::JournalNotFound`] when none of them has it. With unreachable peers it may still exist.
pub async fn find_journal(
    clients: &PeerClients,
    own: &JournalStore,
    me: &NodeId,
    members: &[Member],
    request: RequestId,
    from: u64,
) -> Result<FoundJournal> {
    let mut asked = 0;
    let mut unreachable = 0;
    let mut best: Option<FoundJournal> = None;
    if let Some(here) = members.iter().find(|member| member.node == *me) {
        asked += 1;
        let record = own.read(request, from).ok();
        best = record.map(|record| found(here, record));
    }
    let mut calls = JoinSet::new();
    for holder in likely_holders(clients, me, members, request) {
        asked += 1;
        let clients = clients.clone();
        calls.spawn(async move {
            let result = clients.read_journal(holder.address, request, from).await;
            (holder, result)
        });
    }
    while let Some(Ok((holder, result))) = calls.join_next().await {
        match result {
            Ok(record) => best = Some(better(best, found(&holder, record))),
            Err(Error::Journal(JournalRefusal::NotFound)) => {}
            Err(e) => {
                tracing::debug!(peer = %holder.node, error = %e, "no answer about a journal");
                unreachable += 1;
            }
        }
    }
    best.ok_or(Error::JournalNotFound { asked, unreachable })
}

fn likely_holders(
    clients: &PeerClients,
    me: &NodeId,
    members: &[Member],
    request: RequestId,
) -> Vec<Member> {
    let known = |node: NodeId| members.iter().find(|member| member.node == node);
    journal_lookup_order(request, members)
        .into_iter()
        .filter(|node| node != me)
        .filter_map(known)
        .take(clients.options().max_lookups)
        .cloned()
        .collect()
}

fn found(holder: &Member, record: JournalRecord) -> FoundJournal {
    FoundJournal {
        holder: holder.node.clone(),
        address: holder.address,
        record,
    }
}

fn better(known: Option<FoundJournal>, other: FoundJournal) -> FoundJournal {
    let rank = |found: &FoundJournal| {
        let record = &found.record;
        (record.epoch, record.tokens.len(), record.is_finished)
    };
    match known {
        Some(known) if rank(&known) >= rank(&other) => known,
        _ => other,
    }
}
