//! Memory of the processes of a run.

use std::fs;

const KIB_PER_MIB: u64 = 1024;

/// Returns the resident memory of these processes together, in MiB. Processes that have exited count nothing.
pub fn resident_mib(processes: impl IntoIterator<Item = u32>) -> u64 {
    let kib: u64 = processes.into_iter().filter_map(resident_kib).sum();
    kib / KIB_PER_MIB
}

fn resident_kib(process: u32) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}
