//! What is known of the last rollout of a service when another node takes control.

use verbenahead_core::{FencingNumber, time::UnixMillis};
use verbenahead_membership::{NameKey, RolloutPhase, Share};
use verbenahead_relay::HeardRollout;
use verbenahead_services::{RolloutState, Version};
use verbenahead_state::{RolloutRecord, StoredRollout};

use crate::relay_node::{rollout_duty::AreOfDifferentEras, rollout_orders::KnownOrder};

/// `EarlierRollout` is what a new controller can know of the last rollout of a service.
#[derive(Debug, Clone, Copy, Default)]
pub struct EarlierRollout<'a> {
    /// Row that earlier controllers wrote. The store may have lost it, or come back with an older one.
    pub stored: Option<&'a StoredRollout>,
    /// What earlier controllers told this node.
    pub heard: Option<&'a HeardRollout>,
}

/// Returns whether a record is that of an order. After a restore of the store the row of the order may have another
/// version, and the operator may have written it again.
pub(super) fn is_order_of(
    record: &RolloutRecord,
    known: &KnownOrder,
    are_of_different_eras: AreOfDifferentEras,
) -> bool {
    let is_same_content = record.target == known.order.target.as_str()
        && record.duration_ms == known.order.duration.as_millis() as u64;
    record.order == known.version.0
        || is_same_content && are_of_different_eras(Version(record.order), known.version)
}

/// Returns the record of a verdict that this node has heard, if it is about the target of `known`.
pub(super) fn heard_verdict(
    heard: &HeardRollout,
    known: &KnownOrder,
    now: UnixMillis,
) -> Option<RolloutRecord> {
    let target = NameKey::of(known.order.target.as_str());
    let (state, share) = match heard.phase {
        RolloutPhase::Running => return None,
        RolloutPhase::Succeeded => (RolloutState::Succeeded, Share::ALL),
        RolloutPhase::RolledBack => (RolloutState::RolledBack, Share::default()),
    };
    let mut barred: Vec<u32> = heard.barred.iter().map(|version| version.0).collect();
    if state == RolloutState::RolledBack && !barred.contains(&target.0) {
        barred.push(target.0);
    }
    (heard.target == target).then(|| RolloutRecord {
        state,
        reason: "told by an earlier controller".to_owned(),
        share: share.0,
        order: heard.order,
        ..new_record(known, barred, now)
    })
}

/// Returns the record of a rollout that begins.
pub(super) fn new_record(known: &KnownOrder, barred: Vec<u32>, now: UnixMillis) -> RolloutRecord {
    let age = known.read_at.elapsed();
    RolloutRecord {
        target: known.order.target.as_str().to_owned(),
        order: known.version.0,
        since: UnixMillis(now.0.saturating_sub(age.as_millis() as u64)),
        duration_ms: known.order.duration.as_millis() as u64,
        state: RolloutState::Running,
        reason: String::new(),
        share: 0,
        attempts: 0,
        target_attempts: 0,
        barred,
        fencing: FencingNumber::default(),
    }
}

/// Returns the versions that get no requests in the next rollout. Those that a target replaced may serve
/// again.
pub(super) fn barred_after(record: &RolloutRecord) -> Vec<u32> {
    match record.state {
        RolloutState::Succeeded => Vec::new(),
        RolloutState::Running | RolloutState::RolledBack => record.barred.clone(),
    }
}
