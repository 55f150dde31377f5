//! Which upstreams of one service a node reaches over connections of its own.
//!
//! A connection that fails says nothing about the upstream while another node reaches it. Such an upstream
//! counts as cut off from this node. When several are cut off and none answers this node, all are taken to
//! be.

use std::{hash::Hash, time::Duration};

use verbenahead_core::HashMap;

use crate::time::Timestamp;

/// `PathHealthOptions` sets when all upstreams of a service count as cut off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PathHealthOptions {
    /// Fewest upstreams that are cut off before the others count as cut off too.
    pub min_cut: usize,
    /// Time since the last direct answer of any upstream after which the others count as cut off too.
    pub silence: Duration,
}

impl Default for PathHealthOptions {
    fn default() -> Self {
        Self {
            min_cut: 2,
            silence: Duration::from_millis(500),
        }
    }
}

/// `PathHealth` tracks the upstreams of one service, which `K` identifies.
#[derive(Debug, Clone)]
pub struct PathHealth<K> {
    options: PathHealthOptions,
    /// Upstreams that are cut off, with the time at which this was found.
    cut: HashMap<K, Timestamp>,
    direct_at: Option<Timestamp>,
}

impl<K: Copy + Eq + Hash> PathHealth<K> {
    /// Builds the state of a node that reaches all upstreams.
    pub fn new(options: PathHealthOptions) -> Self {
        Self {
            options,
            cut: HashMap::default(),
            direct_at: None,
        }
    }

    /// Records that an upstream answered this node directly or accepted a connection of it. Returns whether
    /// it was cut off before.
    pub fn on_direct(&mut self, upstream: K, now: Timestamp) -> bool {
        self.direct_at = Some(now);
        self.cut.remove(&upstream).is_some()
    }

    /// Records that this node did not reach an upstream that another node reaches. Returns whether that is
    /// new.
    pub fn on_cut(&mut self, upstream: K, now: Timestamp) -> bool {
        self.cut.insert(upstream, now).is_none()
    }

    /// Forgets an upstream that no node reaches, or that is gone.
    pub fn on_down(&mut self, upstream: K) {
        self.cut.remove(&upstream);
    }

    /// Forgets the upstreams for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&K) -> bool) {
        self.cut.retain(|upstream, _| keep(upstream));
    }

    /// Returns whether requests to an upstream should take another path.
    pub fn is_cut(&self, upstream: K, now: Timestamp) -> bool {
        self.cut.contains_key(&upstream) || self.is_service_cut(now)
    }

    /// Returns whether all upstreams count as cut off.
    pub fn is_service_cut(&self, now: Timestamp) -> bool {
        let is_silent = |at: Timestamp| now.since(at) >= self.options.silence;
        self.cut.len() >= self.options.min_cut && self.direct_at.is_none_or(is_silent)
    }

    /// Returns whether an upstream itself was found to be cut off.
    pub fn is_found_cut(&self, upstream: K) -> bool {
        self.cut.contains_key(&upstream)
    }

    /// Returns the number of upstreams that were found to be cut off.
    pub fn cut_count(&self) -> usize {
        self.cut.len()
    }
}
