//! Processor time and memory of another process, as the system counts them.

use std::{fs, time::Duration};

use anyhow::Context;

/// Length of the system's clock tick.
const CLOCK_TICK: Duration = Duration::from_millis(10);

/// Position of the user time behind the name in the system's line on a process.
const USER_TIME_FIELD: usize = 11;

/// Returns the processor time that a process has used, in user and in system mode.
///
/// # Errors
///
/// When the process is gone or the system's line cannot be read.
pub fn processor_time(id: u32) -> anyhow::Result<Duration> {
    let line = fs::read_to_string(format!("/proc/{id}/stat"))?;
    // The name may hold spaces, so fields are counted from its closing bracket.
    let (_, fields) = line.rsplit_once(')').context("no name in the line")?;
    let ticks: u32 = fields
        .split_whitespace()
        .skip(USER_TIME_FIELD)
        .take(2)
        .map(|field| field.parse::<u32>().unwrap_or_default())
        .sum();
    Ok(CLOCK_TICK * ticks)
}

/// Returns the memory of a process that is not swapped out, in bytes.
///
/// # Errors
///
/// When the process is gone or the system's page cannot be read.
pub fn resident_bytes(id: u32) -> anyhow::Result<u64> {
    let page = fs::read_to_string(format!("/proc/{id}/status"))?;
    let line = page.lines().find(|line| line.starts_with("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().nth(1));
    let kib: u64 = kib.context("no resident memory on the page")?.parse()?;
    Ok(kib * 1_024)
}
