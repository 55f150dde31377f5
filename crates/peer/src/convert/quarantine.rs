//! Conversions of messages about content of requests that crashes replicas.

use verbenahead_core::{ContentKey, ContentKind, QuarantinedContent, time::UnixMillis};
use verbenahead_membership::{CrashReport, NameKey, QuarantineMessage};

use super::{convert_all, required, try_convert_all};
use crate::{
    errors::Error,
    report_wire::{self as wire, quarantine_message::Body},
};

impl From<&QuarantineMessage> for wire::QuarantineMessage {
    fn from(message: &QuarantineMessage) -> Self {
        let keys = |keys: &[ContentKey]| wire::ContentKeys {
            keys: convert_all(keys.to_vec()),
        };
        let body = match message {
            QuarantineMessage::Crashes { number, crashes } => Body::Crashes(wire::CrashReports {
                number: *number,
                crashes: convert_all(crashes.clone()),
            }),
            QuarantineMessage::Received { number } => {
                Body::Received(wire::CrashesReceived { number: *number })
            }
            QuarantineMessage::Inquiry(content) => Body::Inquiry(keys(content)),
            QuarantineMessage::Sound(content) => Body::Sound(keys(content)),
            QuarantineMessage::Quarantined(content) => {
                Body::Quarantined(wire::QuarantinedContentList {
                    entries: convert_all(content.clone()),
                })
            }
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
                crashes: try_convert_all(reports.crashes)?,
            },
            Body::Received(received) => Self::Received {
                number: received.number,
            },
            Body::Inquiry(content) => Self::Inquiry(try_convert_all(content.keys)?),
            Body::Sound(content) => Self::Sound(try_convert_all(content.keys)?),
            Body::Quarantined(list) => Self::Quarantined(try_convert_all(list.entries)?),
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

impl TryFrom<wire::CrashReport> for CrashReport {
    type Error = Error;

    fn try_from(wire: wire::CrashReport) -> Result<Self, Error> {
        Ok(Self {
            replica: NameKey(wire.replica),
            suspects: try_convert_all(wire.suspects)?,
        })
    }
}

impl From<ContentKind> for wire::ContentKind {
    fn from(kind: ContentKind) -> Self {
        match kind {
            ContentKind::PromptPart => Self::PromptPart,
            ContentKind::Request => Self::Request,
        }
    }
}

impl From<wire::ContentKind> for ContentKind {
    fn from(wire: wire::ContentKind) -> Self {
        match wire {
            wire::ContentKind::PromptPart => Self::PromptPart,
            wire::ContentKind::Request => Self::Request,
        }
    }
}

impl From<ContentKey> for wire::ContentKey {
    fn from(key: ContentKey) -> Self {
        Self {
            service: key.service,
            id: key.id,
            kind: wire::ContentKind::from(key.kind).into(),
        }
    }
}

impl TryFrom<wire::ContentKey> for ContentKey {
    type Error = Error;

    fn try_from(wire: wire::ContentKey) -> Result<Self, Error> {
        let kind = wire::ContentKind::try_from(wire.kind)
            .map_err(|error| Error::malformed("kind of content", error.to_string()))?;
        Ok(Self {
            service: wire.service,
            kind: kind.into(),
            id: wire.id,
        })
    }
}

impl From<QuarantinedContent> for wire::QuarantinedContent {
    fn from(quarantined: QuarantinedContent) -> Self {
        Self {
            key: Some(quarantined.key.into()),
            until: quarantined.until.0,
            times: quarantined.times,
        }
    }
}

impl TryFrom<wire::QuarantinedContent> for QuarantinedContent {
    type Error = Error;

    fn try_from(wire: wire::QuarantinedContent) -> Result<Self, Error> {
        Ok(Self {
            key: required("quarantined content", wire.key)?.try_into()?,
            until: UnixMillis(wire.until),
            times: wire.times,
        })
    }
}
