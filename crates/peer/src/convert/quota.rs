//! Conversions of messages about quotas.

use std::time::Duration;

use verbenahead_core::{Generation, units::Tokens};
use verbenahead_membership::{GrantDecision, GrantRequest, NameKey, QuotaMessage};

use crate::{
    errors::Error,
    report_wire::{self as wire, quota_message::Body},
};

impl From<&QuotaMessage> for wire::QuotaMessage {
    fn from(message: &QuotaMessage) -> Self {
        let (number, body) = match *message {
            QuotaMessage::Ask {
                number,
                is_repeat,
                hops,
                request,
            } => {
                let request = wire::GrantRequest {
                    repeat: is_repeat,
                    hops,
                    ..wire::GrantRequest::from(request)
                };
                (number, Body::Ask(request))
            }
            QuotaMessage::Answer { number, decision } => (number, Body::Answer(decision.into())),
            QuotaMessage::PassedOn { number } => (number, Body::PassedOn(wire::PassedOn {})),
            QuotaMessage::Probe { number } => (number, Body::Probe(wire::Probe {})),
            QuotaMessage::Refund { quota, units } => {
                let refund = wire::Refund {
                    quota: quota.0,
                    units: units.0,
                };
                (0, Body::Refund(refund))
            }
        };
        Self {
            number,
            body: Some(body),
        }
    }
}

impl TryFrom<wire::QuotaMessage> for QuotaMessage {
    type Error = Error;

    fn try_from(wire: wire::QuotaMessage) -> Result<Self, Error> {
        let number = wire.number;
        let body = wire
            .body
            .ok_or_else(|| Error::malformed("quota message", "no body".to_owned()))?;
        Ok(match body {
            Body::Ask(ask) => Self::Ask {
                number,
                is_repeat: ask.repeat,
                hops: ask.hops,
                request: ask.try_into()?,
            },
            Body::Answer(decision) => Self::Answer {
                number,
                decision: decision.into(),
            },
            Body::PassedOn(_) => Self::PassedOn { number },
            Body::Probe(_) => Self::Probe { number },
            Body::Refund(refund) => Self::Refund {
                quota: NameKey(refund.quota),
                units: Tokens(refund.units),
            },
        })
    }
}

impl From<GrantRequest> for wire::GrantRequest {
    fn from(request: GrantRequest) -> Self {
        Self {
            quota: request.quota.0,
            units: request.units.0,
            rate: request.rate,
            burst: request.burst,
            generation: request.generation.0,
            repeat: false,
            hops: 0,
            admitted: request.is_admitted,
            caller: request.caller.map_or(0, |caller| caller.0),
        }
    }
}

impl TryFrom<wire::GrantRequest> for GrantRequest {
    type Error = Error;

    fn try_from(wire: wire::GrantRequest) -> Result<Self, Error> {
        let is_valid = |value: f64| value.is_finite() && value >= 0.0;
        if !is_valid(wire.rate) || !is_valid(wire.burst) {
            let reason = format!("rate {} or burst {} of a quota", wire.rate, wire.burst);
            return Err(Error::malformed("grant request", reason));
        }
        Ok(Self {
            quota: NameKey(wire.quota),
            units: Tokens(wire.units),
            rate: wire.rate,
            burst: wire.burst,
            generation: Generation(wire.generation),
            is_admitted: wire.admitted,
            caller: (wire.caller != 0).then_some(NameKey(wire.caller)),
        })
    }
}

impl From<GrantDecision> for wire::GrantDecision {
    fn from(decision: GrantDecision) -> Self {
        let wait_ms = match decision {
            GrantDecision::UsedUp(wait) => wait.as_millis().clamp(1, u128::from(u32::MAX)) as u32,
            GrantDecision::Granted | GrantDecision::NoCollector => 0,
        };
        Self {
            granted: decision == GrantDecision::Granted,
            wait_ms,
        }
    }
}

impl From<wire::GrantDecision> for GrantDecision {
    fn from(wire: wire::GrantDecision) -> Self {
        match (wire.granted, wire.wait_ms) {
            (true, _) => Self::Granted,
            (false, 0) => Self::NoCollector,
            (false, wait_ms) => Self::UsedUp(Duration::from_millis(u64::from(wait_ms))),
        }
    }
}
