//! Conversions of messages about replicas that fail part of their requests.

use std::time::Duration;

use verbenahead_membership::{FailureMessage, NameKey};

use super::required;
use crate::{
    errors::Error,
    report_wire::{self as wire, failure_message::Body},
};

impl From<&FailureMessage> for wire::FailureMessage {
    fn from(message: &FailureMessage) -> Self {
        let body = match message {
            FailureMessage::Failures { replica, count } => Body::Failures(wire::ReplicaFailures {
                replica: replica.0,
                failures: *count,
            }),
            FailureMessage::Pause { replica, duration } => Body::Pause(wire::ReplicaPause {
                replica: replica.0,
                duration_ms: u32::try_from(duration.as_millis()).unwrap_or(u32::MAX),
            }),
        };
        Self { body: Some(body) }
    }
}

impl TryFrom<wire::FailureMessage> for FailureMessage {
    type Error = Error;

    fn try_from(wire: wire::FailureMessage) -> Result<Self, Error> {
        Ok(match required("body of a failure message", wire.body)? {
            Body::Failures(failures) => Self::Failures {
                replica: NameKey(failures.replica),
                count: failures.failures,
            },
            Body::Pause(pause) => Self::Pause {
                replica: NameKey(pause.replica),
                duration: Duration::from_millis(pause.duration_ms.into()),
            },
        })
    }
}
