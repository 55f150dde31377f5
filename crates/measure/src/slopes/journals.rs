//! Memory of a journal store, per journal and per token.

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

/// Tokens of each journal in the measurement over numbers of journals.
const TOKENS_PER_JOURNAL: usize = 100;

/// Numbers of tokens of each journal.
const TOKENS: &[usize] = &[50, 100, 200, 400];

/// Journals in the measurement over numbers of tokens.
const JOURNALS_PER_TOKEN_STEP: usize = 2_000;

/// Tokens in one append.
const TOKENS_PER_APPEND: usize = 10;

/// Size of a request body, in bytes.
const BODY_BYTES: usize = 2_048;

/// Runs the profile.
///
/// # Errors
///
/// When a journal is refused or the memory cannot be read.
pub fn run(options: &MeasureOptions) -> anyhow::Result<()> {
    let mut retained = Vec::new();
    let mut by_journals = Points::new(options, PROFILE, "MiB resident, 100 tokens each", "journal");
    for journals in JOURNALS {
        let mib = fill(&mut retained, *journals, TOKENS_PER_JOURNAL)?;
        by_journals.push(*journals as f64, mib)?;
    }
    let figure = "KiB resident per journal";
    let mut by_tokens = Points::new(options, PROFILE, figure, "token");
    for tokens in TOKENS {
        let mib = fill(&mut retained, JOURNALS_PER_TOKEN_STEP, *tokens)?;
        by_tokens.push(
            *tokens as f64,
            mib * 1_024.0 / JOURNALS_PER_TOKEN_STEP as f64,
        )?;
    }
    by_journals.print_fit()?;
    by_tokens.print_fit()
}

/// Fills a new store and returns the growth of resident memory in MiB. The store goes to
/// `retained`, because the next one would reuse its freed memory.
fn fill(retained: &mut Vec<JournalStore>, journals: usize, tokens: usize) -> anyhow::Result<f64> {
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
    retained.push(store);
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
