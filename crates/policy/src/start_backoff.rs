//! Exponential backoff after the cloud has refused to start a VM, per offer.

use std::time::Duration;

use rand::Rng;
use verbenahead_core::{AvailabilityZone, HashMap};

use crate::{fleet::FleetMarket, time::Timestamp};

/// `OfferKey` identifies an offer of the cloud, a kind of VM that can be started.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct OfferKey {
    /// Availability zone.
    pub zone: AvailabilityZone,
    /// Class of the VM.
    pub class: String,
    /// Market in which the VM is bought.
    pub market: FleetMarket,
}

/// `StartBackoff` tracks refused starts, so that other offers are tried during the backoff of one.
#[derive(Debug, Clone, Default)]
pub struct StartBackoff {
    refused: HashMap<OfferKey, Refused>,
}

/// `Refused` is the backoff of an offer whose last start was refused.
#[derive(Debug, Clone, Copy)]
struct Refused {
    until: Timestamp,
    /// Consecutive refusals.
    refusals: u32,
}

/// Backoff after the first refusal; it doubles with each further one.
const FIRST_BACKOFF: Duration = Duration::from_secs(15);

/// Longest backoff.
const MAX_BACKOFF: Duration = Duration::from_secs(300);

/// Maximum number of doublings of the backoff.
const MAX_DOUBLINGS: u32 = 8;

impl StartBackoff {
    /// Records a refused start. Half of the backoff is random.
    pub fn on_refused(&mut self, key: &OfferKey, now: Timestamp, rng: &mut impl Rng) {
        let refusals = self.refused.get(key).map_or(0, |refused| refused.refusals);
        let doubled = FIRST_BACKOFF.saturating_mul(1 << refusals.min(MAX_DOUBLINGS));
        let backoff = doubled.min(MAX_BACKOFF);
        let backoff = backoff.mul_f64(0.5 + 0.5 * rng.random::<f64>());
        let refused = Refused {
            until: now.plus(backoff),
            refusals: refusals + 1,
        };
        self.refused.insert(key.clone(), refused);
    }

    /// Records a successful start, which ends the backoff.
    pub fn on_started(&mut self, key: &OfferKey) {
        self.refused.remove(key);
    }

    /// Returns whether the offer is in its backoff and must not be tried.
    pub fn is_refused(&self, key: &OfferKey, now: Timestamp) -> bool {
        self.refused
            .get(key)
            .is_some_and(|refused| now < refused.until)
    }
}
