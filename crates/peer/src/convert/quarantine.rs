//! Conversions of messages about parts of prompts that crash replicas.

use verbenahead_core::{PartKey, QuarantinedPart, time::UnixMillis};
use verbenahead_membership::{CrashReport, NameKey, QuarantineMessage};

use super::{convert_all, required, try_convert_all};
use crate::{
    errors::Error,
    report_wire::{self as wire, quarantine_message::Body},
};

impl From<&QuarantineMessage> for wire::QuarantineMessage {
    fn from(message: &QuarantineMessage) -> Self {
        let keys = |parts: &[PartKey]| wire::PartKeys {
            parts: convert_all(parts.to_vec()),
        };
        let body = match message {
            QuarantineMessage::Crashes { number, crashes } => Body::Crashes(wire::CrashReports {
                number: *number,
                crashes: convert_all(crashes.clone()),
            }),
            QuarantineMessage::Received { number } => {
                Body::Received(wire::CrashesReceived { number: *number })
            }
            QuarantineMessage::Inquiry(parts) => Body::Inquiry(keys(parts)),
            QuarantineMessage::Sound(parts) => Body::Sound(keys(parts)),
            QuarantineMessage::Quarantined(parts) => Body::Quarantined(wire::QuarantinedParts {
                parts: convert_all(parts.clone()),
            }),
        };
        Self { body: Some(body) }
    }
}

impl TryFrom<wire::QuarantineMessage> for QuarantineMessage {
    type Error = Error;

    fn try_from(wire: wire::QuarantineMessage) -> Result<Self, Error> {
        Ok(match required("body of a quarantine message", wire.body)? {
            Body::Crashes(reports) => Self::Crashes {
                number: reports.number,
                crashes: convert_all(reports.crashes),
            },
            Body::Received(received) => Self::Received {
                number: received.number,
            },
            Body::Inquiry(keys) => Self::Inquiry(convert_all(keys.parts)),
            Body::Sound(keys) => Self::Sound(convert_all(keys.parts)),
            Body::Quarantined(parts) => Self::Quarantined(try_convert_all(parts.parts)?),
        })
    }
}

impl From<CrashReport> for wire::CrashReport {
    fn from(report: CrashReport) -> Self {
        Self {
            replica: report.replica.0,
            suspects: convert_all(report.suspects),
        }
    }
}

impl From<wire::CrashReport> for CrashReport {
    fn from(wire: wire::CrashReport) -> Self {
        Self {
            replica: NameKey(wire.replica),
            suspects: convert_all(wire.suspects),
        }
    }
}

impl From<PartKey> for wire::PartKey {
    fn from(key: PartKey) -> Self {
        Self {
            service: key.service,
            id: key.id,
        }
    }
}

impl From<wire::PartKey> for PartKey {
    fn from(wire: wire::PartKey) -> Self {
        Self {
            service: wire.service,
            id: wire.id,
        }
    }
}

impl From<QuarantinedPart> for wire::QuarantinedPart {
    fn from(quarantined: QuarantinedPart) -> Self {
        Self {
            part: Some(quarantined.part.into()),
            until: quarantined.until.0,
            times: quarantined.times,
        }
    }
}

impl TryFrom<wire::QuarantinedPart> for QuarantinedPart {
    type Error = Error;

    fn try_from(wire: wire::QuarantinedPart) -> Result<Self, Error> {
        Ok(Self {
            part: required("quarantined part", wire.part)?.into(),
            until: UnixMillis(wire.until),
            times: wire.times,
        })
    }
}
