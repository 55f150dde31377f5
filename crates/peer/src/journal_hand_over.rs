//! Handing over the journals that a leaving node keeps for others.

use tokio::time::Instant;
use verbenahead_core::{AvailabilityZone, HashMap, NodeId};
use verbenahead_membership::Member;

use crate::{
    clients::PeerClients, journal::JournalRecord, journal_holders::journal_holders,
    journal_store::JournalStore,
};

/// Holders that are tried for each journal.
const MAX_HOLDERS: usize = 4;

/// `HandOverReport` tells what became of the journals.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct HandOverOutcome {
    /// Journals that another holder has acknowledged.
    pub transferred: usize,
    /// Journals that no other holder took. They are still here.
    pub remaining: usize,
}

/// Hands all journals over to the next holders.
///
/// A journal is taken out of the store before it is sent, so that no append is acknowledged here
/// after the copy was made. Its owner is told that the journal is not found, and puts it again.
pub async fn hand_over_journals(
    store: &JournalStore,
    clients: &PeerClients,
    me: &NodeId,
    members: &[Member],
) -> HandOverOutcome {
    let mut report = HandOverOutcome::default();
    let mut open = store.requests();
    for attempt in 0..MAX_HOLDERS {
        let mut batches = Batches::new(clients.options().max_journal_batch_bytes);
        for request in std::mem::take(&mut open) {
            let Some(record) = store.take(request) else {
                continue;
            };
            match next_holder(&record, me, members, attempt) {
                Some(holder) => batches.add(holder, record),
                None => report.remaining += put_back(store, vec![record]),
            }
        }
        for batch in batches.all() {
            let left = send(clients, batch.holder, batch.records, &mut report).await;
            open.extend(left.iter().map(|record| record.request));
            put_back(store, left);
        }
    }
    report.remaining += open.len();
    report
}

fn next_holder<'a>(
    record: &JournalRecord,
    me: &NodeId,
    members: &'a [Member],
    attempt: usize,
) -> Option<&'a Member> {
    let zone = zone_of(&record.owner, members).or_else(|| zone_of(me, members))?;
    let holders = journal_holders(record.request, &record.owner, zone, members);
    let node = holders.into_iter().filter(|node| node != me).nth(attempt)?;
    members.iter().find(|member| member.node == node)
}

fn zone_of<'a>(node: &NodeId, members: &'a [Member]) -> Option<&'a AvailabilityZone> {
    let member = members.iter().find(|member| member.node == *node);
    member.map(|member| &member.zone)
}

/// Sends journals to a holder and returns those that it did not take.
async fn send(
    clients: &PeerClients,
    holder: &Member,
    records: Vec<JournalRecord>,
    report: &mut HandOverOutcome,
) -> Vec<JournalRecord> {
    let outcomes = match clients.put_journals(holder.address, records.clone()).await {
        Ok(outcomes) => outcomes,
        Err(e) => {
            tracing::warn!(holder = %holder.node, error = %e, "journals were not handed over");
            return records;
        }
    };
    let mut left = Vec::new();
    for (record, outcome) in records.into_iter().zip(outcomes) {
        match outcome {
            Ok(()) => report.transferred += 1,
            Err(_) => left.push(record),
        }
    }
    left
}

fn put_back(store: &JournalStore, records: Vec<JournalRecord>) -> usize {
    let now = Instant::now();
    let count = records.len();
    for record in records {
        if let Err(refusal) = store.put(record, now) {
            tracing::warn!(%refusal, "a journal was not put back");
        }
    }
    count
}

/// `Batch` is a message with journals for one holder.
struct Batch<'a> {
    holder: &'a Member,
    bytes: usize,
    records: Vec<JournalRecord>,
}

/// `Batches` sorts journals by holder, in messages of a bounded size.
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

    fn all(self) -> impl Iterator<Item = Batch<'a>> {
        self.batches.into_values().flatten()
    }
}
