//! Whether the table answers.
//!
//! In an outage callers are to be answered at once. After one operation that got no answer within
//! its whole deadline, all others get a short one, until a reading in the background is answered.

use std::{
    sync::{
        Arc, Weak,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use tokio::time::sleep;
use verbenahead_services::{RowKey, Table};

use crate::{
    ledger::key::LEDGER_TABLE,
    retry::{RetryOptions, read_with_retries},
};

/// Pause between two readings of the table in an outage.
const PROBE_PAUSE: Duration = Duration::from_millis(250);

/// Key that no row of the ledger has, since it names no workspace.
const PROBE_KEY: &str = "probe";

/// `TableHealth` remembers whether the table answered last.
#[derive(Debug, Default)]
pub(crate) struct TableHealth {
    is_down: AtomicBool,
}

impl TableHealth {
    pub(crate) fn is_down(&self) -> bool {
        self.is_down.load(Ordering::Relaxed)
    }

    /// Notes whether an operation was answered. The first that was not starts the task that reads
    /// the table until it answers.
    pub(crate) fn note(
        self: &Arc<Self>,
        is_answered: bool,
        table: &Arc<dyn Table>,
        retry: RetryOptions,
    ) {
        let was_down = self.is_down.swap(!is_answered, Ordering::Relaxed);
        if is_answered || was_down {
            return;
        }
        tracing::warn!("the table does not answer");
        let probe = probe(Arc::downgrade(self), Arc::downgrade(table), retry);
        tokio::spawn(probe);
    }
}

/// Reads until the table answers or nobody uses the ledger any more.
async fn probe(health: Weak<TableHealth>, table: Weak<dyn Table>, retry: RetryOptions) {
    let key = RowKey::new(LEDGER_TABLE, PROBE_KEY);
    loop {
        sleep(PROBE_PAUSE).await;
        let (Some(health), Some(table)) = (health.upgrade(), table.upgrade()) else {
            return;
        };
        if !health.is_down() {
            return;
        }
        if read_with_retries(table.as_ref(), &key, retry).await.is_ok() {
            health.is_down.store(false, Ordering::Relaxed);
            tracing::info!("the table answers again");
            return;
        }
    }
}
