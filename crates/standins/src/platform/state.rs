//! State of the platform stand-in.

use std::{
    collections::BTreeSet,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use axum::{
    extract::{Request, State},
    middleware::Next,
    response::{IntoResponse as _, Response},
};
use bytes::Bytes;
use http::{StatusCode, header};
use verbenahead_core::HashMap;
use verbenahead_services::{MemoryTable, TableName};

use super::{
    counts::CallCounts,
    faults::PlatformFaults,
    fleet::Fleet,
    options::{PlatformStandinOptions, StartedEngine},
};

/// `Shared` is the state extractor of the routes.
pub(super) type Shared = State<Arc<PlatformState>>;

/// `PlatformState` is the state of the platform stand-in.
#[derive(Debug)]
pub(super) struct PlatformState {
    pub(super) table: MemoryTable,
    objects: Mutex<HashMap<String, Bytes>>,
    fleet: Mutex<Fleet>,
    faults: Mutex<PlatformFaults>,
    counts: Mutex<CallCounts>,
    table_names: Mutex<BTreeSet<&'static str>>,
    token: Option<String>,
    pub(super) start_engines: Vec<StartedEngine>,
    pub(super) start_time: Duration,
}

impl PlatformState {
    pub(super) fn new(options: PlatformStandinOptions) -> Self {
        let faults = PlatformFaults {
            delay_ms: options.delay_ms,
            ..PlatformFaults::default()
        };
        let list_lag = Duration::from_millis(options.list_lag_ms);
        Self {
            table: MemoryTable::default(),
            objects: Mutex::default(),
            fleet: Mutex::new(Fleet::new(list_lag)),
            faults: Mutex::new(faults),
            counts: Mutex::default(),
            table_names: Mutex::default(),
            token: options.token,
            start_engines: options.start_engines,
            start_time: Duration::from_millis(options.start_ms),
        }
    }

    pub(super) fn objects(&self) -> MutexGuard<'_, HashMap<String, Bytes>> {
        lock(&self.objects)
    }

    pub(super) fn fleet(&self) -> MutexGuard<'_, Fleet> {
        lock(&self.fleet)
    }

    pub(super) fn faults(&self) -> MutexGuard<'_, PlatformFaults> {
        lock(&self.faults)
    }

    pub(super) fn counts(&self) -> MutexGuard<'_, CallCounts> {
        lock(&self.counts)
    }

    /// Returns the interned name of a table. Each new name is leaked, as a [`TableName`] is static.
    pub(super) fn table_name(&self, name: &str) -> TableName {
        let mut names = lock(&self.table_names);
        if let Some(known) = names.get(name) {
            return TableName(known);
        }
        let name: &'static str = Box::leak(name.to_owned().into_boxed_str());
        names.insert(name);
        TableName(name)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Refuses calls without the configured bearer token.
pub(super) async fn check_token(State(state): Shared, req: Request, next: Next) -> Response {
    if let Some(token) = &state.token {
        let expected = format!("Bearer {token}");
        let given = req.headers().get(header::AUTHORIZATION);
        if given.is_none_or(|given| given.as_bytes() != expected.as_bytes()) {
            return StatusCode::UNAUTHORIZED.into_response();
        }
    }
    next.run(req).await
}
