//! Hand-over of the journals that a leaving node keeps for other nodes.

use tokio::time::Instant;
use verbenahead_core::{AvailabilityZone, HashMap, NodeId};
use verbenahead_membership::Member;

use crate::{
    clients::PeerClients, journal::JournalRecord, journal_holders::journal_holders,
    journal_store::JournalStore,
};

/// Maximum number of holders that are tried for each journal.
const MAX_HOLDERS: usize = 4;

/// `HandOverOutcome` counts the journals of a hand-over by result.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct HandOverOutcome {
    /// Number of journals that another holder has acknowledged.
    pub transferred: usize,
    /// Number of journals that no other holder accepted. They are still in the store.
    pub remaining: usize,
}

/// Hands all journals of the store over to their next holders.
///
/// A journal is removed from the store before it is sent, so that this node acknowledges no append
/// that the copy does not contain. An append during the hand-over is refused as not found, upon
/// which the owner stores the journal at a holder again.
pub async fn hand_over_journals(
    store: &JournalStore,
    clients: &PeerClients,
    local_node: &NodeId,
    members: &[Member],
) -> HandOverOutcome {
    let mut outcome = HandOverOutcome::default();
    let mut pending = store.request_ids();
    for attempt in 0..MAX_HOLDERS {
        let mut batches = Batches::new(clients.options().max_journal_batch_bytes);
        for request in std::mem::take(&mut pending) {
            let Some(record) = store.take(request) else {
                continue;
            };
            match next_holder(&record, local_node, members, attempt) {
                Some(holder) => batches.add(holder, record),
                None => outcome.remaining += restore(store, vec![record]),
            }
        }
        for batch in batches.into_batches() {
            let refused = transfer(clients, batch.holder, batch.records, &mut outcome).await;
            pending.extend(refused.iter().map(|record| record.request));
            restore(store, refused);
        }
    }
    outcome.remaining += pending.len();
    outcome
}

/// Returns the holder to try at the given attempt, counted from 0.
fn next_holder<'a>(
    record: &JournalRecord,
    local_node: &NodeId,
    members: &'a [Member],
    attempt: usize,
) -> Option<&'a Member> {
    let zone = zone_of(&record.owner, members).or_else(|| zone_of(local_node, members))?;
    let holders = journal_holders(record.request, &record.owner, zone, members);
    let node = holders
        .into_iter()
        .filter(|node| node != local_node)
        .nth(attempt)?;
    members.iter().find(|member| member.node == node)
}

fn zone_of<'a>(node: &NodeId, members: &'a [Member]) -> Option<&'a AvailabilityZone> {
    let member = members.iter().find(|member| member.node == *node);
    member.map(|member| &member.zone)
}

/// Sends journals to a holder and returns those that it did not accept.
async fn transfer(
    clients: &PeerClients,
    holder: &Member,
    records: Vec<JournalRecord>,
    outcome: &mut HandOverOutcome,
) -> Vec<JournalRecord> {
    let results = match clients.put_journals(holder.address, records.clone()).await {
        Ok(results) => results,
        Err(e) => {
            tracing::warn!(holder = %holder.node, error = %e, "hand-over of journals to a holder failed");
            return records;
        }
    };
    let mut refused = Vec::new();
    for (record, result) in records.into_iter().zip(results) {
        match result {
            Ok(()) => outcome.transferred += 1,
            Err(_) => refused.push(record),
        }
    }
    refused
}

/// Puts journals back into the store and returns their number.
fn restore(store: &JournalStore, records: Vec<JournalRecord>) -> usize {
    let now = Instant::now();
    let count = records.len();
    for record in records {
        if let Err(refusal) = store.put(record, now) {
            tracing::warn!(%refusal, "failed to restore a journal that no holder accepted");
        }
    }
    count
}

/// `Batch` holds the journals of one message to a holder.
struct Batch<'a> {
    holder: &'a Member,
    bytes: usize,
    records: Vec<JournalRecord>,
}

/// `Batches` groups journals by holder into messages of bounded size.
struct Batches<'a> {
    max_bytes: usize,
    batches: HashMap<NodeId, Vec<Batch<'a>>>,
}

impl<'a> Batches<'a> {
    fn new(max_bytes: usize) -> Self {
        Self {
            max_bytes,
            batches: HashMap::default(),
        }
    }

    fn add(&mut self, holder: &'a Member, record: JournalRecord) {
        let bytes = record.max_encoded_bytes();
        let batches = self.batches.entry(holder.node.clone()).or_default();
        match batches.last_mut() {
            Some(batch) if batch.bytes + bytes <= self.max_bytes => {
                batch.bytes += bytes;
                batch.records.push(record);
            }
            _ => batches.push(Batch {
                holder,
                bytes,
                records: vec![record],
            }),
        }
    }

    fn into_batches(self) -> impl Iterator<Item = Batch<'a>> {
        self.batches.into_values().flatten()
    }
}
