//! Conversions of messages about rollouts.

use std::time::Duration;

use verbenahead_core::FencingNumber;
use verbenahead_membership::{
    NameKey, RolloutCounts, RolloutMessage, RolloutOutcomes, RolloutPhase, Share,
};

use super::{convert_all, try_convert_all};
use crate::{errors::Error, report_wire as wire};

/// Most buckets of times that are read.
const MAX_BUCKETS: usize = 64;

impl From<&RolloutMessage> for wire::RolloutMessage {
    fn from(message: &RolloutMessage) -> Self {
        Self {
            service: message.service.0,
            target: message.target.0,
            order: message.order,
            fencing: message.fencing.0,
            sequence: message.sequence,
            share: message.share.0.into(),
            validity_ms: millis(message.validity),
            phase: wire::RolloutPhase::from(message.phase).into(),
            barred: message.barred.iter().map(|key| key.0).collect(),
        }
    }
}

impl TryFrom<wire::RolloutMessage> for RolloutMessage {
    type Error = Error;

    fn try_from(wire: wire::RolloutMessage) -> Result<Self, Error> {
        let phase = wire::RolloutPhase::try_from(wire.phase)
            .map_err(|error| Error::malformed("phase of a rollout", error.to_string()))?;
        Ok(Self {
            service: NameKey(wire.service),
            target: NameKey(wire.target),
            order: wire.order,
            fencing: FencingNumber(wire.fencing),
            sequence: wire.sequence,
            share: share(wire.share)?,
            validity: Duration::from_millis(wire.validity_ms.into()),
            phase: phase.into(),
            barred: wire.barred.into_iter().map(NameKey).collect(),
        })
    }
}

impl From<RolloutPhase> for wire::RolloutPhase {
    fn from(phase: RolloutPhase) -> Self {
        match phase {
            RolloutPhase::Running => Self::Running,
            RolloutPhase::Succeeded => Self::Succeeded,
            RolloutPhase::RolledBack => Self::RolledBack,
        }
    }
}

impl From<wire::RolloutPhase> for RolloutPhase {
    fn from(wire: wire::RolloutPhase) -> Self {
        match wire {
            wire::RolloutPhase::Running => Self::Running,
            wire::RolloutPhase::Succeeded => Self::Succeeded,
            wire::RolloutPhase::RolledBack => Self::RolledBack,
        }
    }
}

impl From<RolloutCounts> for wire::RolloutCounts {
    fn from(counts: RolloutCounts) -> Self {
        Self {
            service: counts.service.0,
            order: counts.order,
            attempts: counts.attempts,
            target_attempts: counts.target_attempts,
            share: counts.share.0.into(),
            sequence: counts.sequence,
            open_old: counts.open_old,
            longest_ms: millis(counts.longest),
            outcomes: convert_all(counts.outcomes),
        }
    }
}

impl TryFrom<wire::RolloutCounts> for RolloutCounts {
    type Error = Error;

    fn try_from(wire: wire::RolloutCounts) -> Result<Self, Error> {
        Ok(Self {
            service: NameKey(wire.service),
            order: wire.order,
            attempts: wire.attempts,
            target_attempts: wire.target_attempts,
            share: share(wire.share)?,
            sequence: wire.sequence,
            open_old: wire.open_old,
            longest: Duration::from_millis(wire.longest_ms.into()),
            outcomes: try_convert_all(wire.outcomes)?,
        })
    }
}

impl From<RolloutOutcomes> for wire::RolloutOutcomes {
    fn from(outcomes: RolloutOutcomes) -> Self {
        Self {
            route: outcomes.route.0,
            target: outcomes.is_target,
            answered: outcomes.answered,
            failed: outcomes.failed,
            lost: outcomes.lost,
            times: outcomes.times,
        }
    }
}

impl TryFrom<wire::RolloutOutcomes> for RolloutOutcomes {
    type Error = Error;

    fn try_from(wire: wire::RolloutOutcomes) -> Result<Self, Error> {
        if wire.times.len() > MAX_BUCKETS {
            let reason = format!("{} buckets", wire.times.len());
            return Err(Error::malformed("outcomes of a rollout", reason));
        }
        Ok(Self {
            route: NameKey(wire.route),
            is_target: wire.target,
            answered: wire.answered,
            failed: wire.failed,
            lost: wire.lost,
            times: wire.times,
        })
    }
}

fn share(share: u32) -> Result<Share, Error> {
    let share = u16::try_from(share).ok().map(Share);
    let share = share.filter(|share| *share <= Share::ALL);
    share.ok_or_else(|| Error::malformed("share", "more than all requests"))
}

fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}
