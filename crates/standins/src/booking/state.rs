//! State of the booking stand-in.

use std::{
    collections::BTreeMap,
    sync::{Mutex, MutexGuard, PoisonError},
};

use serde::{Deserialize, Serialize};
use verbenahead_core::{Digest, HashMap};

use super::{options::BookingOptions, workers::Workers};

/// `BookingBehaviour` is the body of `PUT /control/behaviour`. It applies to bookings and filings.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct BookingBehaviour {
    /// Delay before a call runs, in milliseconds. The call runs even if its caller disconnects.
    pub delay_ms: u64,
    /// The call runs and is never answered.
    pub run_then_hang: bool,
    /// The call is never answered, and runs once this is switched off.
    pub hang_then_run: bool,
    /// The call runs, and the connection is closed without an answer.
    pub run_then_close: bool,
    /// The call does not run and is answered with this status.
    pub refuse_status: Option<u16>,
    /// The call runs and is answered with this status.
    pub status: Option<u16>,
}

/// `Runs` is the body of the response to `GET /control/runs`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Runs {
    /// Number of runs by idempotency key. Calls without a key are counted under the empty key.
    pub runs: BTreeMap<String, u64>,
    /// Total number of runs.
    pub total: u64,
    /// Number of received bookings and filings, including those that did not run.
    pub received: u64,
    /// Number of read-only calls.
    pub reads: u64,
}

/// `Receipt` is the response body of a booking or filing.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Receipt {
    /// Number of the run, from 1.
    pub number: u64,
    /// Path of the call.
    pub path: String,
    /// Idempotency key of the call.
    pub key: String,
    /// Digest of the body of the call.
    pub body: Digest,
}

/// `BookingState` is the state of the booking stand-in.
#[derive(Debug)]
pub(super) struct BookingState {
    pub(super) honours_keys: bool,
    pub(super) workers: Workers,
    inner: Mutex<Inner>,
}

/// `Inner` is the state that the lock protects.
#[derive(Debug, Default)]
pub(super) struct Inner {
    pub(super) behaviour: BookingBehaviour,
    pub(super) runs: Runs,
    receipts: HashMap<String, Receipt>,
}

impl BookingState {
    pub(super) fn new(options: &BookingOptions) -> Self {
        let behaviour = BookingBehaviour {
            delay_ms: options.delay_ms,
            ..BookingBehaviour::default()
        };
        let inner = Inner {
            behaviour,
            ..Inner::default()
        };
        Self {
            honours_keys: options.honour_keys,
            workers: Workers::new(options.workers),
            inner: Mutex::new(inner),
        }
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Runs a call. When keys are honoured, a key that has run returns its first receipt instead.
    pub(super) fn run(&self, path: &str, key: &str, body: &[u8]) -> Receipt {
        let mut inner = self.lock();
        if self.honours_keys
            && !key.is_empty()
            && let Some(receipt) = inner.receipts.get(key)
        {
            return receipt.clone();
        }
        inner.runs.total += 1;
        *inner.runs.runs.entry(key.to_owned()).or_default() += 1;
        let receipt = Receipt {
            number: inner.runs.total,
            path: path.to_owned(),
            key: key.to_owned(),
            body: Digest::of(body),
        };
        inner.receipts.insert(key.to_owned(), receipt.clone());
        receipt
    }
}
