//! Fixtures for the tests of the state crate.
#![allow(dead_code)]

pub mod faulty_table;
pub mod random_table;
pub mod restored_table;

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use tokio::time::Instant;
use verbenahead_core::{AttemptId, Digest, Incarnation, NodeId, WorkspaceId};
use verbenahead_manifest::EngineFencing;
use verbenahead_services::Table;
use verbenahead_state::{
    RetryOptions, UnixMillis,
    lease::{LeaseKeeper, OrderPermit, OrderRefusal},
    ledger::{
        BeginRequest, Claimant, IdempotencyKey, Ledger, LedgerKey, LedgerOptions, RecordedAnswer,
        RecordedBody, RecordedHeader,
    },
};

pub fn retry_options() -> RetryOptions {
    RetryOptions {
        deadline: Duration::from_millis(400),
        call_timeout: Duration::from_millis(100),
        first_backoff: Duration::from_millis(5),
        max_backoff: Duration::from_millis(40),
    }
}

/// Returns a permit for an order under the lease that `keeper` holds now.
pub fn permit(keeper: &LeaseKeeper) -> Result<OrderPermit, OrderRefusal> {
    let epoch = keeper.epoch().ok_or(OrderRefusal::EpochEnded)?;
    epoch.permit(EngineFencing::Checked)
}

pub fn ledger(table: Arc<dyn Table>) -> Ledger {
    let options = LedgerOptions {
        retry: retry_options(),
        ..LedgerOptions::default()
    };
    Ledger::new(table, options)
}

/// `Clock` returns wall-clock times that follow the paused clock of `tokio`.
#[derive(Debug, Clone, Copy)]
pub struct Clock(Instant);

impl Clock {
    pub fn start() -> Self {
        Self(Instant::now())
    }

    pub fn now(self) -> UnixMillis {
        UnixMillis(1_700_000_000_000).saturating_add(self.0.elapsed())
    }
}

pub fn claimant(node: usize) -> Claimant {
    Claimant {
        node: NodeId::try_new(format!("node-{node}")).expect("valid id"),
        incarnation: Incarnation(1),
    }
}

pub fn ledger_key(key: &str) -> LedgerKey {
    let workspace = WorkspaceId::try_new("paving").expect("valid id");
    LedgerKey::new(workspace, IdempotencyKey::try_new(key).expect("valid key"))
}

/// Builds a request of attempt and node number `attempt` for the row of `key`. All requests have
/// the same fingerprint.
pub fn request(key: &str, attempt: usize, now: UnixMillis) -> BeginRequest {
    BeginRequest {
        key: ledger_key(key),
        fingerprint: Digest::of("POST /filings"),
        attempt: AttemptId(attempt as u128),
        claimant: claimant(attempt),
        retention: Duration::from_secs(3_600),
        received_at: now,
        now,
    }
}

pub fn answer(text: &str) -> RecordedAnswer {
    RecordedAnswer {
        status: 201,
        headers: vec![RecordedHeader {
            name: "content-type".to_owned(),
            value: "text/plain".to_owned(),
        }],
        body: RecordedBody::Whole(Bytes::from(text.to_owned())),
    }
}

pub fn none_gone(_: &Claimant) -> bool {
    false
}

pub fn all_gone(_: &Claimant) -> bool {
    true
}
