//! An object store in memory with switchable faults, for tests and stand-ins.

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

/// `ObjectStoreFaults` are the faults that a [`MemoryObjectStore`] shows.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ObjectStoreFaults {
    /// Reads fail, and writes do not take effect and have an unknown outcome.
    pub is_down: bool,
    /// Time that each call takes.
    pub delay: Duration,
    /// Number of coming writes that take effect but whose answer is lost.
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
    /// Sets the faults from now on.
    pub fn set_faults(&self, faults: ObjectStoreFaults) {
        self.lock().faults = faults;
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn wait(&self) {
        let delay = self.lock().faults.delay;
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
    }
}

#[async_trait]
impl ObjectStore for MemoryObjectStore {
    async fn get(&self, name: &ObjectName) -> Result<Option<Bytes>> {
        self.wait().await;
        let state = self.lock();
        if state.faults.is_down {
            return Err(Error::unavailable("object store", "it is switched off"));
        }
        Ok(state.objects.get(name).cloned())
    }

    async fn put(&self, name: &ObjectName, data: Bytes) -> WriteOutcome {
        self.wait().await;
        let mut state = self.lock();
        if state.faults.is_down {
            return WriteOutcome::Unknown("the object store is switched off".to_owned());
        }
        state.objects.insert(name.clone(), data);
        state.next_version += 1;
        if state.faults.lost_answers > 0 {
            state.faults.lost_answers -= 1;
            return WriteOutcome::Unknown("the answer is switched to be lost".to_owned());
        }
        WriteOutcome::Done(vec![Version(state.next_version)])
    }
}
