//! Publication of manifests and read-back of publications with an unknown outcome.

use bytes::Bytes;
use verbenahead_core::{Digest, Generation};
use verbenahead_services::{Condition, Mutation, Row, Write};

use crate::{
    errors::Result,
    manifest_store::{
        ManifestStore, body,
        head::{Head, PublicationId, decode, encode, head_key, history_key},
    },
    retry::{WriteResult, write_with_retries},
    time::UnixMillis,
};

/// Maximum number of attempts to write the head row. An attempt is repeated when the row has been
/// rewritten without changing its generation.
const MAX_ATTEMPTS: usize = 8;

/// `PublishRequest` describes a publication.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PublishRequest {
    /// Generation that the publisher expects the head to have. Zero before the first publication.
    pub expect: Generation,
    /// Publisher.
    pub publisher: String,
    /// Id of this publication attempt. It must not have been used before.
    pub publication: PublicationId,
    /// Current wall-clock time.
    pub now: UnixMillis,
}

impl PublishRequest {
    fn head(&self, digest: Digest) -> Head {
        Head {
            generation: self.expect.next(),
            digest,
            publisher: self.publisher.clone(),
            publication: self.publication,
            published_at: self.now,
        }
    }
}

/// `PublishOutcome` is the result of a publication.
#[must_use = "a publication may be in conflict, or its outcome may be unknown"]
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PublishOutcome {
    /// The manifest is accepted. A later generation may already exist.
    Accepted(Head),
    /// Nothing was changed, because the head is not the expected one. Holds the head, or `None`
    /// before the first publication.
    Conflict(Option<Head>),
    /// Nothing was changed, and the publication will not take effect later. Holds the reason.
    NotAccepted(String),
    /// The manifest may have been accepted or may still be accepted.
    Unknown(UnknownPublication),
}

/// `UnknownPublication` is a publication whose outcome has to be read back.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnknownPublication {
    /// Head that the publication tried to write.
    pub head: Head,
    /// Reason why the outcome is unknown.
    pub reason: String,
}

/// `ReadBackOutcome` is the result of [`ManifestStore::read_back`].
#[must_use = "the outcome may still be unknown"]
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReadBackOutcome {
    /// The manifest was accepted.
    Accepted(Head),
    /// The manifest was not accepted and will not be. Holds the current head.
    NotAccepted(Option<Head>),
    /// The table did not answer in time, or the head row changed too often. Holds the reason.
    Unknown(String),
}

/// `WriteAttempt` is the result of one attempt to write the head row.
enum WriteAttempt {
    Finished(PublishOutcome),
    /// The write was refused because the head row has changed since it was read, possibly by an
    /// earlier try of the same write.
    Retry,
    /// The head could not be read.
    HeadNotRead(String),
}

impl ManifestStore {
    /// Publishes the text of a manifest, which the caller has found valid.
    pub async fn publish(&self, req: &PublishRequest, text: Bytes) -> PublishOutcome {
        let digest = Digest::of(&text);
        if let Err(err) = body::put(self.objects.as_ref(), digest, text, self.retry).await {
            return PublishOutcome::NotAccepted(err.to_string());
        }
        self.publish_stored(req, digest).await
    }

    /// Publishes the manifest of an earlier generation again, as a new generation.
    pub async fn roll_back(&self, req: &PublishRequest, to: Generation) -> PublishOutcome {
        let digest = match self.generation(to).await {
            Ok(Some(head)) => head.digest,
            Ok(None) => return PublishOutcome::NotAccepted(format!("no generation {to}")),
            Err(err) => return PublishOutcome::NotAccepted(err.to_string()),
        };
        if let Err(err) = self.body(digest).await {
            return PublishOutcome::NotAccepted(err.to_string());
        }
        self.publish_stored(req, digest).await
    }

    async fn publish_stored(&self, req: &PublishRequest, digest: Digest) -> PublishOutcome {
        let head = req.head(digest);
        let mut reason = "the head row changes too often".to_owned();
        let mut may_apply = false;
        for _ in 0..MAX_ATTEMPTS {
            match self.try_publish(req, &head).await {
                WriteAttempt::Finished(outcome) => return outcome,
                WriteAttempt::Retry => may_apply = true,
                WriteAttempt::HeadNotRead(err) => {
                    reason = err;
                    break;
                }
            }
        }
        unavailable_outcome(&head, reason, may_apply)
    }

    async fn try_publish(&self, req: &PublishRequest, head: &Head) -> WriteAttempt {
        let (row, actual) = match self.head_row().await.and_then(decode_head_row) {
            Ok(read) => read,
            Err(err) => return WriteAttempt::HeadNotRead(err.to_string()),
        };
        if generation_of(actual.as_ref()) != req.expect {
            return WriteAttempt::Finished(self.resolve_conflict(head, actual).await);
        }
        match write_with_retries(self.table.as_ref(), head_writes(head, row), self.retry).await {
            WriteResult::Done(_) => WriteAttempt::Finished(PublishOutcome::Accepted(head.clone())),
            WriteResult::Refused(_) => WriteAttempt::Retry,
            WriteResult::Unavailable { reason, may_apply } => {
                WriteAttempt::Finished(unavailable_outcome(head, reason, may_apply))
            }
        }
    }

    /// Returns the outcome after the head was found not to be the expected one. An earlier attempt
    /// of this publication may have been accepted, and later publications may have followed.
    async fn resolve_conflict(&self, head: &Head, actual: Option<Head>) -> PublishOutcome {
        if generation_of(actual.as_ref()) < head.generation {
            return PublishOutcome::Conflict(actual);
        }
        match self.generation(head.generation).await {
            Ok(Some(accepted)) if accepted.publication == head.publication => {
                PublishOutcome::Accepted(accepted)
            }
            Ok(_) => PublishOutcome::Conflict(actual),
            Err(err) => unavailable_outcome(head, err.to_string(), true),
        }
    }

    /// Determines whether an unknown publication was accepted.
    ///
    /// When the head is still the expected one, the row is rewritten unchanged, so that a delayed
    /// write of the publication is refused.
    pub async fn read_back(&self, unknown: &UnknownPublication) -> ReadBackOutcome {
        for _ in 0..MAX_ATTEMPTS {
            match self.try_read_back(&unknown.head).await {
                Ok(Some(read_back)) => return read_back,
                Ok(None) => (),
                Err(err) => return ReadBackOutcome::Unknown(err.to_string()),
            }
        }
        ReadBackOutcome::Unknown("the head row changes too often".to_owned())
    }

    async fn try_read_back(&self, attempted: &Head) -> Result<Option<ReadBackOutcome>> {
        if let Some(accepted) = self.generation(attempted.generation).await? {
            if accepted.publication == attempted.publication {
                return Ok(Some(ReadBackOutcome::Accepted(accepted)));
            }
            return Ok(Some(ReadBackOutcome::NotAccepted(self.head().await?)));
        }
        let (row, actual) = decode_head_row(self.head_row().await?)?;
        if generation_of(actual.as_ref()) >= attempted.generation {
            return Ok(None);
        }
        let rewrite = rewrite_unchanged(attempted, row);
        match write_with_retries(self.table.as_ref(), vec![rewrite], self.retry).await {
            WriteResult::Done(_) => Ok(Some(ReadBackOutcome::NotAccepted(actual))),
            WriteResult::Refused(_) => Ok(None),
            WriteResult::Unavailable { reason, .. } => Ok(Some(ReadBackOutcome::Unknown(reason))),
        }
    }
}

/// Decodes the head row. The head is `None` before the first publication.
pub(crate) fn decode_head_row(row: Option<Row>) -> Result<(Option<Row>, Option<Head>)> {
    let head = row.as_ref().map(|row| decode(&row.value)).transpose()?;
    let head = head.filter(|head| head.generation > Generation(0));
    Ok((row, head))
}

/// Returns a write that changes only the version of the head row. Before the first publication,
/// the row is written with generation zero.
fn rewrite_unchanged(attempted: &Head, row: Option<Row>) -> Write {
    let none = Head {
        generation: Generation(0),
        ..attempted.clone()
    };
    let (condition, value) = match row {
        Some(row) => (Condition::VersionIs(row.version), row.value),
        None => (Condition::Absent, encode(&none)),
    };
    Write {
        key: head_key(),
        condition,
        mutation: Mutation::Put(value),
    }
}

fn generation_of(head: Option<&Head>) -> Generation {
    head.map(|head| head.generation).unwrap_or_default()
}

fn head_writes(head: &Head, row: Option<Row>) -> Vec<Write> {
    let condition = row.map_or(Condition::Absent, |row| Condition::VersionIs(row.version));
    let value = Mutation::Put(encode(head));
    vec![
        Write {
            key: head_key(),
            condition,
            mutation: value.clone(),
        },
        Write {
            key: history_key(head.generation),
            condition: Condition::Absent,
            mutation: value,
        },
    ]
}

fn unavailable_outcome(head: &Head, reason: String, may_apply: bool) -> PublishOutcome {
    if !may_apply {
        return PublishOutcome::NotAccepted(reason);
    }
    PublishOutcome::Unknown(UnknownPublication {
        head: head.clone(),
        reason,
    })
}
