//! Memory that callers and operators may hold, and the connections that follow from it.

use derive_more::Display;
use nix::sys::sysinfo::sysinfo;
use verbenahead_core::units::ByteSize;
use verbenahead_policy::ClientMemoryOptions;
use verbenahead_relay::MemoryBudget;

use crate::{
    node::{
        client_memory::ListenerMemory,
        listener::{Backlog, UNREAD_BYTES},
    },
    settings::LimitSettings,
};

/// Fraction of the memory that clients may take: connections, heads, bodies and answers that they have not
/// read. The state of the node, the connections to upstreams and the fragmentation of the heap share the rest.
pub const CLIENT_MEMORY_RATIO: f64 = 0.5;

/// The same for a node of the callers' API. Its threads each have a heap of their own, which do not share what is free.
const API_MEMORY_RATIO: f64 = 0.4;

/// Fraction of the memory for clients that the connections of callers may take before they send anything.
pub const CONNECTION_MEMORY_RATIO: f64 = 0.7;

/// Memory of a connection beside its read buffer, in bytes: the write buffer of the HTTP library (8 KiB), its
/// task, the request that is in progress, and the data that the kernel keeps until it is read.
pub const CONNECTION_OVERHEAD: u64 = 12 * 1024 + UNREAD_BYTES;

/// Fraction of the memory, as a divisor, that connections of callers may take before they are accepted. Those to each
/// other listener may take a quarter of that.
pub const BACKLOG_DIVISOR: u64 = 16;

/// Memory that is assumed if the machine does not tell how much it has.
const UNKNOWN_MEMORY: ByteSize = ByteSize(1 << 30);

/// `ApiListener` numbers the listeners in the memory budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[display("{}", self.name())]
pub enum ApiListener {
    /// Listener for callers.
    Callers,
    /// Listener for operators.
    Operators,
}

impl ApiListener {
    /// Returns the name of the listener, as metrics and errors show it.
    pub fn name(self) -> &'static str {
        match self {
            Self::Callers => "callers",
            Self::Operators => "operators",
        }
    }
}

/// `ClientBudget` is the memory budget of a node's callers and operators. Clones share the memory.
#[derive(Debug, Clone)]
pub struct ClientBudget {
    memory: MemoryBudget,
    process_memory: ByteSize,
    connection_bytes: u64,
    max_connections: usize,
}

impl ClientBudget {
    /// Builds the budget of a process with these limits.
    pub fn new(limits: &LimitSettings) -> Self {
        let process_memory = limits.memory.unwrap_or_else(machine_memory);
        let limit = (process_memory.0 as f64 * API_MEMORY_RATIO) as u64;
        let connection_bytes = CONNECTION_OVERHEAD + limits.max_header.0;
        let by_memory = limit as f64 * CONNECTION_MEMORY_RATIO / connection_bytes as f64;
        Self {
            memory: MemoryBudget::new(ClientMemoryOptions {
                limit,
                kernel: UNREAD_BYTES,
                reader_grace: limits.write_stall,
                ..ClientMemoryOptions::default()
            }),
            process_memory,
            connection_bytes,
            max_connections: limits.max_connections.min(by_memory as usize).max(1),
        }
    }

    /// Returns the budget that the connections share.
    pub fn memory(&self) -> MemoryBudget {
        self.memory.clone()
    }

    /// Returns the most connections to a listener.
    pub fn max_connections(&self) -> usize {
        self.max_connections
    }

    /// Returns the place of a listener's connections in the budget.
    pub fn listener(&self, listener: ApiListener) -> ListenerMemory {
        ListenerMemory {
            budget: self.memory(),
            listener: listener as u8,
            connection_bytes: self.connection_bytes,
        }
    }

    /// Returns the memory of the process.
    pub fn process_memory(&self) -> ByteSize {
        self.process_memory
    }

    /// Returns how many connections to a listener may wait to be accepted.
    pub fn backlog(&self, listener: ApiListener) -> Backlog {
        let queued = self.process_memory.0 / BACKLOG_DIVISOR;
        Backlog::within(ByteSize(match listener {
            ApiListener::Callers => queued,
            ApiListener::Operators => queued / 4,
        }))
    }
}

fn machine_memory() -> ByteSize {
    match sysinfo() {
        Ok(info) => ByteSize(info.ram_total()),
        Err(error) => {
            tracing::warn!(%error, assumed = %UNKNOWN_MEMORY, "memory of the machine is not known");
            UNKNOWN_MEMORY
        }
    }
}
