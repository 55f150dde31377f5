//! Publication and its read-back.

use bytes::Bytes;
use verbenahead_core::{Digest, Generation};
use verbenahead_services::{Condition, Mutation, Row, Write};

use crate::{
    conditional::{Written, write_until_known},
    errors::Result,
    manifest_store::{
        ManifestStore, body,
        head::{Head, PublicationId, decode, encode, head_key, history_key},
    },
    time::UnixMillis,
};

/// Most times that one publication starts over because the head row was rewritten unchanged.
const MAX_RESTARTS: usize = 8;

/// `PublishRequest` asks for a manifest to be accepted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PublishRequest {
    /// Generation that the publisher believes to be the head. Zero before the first publication.
    pub expect: Generation,
    /// Who publishes.
    pub publisher: String,
    /// Id of this try. It must be fresh.
    pub publication: PublicationId,
    /// Wall-clock time.
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

/// `PublishOutcome` is the answer to a publication.
#[must_use = "a publication may be in conflict, or its outcome may be unknown"]
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PublishOutcome {
    /// The manifest is accepted with this generation. A later one may stand already.
    Accepted(Head),
    /// Nothing was changed, because the head is another one. `None` is a head never published.
    Conflict(Option<Head>),
    /// Nothing was changed and nothing will be.
    NotAccepted(String),
    /// The manifest may or may not be accepted, or may still be.
    Unknown(UnknownPublication),
}

/// `UnknownPublication` is a publication whose outcome is to be read back.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnknownPublication {
    /// What the head would be.
    pub head: Head,
    /// What went wrong.
    pub reason: String,
}

/// `ReadBackOutcome` is the answer to the read-back of an unknown publication.
#[must_use = "the outcome may still be unknown"]
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReadBackOutcome {
    /// The manifest is accepted.
    Accepted(Head),
    /// The manifest is not accepted and will not be. Holds the head.
    NotAccepted(Option<Head>),
    /// The table gave no answer in time.
    Unknown(String),
}

/// What a try to write the head row came to.
enum Attempted {
    Finished(PublishOutcome),
    /// The write was refused: the head row was rewritten since it was read, perhaps by an earlier
    /// repetition of the same write.
    StartOver,
    /// The head could not be read.
    NoReading(String),
}

impl ManifestStore {
    /// Publishes a manifest whose text was found valid.
    pub async fn publish(&self, req: &PublishRequest, text: Bytes) -> PublishOutcome {
        let digest = Digest::of(&text);
        if let Err(err) = body::put(self.objects.as_ref(), digest, text, self.retry).await {
            return PublishOutcome::NotAccepted(err.to_string());
        }
        self.publish_stored(req, digest).await
    }

    /// Publishes an earlier generation's manifest again, as a new generation.
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
        for _ in 0..MAX_RESTARTS {
            match self.try_publish(req, &head).await {
                Attempted::Finished(outcome) => return outcome,
                Attempted::StartOver => may_apply = true,
                Attempted::NoReading(err) => {
                    reason = err;
                    break;
                }
            }
        }
        not_known(&head, reason, may_apply)
    }

    async fn try_publish(&self, req: &PublishRequest, head: &Head) -> Attempted {
        let (row, actual) = match self.head_row().await.and_then(with_head) {
            Ok(read) => read,
            Err(err) => return Attempted::NoReading(err.to_string()),
        };
        if generation_of(actual.as_ref()) != req.expect {
            return Attempted::Finished(self.after_conflict(head, actual).await);
        }
        match write_until_known(self.table.as_ref(), head_writes(head, row), self.retry).await {
            Written::Done(_) => Attempted::Finished(PublishOutcome::Accepted(head.clone())),
            Written::Refused(_) => Attempted::StartOver,
            Written::Unavailable { reason, may_apply } => {
                Attempted::Finished(not_known(head, reason, may_apply))
            }
        }
    }

    /// Decides after the head was found to be another than the expected one. An earlier try of
    /// this publication may have been accepted and followed by others.
    async fn after_conflict(&self, head: &Head, actual: Option<Head>) -> PublishOutcome {
        if generation_of(actual.as_ref()) < head.generation {
            return PublishOutcome::Conflict(actual);
        }
        match self.generation(head.generation).await {
            Ok(Some(accepted)) if accepted.publication == head.publication => {
                PublishOutcome::Accepted(accepted)
            }
            Ok(_) => PublishOutcome::Conflict(actual),
            Err(err) => not_known(head, err.to_string(), true),
        }
    }

    /// Finds out whether an unknown publication was accepted.
    ///
    /// When the head is still the expected one, the row is rewritten unchanged. A write of the
    /// publication that is still on its way is then refused.
    pub async fn read_back(&self, unknown: &UnknownPublication) -> ReadBackOutcome {
        for _ in 0..MAX_RESTARTS {
            match self.try_read_back(&unknown.head).await {
                Ok(Some(read_back)) => return read_back,
                Ok(None) => (),
                Err(err) => return ReadBackOutcome::Unknown(err.to_string()),
            }
        }
        ReadBackOutcome::Unknown("the head row changes too often".to_owned())
    }

    async fn try_read_back(&self, wanted: &Head) -> Result<Option<ReadBackOutcome>> {
        if let Some(accepted) = self.generation(wanted.generation).await? {
            if accepted.publication == wanted.publication {
                return Ok(Some(ReadBackOutcome::Accepted(accepted)));
            }
            return Ok(Some(ReadBackOutcome::NotAccepted(self.head().await?)));
        }
        let (row, actual) = with_head(self.head_row().await?)?;
        if generation_of(actual.as_ref()) >= wanted.generation {
            return Ok(None);
        }
        let rewrite = rewrite(wanted, row);
        match write_until_known(self.table.as_ref(), vec![rewrite], self.retry).await {
            Written::Done(_) => Ok(Some(ReadBackOutcome::NotAccepted(actual))),
            Written::Refused(_) => Ok(None),
            Written::Unavailable { reason, .. } => Ok(Some(ReadBackOutcome::Unknown(reason))),
        }
    }
}

/// Reads the head from its row, if one was accepted.
pub(crate) fn with_head(row: Option<Row>) -> Result<(Option<Row>, Option<Head>)> {
    let head = row.as_ref().map(|row| decode(&row.value)).transpose()?;
    let head = head.filter(|head| head.generation > Generation(0));
    Ok((row, head))
}

/// Returns a write that changes the version of the head row and nothing else. Before the first
/// publication, the row is written with generation zero.
fn rewrite(wanted: &Head, row: Option<Row>) -> Write {
    let none = Head {
        generation: Generation(0),
        ..wanted.clone()
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

fn not_known(head: &Head, reason: String, may_apply: bool) -> PublishOutcome {
    if !may_apply {
        return PublishOutcome::NotAccepted(reason);
    }
    PublishOutcome::Unknown(UnknownPublication {
        head: head.clone(),
        reason,
    })
}
