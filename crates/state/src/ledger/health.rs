//! Availability of the ledger's table.
//!
//! In an outage callers must be answered at once. After one operation has used up its full deadline
//! without a response, all others get a short deadline until the table responds again. A
//! background probe with the full deadline detects this.

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

/// Pause between two probes of the table in an outage.
const PROBE_PAUSE: Duration = Duration::from_millis(250);

/// Key of the probe's reads. No row of the ledger has it, since it contains no workspace.
const PROBE_KEY: &str = "probe";

/// `TableHealth` tracks whether the last operation on the table got a response.
#[derive(Debug, Default)]
pub(crate) struct TableHealth {
    is_down: AtomicBool,
}

impl TableHealth {
    pub(crate) fn is_down(&self) -> bool {
        self.is_down.load(Ordering::Relaxed)
    }

    /// Records whether an operation got a response. The first one without a response starts the
    /// probe.
    pub(crate) fn record(
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

/// Reads until the table responds or the ledger is dropped.
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
