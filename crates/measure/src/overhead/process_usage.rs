//! CPU time and memory of another process, read from `/proc`.

use std::{fs, time::Duration};

use anyhow::Context;

/// Unit of CPU times in `/proc/<pid>/stat`.
const CLOCK_TICK: Duration = Duration::from_millis(10);

/// Index of `utime` among the fields of `/proc/<pid>/stat` that follow the process name.
const USER_TIME_FIELD: usize = 11;

/// Returns the CPU time of a process in user and system mode.
///
/// # Errors
///
/// Returns an error if the process is gone or its `stat` file cannot be parsed.
pub fn processor_time(id: u32) -> anyhow::Result<Duration> {
    let line = fs::read_to_string(format!("/proc/{id}/stat"))?;
    // The name may contain spaces, so fields are counted from its closing parenthesis.
    let (_, fields) = line
        .rsplit_once(')')
        .context("no process name in /proc/<pid>/stat")?;
    let ticks: u32 = fields
        .split_whitespace()
        .skip(USER_TIME_FIELD)
        .take(2)
        .map(|field| field.parse::<u32>().unwrap_or_default())
        .sum();
    Ok(CLOCK_TICK * ticks)
}

/// Returns the resident memory of a process, in bytes.
///
/// # Errors
///
/// Returns an error if the process is gone or its `status` file cannot be parsed.
pub fn resident_bytes(id: u32) -> anyhow::Result<u64> {
    let status = fs::read_to_string(format!("/proc/{id}/status"))?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().nth(1));
    let kib: u64 = kib.context("no VmRSS in /proc/<pid>/status")?.parse()?;
    Ok(kib * 1_024)
}
