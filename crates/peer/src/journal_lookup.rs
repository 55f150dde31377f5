//! Finding the journal of a request at any node.

use std::net::SocketAddr;

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

/// Asks this node and the likely holders for the journal of a request.
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
    let order = journal_lookup_order(request, members);
    let known = |node: NodeId| members.iter().find(|member| member.node == node);
    let likely = order.into_iter().filter_map(known);
    let likely = likely.take(clients.options().max_lookups);
    let here = members.iter().filter(|member| member.node == *me);
    for member in here.chain(likely.filter(|member| member.node != *me)) {
        asked += 1;
        let result = if member.node == *me {
            own.read(request, from).map_err(Error::from)
        } else {
            clients.read_journal(member.address, request, from).await
        };
        match result {
            Ok(record) => {
                return Ok(FoundJournal {
                    holder: member.node.clone(),
                    address: member.address,
                    record,
                });
            }
            Err(Error::Journal(JournalRefusal::NotFound)) => {}
            Err(e) => {
                tracing::debug!(peer = %member.node, error = %e, "no answer about a journal");
                unreachable += 1;
            }
        }
    }
    Err(Error::JournalNotFound { asked, unreachable })
}
