//! Conversions of messages about the load of replicas.

use std::time::Duration;

use verbenahead_core::units::Tokens;
use verbenahead_membership::{
    NameKey, ObservedLoad, PlacementBody, PlacementLoad, PlacementMessage, PromptProgress,
};

use super::required;
use crate::{
    errors::Error,
    report_wire::{self as wire, placement_message::Body},
};

impl From<&PlacementMessage> for wire::PlacementMessage {
    fn from(message: &PlacementMessage) -> Self {
        let body = match message.body {
            PlacementBody::Inquire => Body::Inquire(wire::PlacementInquiry {}),
            PlacementBody::Load(load) => Body::Load(wire::PlacementLoad {
                queued_ms: millis(load.queued),
                streams: load.streams,
                time_percent: load.time_percent,
                age_ms: load.stated_age.map(millis),
                complete: load.is_complete,
            }),
            PlacementBody::Placed { uncached, prompt } => Body::Placed(wire::PlacedPrompt {
                uncached: saturated(uncached),
                prompt: saturated(prompt),
            }),
            PlacementBody::Observed { progress, stated } => {
                Body::Observed(observed(progress, stated))
            }
        };
        Self {
            replica: message.replica.0,
            number: message.number,
            body: Some(body),
        }
    }
}

fn observed(progress: PromptProgress, stated: Option<ObservedLoad>) -> wire::ObservedLoad {
    let progress = match progress {
        PromptProgress::Queued => wire::PromptProgress::Queued,
        PromptProgress::Started => wire::PromptProgress::Started,
        PromptProgress::Ended => wire::PromptProgress::Ended,
    };
    wire::ObservedLoad {
        progress: progress.into(),
        running: stated.map(|load| load.running),
        waiting: stated.map_or(0, |load| load.waiting),
        time_percent: stated.map_or(0, |load| load.time_percent),
        age_ms: stated.map_or(0, |load| millis(load.age)),
    }
}

impl TryFrom<wire::PlacementMessage> for PlacementMessage {
    type Error = Error;

    fn try_from(wire: wire::PlacementMessage) -> Result<Self, Error> {
        let body = match required("body of a placement message", wire.body)? {
            Body::Inquire(_) => PlacementBody::Inquire,
            Body::Load(load) => PlacementBody::Load(PlacementLoad {
                queued: from_millis(load.queued_ms),
                streams: load.streams,
                time_percent: load.time_percent,
                stated_age: load.age_ms.map(from_millis),
                is_complete: load.complete,
            }),
            Body::Placed(placed) => PlacementBody::Placed {
                uncached: Tokens(placed.uncached.into()),
                prompt: Tokens(placed.prompt.into()),
            },
            Body::Observed(observed) => PlacementBody::Observed {
                progress: match observed.progress() {
                    wire::PromptProgress::Queued => PromptProgress::Queued,
                    wire::PromptProgress::Started => PromptProgress::Started,
                    wire::PromptProgress::Ended => PromptProgress::Ended,
                },
                stated: observed.running.map(|running| ObservedLoad {
                    running,
                    waiting: observed.waiting,
                    time_percent: observed.time_percent,
                    age: from_millis(observed.age_ms),
                }),
            },
        };
        Ok(Self {
            replica: NameKey(wire.replica),
            number: wire.number,
            body,
        })
    }
}

fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

fn from_millis(millis: u32) -> Duration {
    Duration::from_millis(millis.into())
}

fn saturated(tokens: Tokens) -> u32 {
    u32::try_from(tokens.0).unwrap_or(u32::MAX)
}
