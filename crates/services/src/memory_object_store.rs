//! An object store in memory with injectable faults, for tests and simulated services.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use async_trait::async_trait;
use bytes::Bytes;
use verbenahead_core::HashMap;

use crate::{
    errors::{Error, Result},
    object_store::{ObjectName, ObjectStore},
    table::{Version, WriteOutcome},
};

/// `ObjectStoreFaults` are the faults injected into a [`MemoryObjectStore`].
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ObjectStoreFaults {
    /// Reads fail, and writes do not take effect and have an unknown outcome.
    pub is_down: bool,
    /// Delay of each call.
    pub delay: Duration,
    /// Number of next writes that take effect but have an unknown outcome.
    pub lost_answers: u32,
}

#[derive(Debug, Default)]
struct State {
    objects: HashMap<ObjectName, Bytes>,
    next_version: u64,
    faults: ObjectStoreFaults,
}

/// `MemoryObjectStore` is an [`ObjectStore`] in memory.
#[derive(Debug, Default)]
pub struct MemoryObjectStore {
    state: Mutex<State>,
}

impl MemoryObjectStore {
    /// Sets the faults of later calls.
    pub fn set_faults(&self, faults: ObjectStoreFaults) {
        self.lock().faults = faults;
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn delay_call(&self) {
        let delay = self.lock().faults.delay;
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
    }
}

#[async_trait]
impl ObjectStore for MemoryObjectStore {
    async fn get(&self, name: &ObjectName) -> Result<Option<Bytes>> {
        self.delay_call().await;
        let state = self.lock();
        if state.faults.is_down {
            return Err(Error::unavailable("object store", "it is switched off"));
        }
        Ok(state.objects.get(name).cloned())
    }

    async fn put(&self, name: &ObjectName, data: Bytes) -> WriteOutcome {
        self.delay_call().await;
        let mut state = self.lock();
        if state.faults.is_down {
            return WriteOutcome::Unknown("the object store is switched off".to_owned());
        }
        state.objects.insert(name.clone(), data);
        state.next_version += 1;
        if state.faults.lost_answers > 0 {
            state.faults.lost_answers -= 1;
            return WriteOutcome::Unknown("the answer was dropped by an injected fault".to_owned());
        }
        WriteOutcome::Done(vec![Version(state.next_version)])
    }
}
