//! Limits on the memory that clients hold.

use std::time::Duration;

/// `ClientMemoryOptions` are the limits on what clients hold.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ClientMemoryOptions {
    /// Most memory that all connections hold together, in bytes.
    pub limit: u64,
    /// Memory that a connection may hold beside `kernel` and still use the whole limit, in bytes.
    pub small: u64,
    /// Memory of each connection that the kernel may take, whatever its request is, in bytes.
    pub kernel: u64,
    /// Fraction of the limit that connections with more than `small` may fill. The rest is for small
    /// requests, which a burst of large bodies would shut out otherwise.
    pub large_ratio: f64,
    /// Fraction of the limit that a workspace, or the connections of an address, may hold while others want
    /// memory.
    pub share: f64,
    /// Time without progress after which a connection may be closed for want of memory.
    pub stall_grace: Duration,
    /// Fewest bytes per second that count as progress.
    pub min_rate: u64,
    /// Time at less than `min_rate` after which a connection that does not read its answer is closed.
    pub reader_grace: Duration,
    /// Time without a served request, or without progress, after which a connection may be closed for want of
    /// connections.
    pub newcomer_grace: Duration,
    /// A body that arrives and holds this many times as much as a small request wants gives way to it.
    pub displaced_ratio: u64,
}

impl Default for ClientMemoryOptions {
    fn default() -> Self {
        Self {
            limit: 64 * 1024 * 1024,
            small: 64 * 1024,
            kernel: 0,
            large_ratio: 0.8,
            share: 0.5,
            stall_grace: Duration::from_millis(500),
            // A 10 Mbit/s link shared by 150 clients gives each about this much.
            min_rate: 8 * 1024,
            // A third of a send buffer of 128 KiB must drain before the kernel takes more, which takes 5.3 s at
            // the least rate.
            reader_grace: Duration::from_secs(8),
            newcomer_grace: Duration::from_millis(800),
            displaced_ratio: 4,
        }
    }
}
