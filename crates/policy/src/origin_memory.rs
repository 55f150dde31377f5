//! Memory of the software versions at which streams began.

use std::{collections::VecDeque, time::Duration};

use verbenahead_core::HashMap;

use crate::time::Timestamp;

/// `OriginMemoryOptions` bounds an [`OriginMemory`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OriginMemoryOptions {
    /// Time for which a stream is remembered. No stream lasts longer.
    pub period: Duration,
    /// Largest number of streams that are remembered.
    pub max_streams: usize,
}

impl Default for OriginMemoryOptions {
    fn default() -> Self {
        Self {
            period: Duration::from_secs(600),
            max_streams: 16_384,
        }
    }
}

/// `OriginMemory` holds the keys of the versions at which streams began. When it is full, the oldest
/// streams are forgotten.
#[derive(Debug, Clone, Default)]
pub struct OriginMemory {
    options: OriginMemoryOptions,
    versions: HashMap<u64, u32>,
    /// Streams and the times at which they were recorded, oldest first.
    recorded: VecDeque<(Timestamp, u64)>,
}

impl OriginMemory {
    /// Builds an empty memory.
    pub fn new(options: OriginMemoryOptions) -> Self {
        Self {
            options,
            ..Self::default()
        }
    }

    /// Records that a stream began at a version. The first record of a stream is kept.
    pub fn record(&mut self, stream: u64, version: u32, now: Timestamp) {
        self.forget_old(now);
        if self.versions.contains_key(&stream) {
            return;
        }
        self.versions.insert(stream, version);
        self.recorded.push_back((now, stream));
    }

    /// Returns the version at which a stream began, if it is remembered.
    pub fn version(&self, stream: u64) -> Option<u32> {
        self.versions.get(&stream).copied()
    }

    fn forget_old(&mut self, now: Timestamp) {
        while let Some((at, stream)) = self.recorded.front() {
            let is_old = now.since(*at) >= self.options.period;
            if !is_old && self.recorded.len() < self.options.max_streams {
                return;
            }
            self.versions.remove(stream);
            self.recorded.pop_front();
        }
    }
}
