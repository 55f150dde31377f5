//! Which software versions a request may go to during a rollout.

use verbenahead_core::UpstreamId;
use verbenahead_membership::{NameKey, RolloutPhase, Share};
use verbenahead_policy::hash::hash_bytes;

use crate::dialect::CallerRequestId;

/// Seed of the hash that places requests, so that it is independent of other uses of their ids.
const PLACE_SEED: u64 = 0x726f_6c6c_6f75_7473;

/// Returns the place of a request among all, from 0 up to [`Share::ALL`]. All nodes place a request alike.
pub(crate) fn request_place(id: &CallerRequestId) -> Share {
    let hash = hash_bytes(PLACE_SEED, id.0.as_bytes());
    let place = (u128::from(hash) * u128::from(Share::ALL.0)) >> u64::BITS;
    Share(place as u16)
}

/// `VersionRule` tells which versions of a service get requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionRule {
    /// Target of the rollout.
    pub target: NameKey,
    /// Phase of the rollout.
    pub phase: RolloutPhase,
    /// Share of the requests that goes to the target while there is no verdict.
    pub share: Share,
    /// Versions that get no requests.
    pub barred: Vec<NameKey>,
    /// Versions that are too new to be used, since their order may not be known yet.
    pub held: Vec<NameKey>,
    /// Whether live replicas of a version that is neither the target nor barred are registered.
    pub has_old: bool,
    /// Replicas of the target that get requests at the present share.
    pub loaded: Vec<UpstreamId>,
}

/// `VersionChoice` is the versions that a request may go to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VersionChoice {
    /// The target, or the other versions if it has no free replica.
    PreferTarget,
    /// The target only.
    Target,
    /// Versions other than the target.
    Old,
    /// All versions that are not barred.
    Any,
}

impl VersionRule {
    /// Returns the versions that the request at `place` may go to. A request that failed at the target goes
    /// to another version next. The target serves alone if no other version is left, since the other
    /// replicas are stopped by the verdict.
    pub fn choose(&self, place: Share, has_tried_target: bool) -> VersionChoice {
        match self.phase {
            RolloutPhase::Succeeded | RolloutPhase::RolledBack => VersionChoice::Any,
            RolloutPhase::Running if !self.has_old => VersionChoice::Target,
            RolloutPhase::Running if self.share == Share::ALL => VersionChoice::PreferTarget,
            RolloutPhase::Running if place < self.share && !has_tried_target => {
                VersionChoice::PreferTarget
            }
            RolloutPhase::Running => VersionChoice::Old,
        }
    }

    /// Returns whether a choice allows a version.
    pub fn allows(&self, choice: VersionChoice, version: Option<NameKey>) -> bool {
        let Some(version) = version else {
            return choice != VersionChoice::Target;
        };
        let is_target = version == self.target;
        let is_chosen = match choice {
            VersionChoice::PreferTarget | VersionChoice::Target => is_target,
            VersionChoice::Old => !is_target,
            VersionChoice::Any => true,
        };
        is_chosen && !self.barred.contains(&version) && (is_target || !self.held.contains(&version))
    }
}
