//! Conversions of messages about the software versions at which streams began.

use verbenahead_membership::{NameKey, OriginMessage, StreamKey, StreamOrigin};

use super::required;
use crate::{
    errors::Error,
    report_wire::{self as wire, origin_message::Body},
};

impl From<&OriginMessage> for wire::OriginMessage {
    fn from(message: &OriginMessage) -> Self {
        let (number, body) = match message {
            OriginMessage::Began { stream, version } => {
                let origin = wire::StreamOrigin {
                    stream: stream.0,
                    version: version.0,
                };
                (0, Body::Began(origin))
            }
            OriginMessage::Ask { number, stream } => (*number, Body::Ask(stream.0)),
            OriginMessage::Answer { number, version } => {
                let version = version.map(|version| version.0);
                (*number, Body::Answer(wire::OriginAnswer { version }))
            }
            OriginMessage::Open(origins) => {
                let open = wire::OpenStreams {
                    streams: origins.iter().map(|origin| origin.stream.0).collect(),
                    versions: origins.iter().map(|origin| origin.version.0).collect(),
                };
                (0, Body::Open(open))
            }
        };
        Self {
            number,
            body: Some(body),
        }
    }
}

impl TryFrom<wire::OriginMessage> for OriginMessage {
    type Error = Error;

    fn try_from(wire: wire::OriginMessage) -> Result<Self, Error> {
        let number = wire.number;
        Ok(match required("body of an origin message", wire.body)? {
            Body::Began(origin) => Self::Began {
                stream: StreamKey(origin.stream),
                version: NameKey(origin.version),
            },
            Body::Ask(stream) => Self::Ask {
                number,
                stream: StreamKey(stream),
            },
            Body::Answer(answer) => Self::Answer {
                number,
                version: answer.version.map(NameKey),
            },
            Body::Open(open) => Self::Open(open_streams(open)?),
        })
    }
}

fn open_streams(open: wire::OpenStreams) -> Result<Vec<StreamOrigin>, Error> {
    if open.streams.len() != open.versions.len() {
        let counts = format!(
            "{} streams with {} versions",
            open.streams.len(),
            open.versions.len()
        );
        return Err(Error::malformed("open streams", counts));
    }
    let pairs = open.streams.into_iter().zip(open.versions);
    let origins = pairs.map(|(stream, version)| StreamOrigin {
        stream: StreamKey(stream),
        version: NameKey(version),
    });
    Ok(origins.collect())
}
