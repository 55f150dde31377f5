//! Backoff after refused starts, per kind of VM.

use std::time::Duration;

use rand::Rng;
use verbenahead_core::{AvailabilityZone, HashMap};

use crate::{fleet::FleetMarket, time::Timestamp};

/// `OfferKey` names a kind of VM that can be asked for.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct OfferKey {
    /// Availability zone.
    pub zone: AvailabilityZone,
    /// Class of the VM.
    pub class: String,
    /// How it is paid for.
    pub market: FleetMarket,
}

/// `StartBackoff` remembers refused starts, so that another kind of VM is tried meanwhile.
#[derive(Debug, Clone, Default)]
pub struct StartBackoff {
    refused: HashMap<OfferKey, Refused>,
}

#[derive(Debug, Clone, Copy)]
struct Refused {
    until: Timestamp,
    times: u32,
}

/// Backoff after the first refusal; it doubles with each further one.
const FIRST_BACKOFF: Duration = Duration::from_secs(15);

/// Longest backoff.
const MAX_BACKOFF: Duration = Duration::from_secs(300);

/// Most doublings of the backoff.
const MAX_DOUBLINGS: u32 = 8;

impl StartBackoff {
    /// Records a refusal. Half of the backoff is drawn at random.
    pub fn on_refused(&mut self, key: &OfferKey, now: Timestamp, rng: &mut impl Rng) {
        let times = self.refused.get(key).map_or(0, |known| known.times);
        let doubled = FIRST_BACKOFF.saturating_mul(1 << times.min(MAX_DOUBLINGS));
        let backoff = doubled.min(MAX_BACKOFF);
        let backoff = backoff.mul_f64(0.5 + 0.5 * rng.random::<f64>());
        let refused = Refused {
            until: now.plus(backoff),
            times: times + 1,
        };
        self.refused.insert(key.clone(), refused);
    }

    /// Records a start.
    pub fn on_started(&mut self, key: &OfferKey) {
        self.refused.remove(key);
    }

    /// Returns whether this kind of VM is not to be tried yet.
    pub fn is_refused(&self, key: &OfferKey, now: Timestamp) -> bool {
        self.refused
            .get(key)
            .is_some_and(|refused| now < refused.until)
    }
}
