//! JSON encoding of the rows of the ledger.

use base64::{Engine, engine::general_purpose::STANDARD};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use verbenahead_core::{AttemptId, Digest, Incarnation, NodeId};

use crate::{
    errors::{Error, Result},
    ledger::record::{
        Claimant, LedgerRecord, RecordState, RecordedAnswer, RecordedBody, RecordedHeader,
    },
    time::UnixMillis,
};

#[derive(Debug, Serialize, Deserialize)]
struct WireRecord {
    fingerprint: Digest,
    attempt: AttemptId,
    node: NodeId,
    incarnation: Incarnation,
    began_at_ms: UnixMillis,
    claimable_from_ms: UnixMillis,
    expires_at_ms: UnixMillis,
    state: WireState,
}

#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum WireState {
    Claimed,
    Dispatched,
    Answered(WireAnswer),
    Released,
}

#[derive(Debug, Serialize, Deserialize)]
struct WireAnswer {
    status: u16,
    headers: Vec<(String, String)>,
    body: WireBody,
}

#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum WireBody {
    Base64(String),
    TooLarge(u64),
}

impl From<RecordedAnswer> for WireAnswer {
    fn from(answer: RecordedAnswer) -> Self {
        let headers = answer.headers.into_iter().map(|h| (h.name, h.value));
        let body = match answer.body {
            RecordedBody::Whole(body) => WireBody::Base64(STANDARD.encode(body)),
            RecordedBody::TooLarge { size } => WireBody::TooLarge(size),
        };
        Self {
            status: answer.status,
            headers: headers.collect(),
            body,
        }
    }
}

impl TryFrom<WireAnswer> for RecordedAnswer {
    type Error = Error;

    fn try_from(wire: WireAnswer) -> Result<Self> {
        let headers = wire.headers.into_iter();
        let body = match wire.body {
            WireBody::Base64(text) => STANDARD
                .decode(text)
                .map(|body| RecordedBody::Whole(Bytes::from(body)))
                .map_err(|err| Error::malformed("ledger row", err))?,
            WireBody::TooLarge(size) => RecordedBody::TooLarge { size },
        };
        Ok(Self {
            status: wire.status,
            headers: headers
                .map(|(name, value)| RecordedHeader { name, value })
                .collect(),
            body,
        })
    }
}

impl From<LedgerRecord> for WireRecord {
    fn from(record: LedgerRecord) -> Self {
        let state = match record.state {
            RecordState::Claimed => WireState::Claimed,
            RecordState::Dispatched => WireState::Dispatched,
            RecordState::Answered(answer) => WireState::Answered(answer.into()),
            RecordState::Released => WireState::Released,
        };
        Self {
            fingerprint: record.fingerprint,
            attempt: record.attempt,
            node: record.claimant.node,
            incarnation: record.claimant.incarnation,
            began_at_ms: record.began_at,
            claimable_from_ms: record.claimable_from,
            expires_at_ms: record.expires_at,
            state,
        }
    }
}

impl TryFrom<WireRecord> for LedgerRecord {
    type Error = Error;

    fn try_from(wire: WireRecord) -> Result<Self> {
        let state = match wire.state {
            WireState::Claimed => RecordState::Claimed,
            WireState::Dispatched => RecordState::Dispatched,
            WireState::Answered(answer) => RecordState::Answered(answer.try_into()?),
            WireState::Released => RecordState::Released,
        };
        Ok(Self {
            fingerprint: wire.fingerprint,
            attempt: wire.attempt,
            claimant: Claimant {
                node: wire.node,
                incarnation: wire.incarnation,
            },
            began_at: wire.began_at_ms,
            claimable_from: wire.claimable_from_ms,
            expires_at: wire.expires_at_ms,
            state,
        })
    }
}

/// Encodes a record as the value of a row.
pub fn encode(record: LedgerRecord) -> Bytes {
    let json = serde_json::to_vec(&WireRecord::from(record));
    Bytes::from(json.expect("a record serializes to JSON"))
}

/// Decodes a record from the value of a row.
///
/// # Errors
///
/// [`Error::Malformed`] when the value is not a record.
pub fn decode(value: &[u8]) -> Result<LedgerRecord> {
    let wire: WireRecord =
        serde_json::from_slice(value).map_err(|err| Error::malformed("ledger row", err))?;
    wire.try_into()
}
