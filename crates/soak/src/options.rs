//! Options of a run.

use std::time::Duration;

/// Time for which callers start new requests, by default.
const DEFAULT_TIME: Duration = Duration::from_secs(120);

const DEFAULT_CHAT_CALLERS: usize = 6;
const DEFAULT_BOOKING_CALLERS: usize = 4;

/// `SoakOptions` configure a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SoakOptions {
    /// Seed of the schedule of faults and of all callers.
    pub seed: u64,
    /// Time for which faults are drawn and callers start new requests.
    pub time: Duration,
    /// Callers that read chats.
    pub chat_callers: usize,
    /// Callers that make bookings.
    pub booking_callers: usize,
    /// Whether progress goes to standard error.
    pub is_verbose: bool,
}

impl Default for SoakOptions {
    fn default() -> Self {
        Self {
            seed: 1,
            time: DEFAULT_TIME,
            chat_callers: DEFAULT_CHAT_CALLERS,
            booking_callers: DEFAULT_BOOKING_CALLERS,
            is_verbose: false,
        }
    }
}
