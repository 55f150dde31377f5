//! Return times of callers that a used-up quota refused.
//!
//! Each refusal books the units of its request behind those of the earlier ones, at the rate of the quota,
//! so that callers come back one after the other instead of together. A booking reserves nothing: whoever
//! asks while there are units gets them.

use std::time::Duration;

use verbenahead_core::HashMap;

use crate::time::Timestamp;

/// `ReturnQueue` is the virtual queue of the callers of one quota that were told when to return.
#[derive(Debug, Clone, Default)]
pub struct ReturnQueue {
    /// Time at which the units of all booked requests are free.
    free_at: Timestamp,
    /// Booked return times by the key of the caller's request.
    bookings: HashMap<u32, Timestamp>,
}

/// Longest wait that is booked. Callers return within a third of their remaining time, which is 15 s at
/// most, so later ones do not come back and take no place.
const MAX_BOOKED_WAIT: Duration = Duration::from_secs(5);

/// Time for which a booking is kept after its return time.
const RETURN_GRACE: Duration = Duration::from_millis(500);

/// Maximum number of bookings. Beyond it, a request that is refused again is booked again.
const MAX_BOOKINGS: usize = 8_192;

impl ReturnQueue {
    /// Books a refused request and returns the delay after which its caller should return. `wait` is the
    /// delay after which the quota allows the request if no other one comes, and `service_time` the time in
    /// which the quota provides its units. A caller that returns early keeps its time and books nothing.
    pub fn book(
        &mut self,
        caller: u32,
        service_time: Duration,
        wait: Duration,
        now: Timestamp,
    ) -> Duration {
        let earliest = now.plus(wait);
        let booked = self.bookings.get(&caller).copied();
        if let Some(booked) = booked.filter(|booked| *booked > now) {
            return booked.max(earliest).since(now);
        }
        let return_at = self.free_at.max(earliest);
        if return_at.since(now) <= MAX_BOOKED_WAIT {
            self.free_at = return_at.plus(service_time);
            self.insert(caller, return_at, now);
        }
        return_at.since(now)
    }

    /// Returns whether the return time of a request has come.
    pub fn is_due(&self, caller: u32, now: Timestamp) -> bool {
        let booked = self.bookings.get(&caller);
        booked.is_some_and(|at| *at <= now && now.since(*at) <= RETURN_GRACE)
    }

    /// Forgets the booking of a request that was granted.
    pub fn forget(&mut self, caller: u32) {
        self.bookings.remove(&caller);
    }

    fn insert(&mut self, caller: u32, return_at: Timestamp, now: Timestamp) {
        if self.bookings.len() >= MAX_BOOKINGS {
            self.bookings.retain(|_, at| now.since(*at) <= RETURN_GRACE);
        }
        if self.bookings.len() < MAX_BOOKINGS {
            self.bookings.insert(caller, return_at);
        }
    }
}
