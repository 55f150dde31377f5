//! Memory of a holder of journals, per journal and per token.

use bytes::Bytes;
use tokio::time::Instant;
use verbenahead_core::{NodeId, RequestId, ServiceId, WorkspaceId, units::ByteSize};
use verbenahead_peer::{JournalAppend, JournalRecord, JournalStore, JournalStoreOptions};

use crate::{
    overhead::process_usage::resident_bytes, registry::MeasureOptions, slopes::points::Points,
};

const PROFILE: &str = "journals";

/// Numbers of journals.
const JOURNALS: &[usize] = &[1_000, 2_000, 4_000, 8_000];

/// Tokens of each journal while their number is changed.
const FIXED_TOKENS: usize = 100;

/// Numbers of tokens of each journal.
const TOKENS: &[usize] = &[50, 100, 200, 400];

/// Journals while the number of their tokens is changed.
const FIXED_JOURNALS: usize = 2_000;

/// Tokens of one message.
const TOKENS_PER_APPEND: usize = 10;

/// Bytes of the body of a request.
const BODY_BYTES: usize = 2_048;

/// Runs the profile.
///
/// # Errors
///
/// When a journal is refused or the memory cannot be read.
pub fn run(options: &MeasureOptions) -> anyhow::Result<()> {
    let mut kept = Vec::new();
    let mut by_journals = Points::new(options, PROFILE, "MiB resident, 100 tokens each", "journal");
    for journals in JOURNALS {
        let mib = fill(&mut kept, *journals, FIXED_TOKENS)?;
        by_journals.push(*journals as f64, mib)?;
    }
    let figure = "KiB resident per journal";
    let mut by_tokens = Points::new(options, PROFILE, figure, "token");
    for tokens in TOKENS {
        let mib = fill(&mut kept, FIXED_JOURNALS, *tokens)?;
        by_tokens.push(*tokens as f64, mib * 1_024.0 / FIXED_JOURNALS as f64)?;
    }
    by_journals.print_fit()?;
    by_tokens.print_fit()
}

/// Fills a new store and returns how much resident memory it took, in MiB. The store is kept, so
/// that the next one does not use its room.
fn fill(kept: &mut Vec<JournalStore>, journals: usize, tokens: usize) -> anyhow::Result<f64> {
    let own_id = std::process::id();
    let before = resident_bytes(own_id)?;
    let store = JournalStore::new(JournalStoreOptions {
        max_bytes: ByteSize(u64::MAX),
        ..JournalStoreOptions::default()
    });
    let now = Instant::now();
    for number in 0..journals {
        store.put(record(number)?, now)?;
    }
    for position in (0..tokens).step_by(TOKENS_PER_APPEND) {
        for number in 0..journals {
            store.append(append(number, position), now)?;
        }
    }
    let after = resident_bytes(own_id)?;
    kept.push(store);
    Ok(after.saturating_sub(before) as f64 / f64::from(1 << 20))
}

fn record(number: usize) -> anyhow::Result<JournalRecord> {
    Ok(JournalRecord {
        request: request(number),
        workspace: WorkspaceId::try_new("w")?,
        service: ServiceId::try_new("s")?,
        owner: NodeId::try_new("n0")?,
        epoch: 1,
        seed: 1,
        body: Bytes::from(vec![b'x'; BODY_BYTES]),
        tokens: Vec::new(),
        is_finished: false,
    })
}

fn append(number: usize, position: usize) -> JournalAppend {
    let tokens = (position..position + TOKENS_PER_APPEND).map(|token| format!(" tok{token}"));
    JournalAppend {
        request: request(number),
        epoch: 1,
        position: position as u64,
        tokens: tokens.collect(),
        is_finished: false,
    }
}

fn request(number: usize) -> RequestId {
    RequestId(number as u128)
}
