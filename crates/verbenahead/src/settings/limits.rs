//! Limits on the requests and connections of callers.

use std::{ops::RangeInclusive, time::Duration};

use verbenahead_core::{
    document::{Node, Object},
    units::ByteSize,
};

const LIMIT_KEYS: &[&str] = &[
    "memory_mib",
    "max_body_bytes",
    "max_header_bytes",
    "max_concurrent_requests",
    "max_concurrent_per_workspace",
    "max_connections",
    "read_stall_ms",
    "write_stall_ms",
];

const MIB: u64 = 1024 * 1024;
const KIB: u64 = 1024;

/// Largest accepted value of a size limit, in bytes.
const MAX_BYTES: u64 = 1024 * MIB;

/// Smallest accepted limit of the header section, in bytes; HTTP libraries need this much.
const MIN_HEADER_BYTES: u64 = 8 * KIB;

/// Largest accepted value of a limit on a number of requests or connections.
const MAX_COUNT: u64 = 1_000_000;

/// Smallest and largest accepted memory, in MiB.
const MEMORY_RANGE: RangeInclusive<u64> = 64..=16 * MIB;

/// Smallest memory as a multiple of the largest body. A body takes its size twice while its segments are joined, of the
/// part of the memory that large bodies may fill.
const MIN_MEMORY_BODIES: u64 = 8;

/// Largest accepted stall timeout, in milliseconds.
const MAX_STALL_MS: u64 = 600_000;

/// `LimitSettings` bound request sizes, stalls and concurrency.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitSettings {
    /// Memory of the process, four tenths of which callers and operators may hold. Absent, that of the machine.
    pub memory: Option<ByteSize>,
    /// Largest request body.
    pub max_body: ByteSize,
    /// Largest header section of a request.
    pub max_header: ByteSize,
    /// Largest number of requests in progress.
    pub max_concurrent_requests: usize,
    /// Largest number of requests in progress of one workspace.
    pub max_concurrent_per_workspace: usize,
    /// Largest number of open connections from callers.
    pub max_connections: usize,
    /// Longest time without progress while a request is read.
    pub read_stall: Duration,
    /// Longest time without progress while a response is written.
    pub write_stall: Duration,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            memory: None,
            max_body: ByteSize(4 * MIB),
            max_header: ByteSize(16 * KIB),
            max_concurrent_requests: 2_000,
            max_concurrent_per_workspace: 1_000,
            max_connections: 4_000,
            read_stall: Duration::from_secs(10),
            write_stall: Duration::from_secs(20),
        }
    }
}

/// Parses the limits. Absent keys take their defaults.
pub(super) fn read(node: &Node<'_>) -> Option<LimitSettings> {
    let object = node.object(LIMIT_KEYS)?;
    let default = LimitSettings::default();
    let memory = object.read_or("memory_mib", default.memory, |node| {
        let mib = node.integer(MEMORY_RANGE)?;
        Some(Some(ByteSize(mib * MIB)))
    });
    let max_body = read_bytes(&object, "max_body_bytes", default.max_body, 1);
    let max_header = read_bytes(
        &object,
        "max_header_bytes",
        default.max_header,
        MIN_HEADER_BYTES,
    );
    let count = |key, default| read_count(&object, key, default);
    let requests = count("max_concurrent_requests", default.max_concurrent_requests);
    let per_workspace = count(
        "max_concurrent_per_workspace",
        default.max_concurrent_per_workspace,
    );
    let connections = count("max_connections", default.max_connections);
    let stall = |key, default| {
        object.read_or(key, default, |node: &Node<'_>| {
            node.millis(1..=MAX_STALL_MS)
        })
    };
    let read_stall = stall("read_stall_ms", default.read_stall);
    let write_stall = stall("write_stall_ms", default.write_stall);
    if let (Some(Some(memory)), Some(body)) = (memory, max_body)
        && memory.0 < MIN_MEMORY_BODIES.saturating_mul(body.0)
    {
        node.report(format!(
            "`memory_mib` must hold {MIN_MEMORY_BODIES} bodies of `max_body_bytes`"
        ));
        return None;
    }
    Some(LimitSettings {
        memory: memory?,
        max_body: max_body?,
        max_header: max_header?,
        max_concurrent_requests: requests?,
        max_concurrent_per_workspace: per_workspace?,
        max_connections: connections?,
        read_stall: read_stall?,
        write_stall: write_stall?,
    })
}

fn read_bytes(
    object: &Object<'_>,
    key: &'static str,
    default: ByteSize,
    min: u64,
) -> Option<ByteSize> {
    object.read_or(key, default, |node| {
        node.integer(min..=MAX_BYTES).map(ByteSize)
    })
}

fn read_count(object: &Object<'_>, key: &'static str, default: usize) -> Option<usize> {
    object.read_or(key, default, |node| {
        let count = node.integer(1..=MAX_COUNT)?;
        usize::try_from(count).ok()
    })
}
