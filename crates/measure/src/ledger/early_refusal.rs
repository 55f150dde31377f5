//! Table calls needed to refuse a call before it is sent.

use std::sync::Arc;

use verbenahead_services::MemoryTable;
use verbenahead_state::ledger::{
    BeginOutcome, BeginRequest, Ledger, LedgerOptions, ReleaseOutcome,
};

use crate::{
    ledger::{MEASURE, request},
    record::Record,
};

/// Number of refusals per policy.
const REFUSALS: u32 = 100;

/// Policies for a call that is refused before it is sent.
const REFUSAL_POLICIES: &[&str] = &["refuse", "begin_and_release", "look_up", "unread"];

/// Counts the table calls of each policy and the refusals that may report `not_run`.
pub(super) async fn run(seed: u64) -> anyhow::Result<()> {
    for policy in REFUSAL_POLICIES {
        let table = Arc::new(MemoryTable::default());
        let ledger = Ledger::new(table.clone(), LedgerOptions::default());
        let mut certain_not_run = 0_u32;
        for index in 0..REFUSALS {
            if refuse(&ledger, policy, request(seed, index)?).await {
                certain_not_run += 1;
            }
        }
        let (reads, writes) = table.call_counts();
        let figures = [
            (reads as f64, "table reads per refusal"),
            (writes as f64, "table writes per refusal"),
            (f64::from(certain_not_run), "ratio of refusals told not_run"),
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

/// Refuses one call. Returns whether the outcome `not_run` is certain.
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
