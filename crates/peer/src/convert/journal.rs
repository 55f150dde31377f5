//! Conversions of journals.

use super::{decode_request_id, encode_request_id, parse_id, required};
use crate::{
    errors::{Error, Result},
    journal::{
        JournalAppend, JournalDrop, JournalRecord, JournalRefusal, JournalResult, JournalTakeOver,
    },
    wire::{
        self,
        journal_refusal::{Full, Gap, NotFound, Refusal, StaleEpoch},
        journal_response::Answer,
    },
};

impl From<JournalRecord> for wire::JournalRecord {
    fn from(record: JournalRecord) -> Self {
        Self {
            request: encode_request_id(record.request),
            workspace: record.workspace.into(),
            service: record.service.into(),
            owner: record.owner.into(),
            epoch: record.epoch,
            seed: record.seed,
            body: record.body,
            tokens: record.tokens,
            is_finished: record.is_finished,
        }
    }
}

impl TryFrom<wire::JournalRecord> for JournalRecord {
    type Error = Error;

    fn try_from(record: wire::JournalRecord) -> Result<Self> {
        Ok(Self {
            request: decode_request_id(&record.request)?,
            workspace: parse_id("workspace", record.workspace)?,
            service: parse_id("service", record.service)?,
            owner: parse_id("owner", record.owner)?,
            epoch: record.epoch,
            seed: record.seed,
            body: record.body,
            tokens: record.tokens,
            is_finished: record.is_finished,
        })
    }
}

impl From<JournalAppend> for wire::JournalAppend {
    fn from(append: JournalAppend) -> Self {
        Self {
            request: encode_request_id(append.request),
            epoch: append.epoch,
            position: append.position,
            tokens: append.tokens,
            is_finished: append.is_finished,
        }
    }
}

impl TryFrom<wire::JournalAppend> for JournalAppend {
    type Error = Error;

    fn try_from(append: wire::JournalAppend) -> Result<Self> {
        Ok(Self {
            request: decode_request_id(&append.request)?,
            epoch: append.epoch,
            position: append.position,
            tokens: append.tokens,
            is_finished: append.is_finished,
        })
    }
}

impl From<JournalDrop> for wire::JournalDrop {
    fn from(drop: JournalDrop) -> Self {
        Self {
            request: encode_request_id(drop.request),
            epoch: drop.epoch,
        }
    }
}

impl TryFrom<wire::JournalDrop> for JournalDrop {
    type Error = Error;

    fn try_from(drop: wire::JournalDrop) -> Result<Self> {
        Ok(Self {
            request: decode_request_id(&drop.request)?,
            epoch: drop.epoch,
        })
    }
}

impl From<JournalTakeOver> for wire::TakeOverJournalRequest {
    fn from(take_over: JournalTakeOver) -> Self {
        Self {
            request: encode_request_id(take_over.request),
            epoch: take_over.epoch,
            owner: take_over.owner.into(),
        }
    }
}

impl TryFrom<wire::TakeOverJournalRequest> for JournalTakeOver {
    type Error = Error;

    fn try_from(req: wire::TakeOverJournalRequest) -> Result<Self> {
        Ok(Self {
            request: decode_request_id(&req.request)?,
            epoch: req.epoch,
            owner: parse_id("owner", req.owner)?,
        })
    }
}

impl From<JournalRefusal> for wire::JournalRefusal {
    fn from(refusal: JournalRefusal) -> Self {
        let refusal = match refusal {
            JournalRefusal::NotFound => Refusal::NotFound(NotFound {}),
            JournalRefusal::StaleEpoch { current } => Refusal::StaleEpoch(StaleEpoch { current }),
            JournalRefusal::Gap { length } => Refusal::Gap(Gap { length }),
            JournalRefusal::Full => Refusal::Full(Full {}),
        };
        Self {
            refusal: Some(refusal),
        }
    }
}

impl TryFrom<wire::JournalRefusal> for JournalRefusal {
    type Error = Error;

    fn try_from(refusal: wire::JournalRefusal) -> Result<Self> {
        Ok(match required("refusal", refusal.refusal)? {
            Refusal::NotFound(_) => Self::NotFound,
            Refusal::StaleEpoch(stale) => Self::StaleEpoch {
                current: stale.current,
            },
            Refusal::Gap(gap) => Self::Gap { length: gap.length },
            Refusal::Full(_) => Self::Full,
        })
    }
}

impl From<JournalResult<JournalRecord>> for wire::JournalResponse {
    fn from(result: JournalResult<JournalRecord>) -> Self {
        let answer = match result {
            Ok(record) => Answer::Record(record.into()),
            Err(refusal) => Answer::Refusal(refusal.into()),
        };
        Self {
            answer: Some(answer),
        }
    }
}

impl TryFrom<wire::JournalResponse> for JournalResult<JournalRecord> {
    type Error = Error;

    fn try_from(response: wire::JournalResponse) -> Result<Self> {
        Ok(match required("answer", response.answer)? {
            Answer::Record(record) => Ok(record.try_into()?),
            Answer::Refusal(refusal) => Err(refusal.try_into()?),
        })
    }
}

/// Encodes the results of several changes.
pub(crate) fn encode_outcomes(results: Vec<JournalResult<()>>) -> Vec<wire::JournalOutcome> {
    let outcome = |result: JournalResult<()>| wire::JournalOutcome {
        refusal: result.err().map(Into::into),
    };
    results.into_iter().map(outcome).collect()
}

/// Decodes the outcomes of `expected` changes.
///
/// # Errors
///
/// [`Error::Malformed`] when the number differs or an outcome is malformed.
pub(crate) fn decode_outcomes(
    outcomes: Vec<wire::JournalOutcome>,
    expected: usize,
) -> Result<Vec<JournalResult<()>>> {
    if outcomes.len() != expected {
        let reason = format!("{} for {expected} changes", outcomes.len());
        return Err(Error::malformed("outcomes", reason));
    }
    outcomes.into_iter().map(decode_outcome).collect()
}

fn decode_outcome(outcome: wire::JournalOutcome) -> Result<JournalResult<()>> {
    outcome
        .refusal
        .map_or(Ok(Ok(())), |refusal| Ok(Err(refusal.try_into()?)))
}
