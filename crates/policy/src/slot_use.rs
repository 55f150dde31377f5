//! Share of the slots of a service that are taken, from the answers of its replicas.

/// `SlotUse` follows the share of slots that replicas state in their answers.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct SlotUse {
    mean: Option<f64>,
}

/// Weight of an answer. A node gets a few answers a second from a service.
const WEIGHT: f64 = 0.1;

/// Share of taken slots from which requests wait for one at some replicas: the busiest replica has 2 to 4 times the
/// mean load. Below, queues are those for prefill.
const SCARCE: f64 = 1.0 / 3.0;

impl SlotUse {
    /// Records the requests and slots that a replica stated. Statements without slots are ignored.
    pub fn record(&mut self, requests: u32, slots: u32) {
        if slots == 0 {
            return;
        }
        // One replica with a long queue must not stand for the service.
        let used = (f64::from(requests) / f64::from(slots)).min(2.0);
        let mean = self.mean.get_or_insert(used);
        *mean += WEIGHT * (used - *mean);
    }

    /// Returns whether requests are likely to wait for a slot at some replicas. Without answers they are not.
    pub fn is_scarce(self) -> bool {
        self.mean.is_some_and(|mean| mean >= SCARCE)
    }
}
