//! What it costs to refuse a call before it is sent.

use std::sync::Arc;

use verbenahead_services::MemoryTable;
use verbenahead_state::ledger::{
    BeginOutcome, BeginRequest, Ledger, LedgerOptions, ReleaseOutcome,
};

use crate::{
    ledger::{MEASURE, request},
    record::Record,
};

/// Refusals whose cost is counted.
const REFUSALS: u32 = 100;

/// Ways to answer a call that is refused before it is sent.
const REFUSAL_POLICIES: &[&str] = &["refuse", "begin_and_release", "look_up", "unread"];

/// Counts the calls of each way to refuse, and the refusals that may say `not_run`.
pub(super) async fn run(seed: u64) -> anyhow::Result<()> {
    for policy in REFUSAL_POLICIES {
        let table = Arc::new(MemoryTable::default());
        let ledger = Ledger::new(table.clone(), LedgerOptions::default());
        let mut proofs = 0_u32;
        for index in 0..REFUSALS {
            if refuse(&ledger, policy, request(seed, index)?).await {
                proofs += 1;
            }
        }
        let (reads, writes) = table.call_counts();
        let figures = [
            (reads as f64, "table reads per refusal"),
            (writes as f64, "table writes per refusal"),
            (f64::from(proofs), "ratio of refusals told not_run"),
        ];
        for (value, unit) in figures {
            let record = Record {
                measure: MEASURE,
                profile: "early_refusal",
                policy,
                seed,
                value: value / f64::from(REFUSALS),
                unit,
            };
            record.print()?;
        }
    }
    Ok(())
}

/// Refuses one call. Returns whether its caller can be told `not_run`.
async fn refuse(ledger: &Ledger, policy: &str, req: BeginRequest) -> bool {
    match policy {
        "refuse" => matches!(
            ledger.refuse(req, |_| false).await,
            ReleaseOutcome::NotRun(_)
        ),
        "begin_and_release" => match ledger.begin(req, |_| false).await {
            BeginOutcome::Claimed(attempt) => {
                matches!(attempt.release().await, ReleaseOutcome::NotRun(_))
            }
            _ => false,
        },
        "look_up" => {
            let _ = ledger.look_up(&req.key).await;
            false
        }
        _ => false,
    }
}
