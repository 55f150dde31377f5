//! Wire types of the HTTP adapter.

use std::fmt::Write as _;

use base64::{Engine as _, engine::general_purpose::STANDARD as BASE64};
use bytes::Bytes;
use http::{HeaderMap, HeaderValue, header};
use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error as _};
use verbenahead_core::VmId;

use crate::table::{Condition, Mutation, Refusal, Row, Version, Write};

/// `Value` is a value of a row, in base64 on the wire.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Value(pub Bytes);

impl Serialize for Value {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&BASE64.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for Value {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        let bytes = BASE64.decode(text).map_err(D::Error::custom)?;
        Ok(Self(bytes.into()))
    }
}

/// `RowBody` is a row with its version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowBody {
    /// Version of the row.
    pub version: Version,
    /// Value of the row.
    pub value: Value,
}

impl From<Row> for RowBody {
    fn from(row: Row) -> Self {
        Self {
            version: row.version,
            value: Value(row.value),
        }
    }
}

impl From<RowBody> for Row {
    fn from(body: RowBody) -> Self {
        Self {
            version: body.version,
            value: body.value.0,
        }
    }
}

/// `ListedRow` is a row with its key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedRow {
    /// Key within the table.
    pub key: String,
    /// The row.
    #[serde(flatten)]
    pub row: RowBody,
}

/// `RowList` answers `GET /v1/table/{table}`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowList {
    /// Rows in the order of their keys.
    pub rows: Vec<ListedRow>,
}

/// `ConditionBody` is the condition of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConditionBody {
    /// The row does not exist.
    Absent,
    /// The row exists with this version.
    VersionIs(Version),
    /// Nothing is required.
    Always,
}

impl From<Condition> for ConditionBody {
    fn from(condition: Condition) -> Self {
        match condition {
            Condition::Absent => Self::Absent,
            Condition::VersionIs(version) => Self::VersionIs(version),
            Condition::Always => Self::Always,
        }
    }
}

impl From<ConditionBody> for Condition {
    fn from(body: ConditionBody) -> Self {
        match body {
            ConditionBody::Absent => Self::Absent,
            ConditionBody::VersionIs(version) => Self::VersionIs(version),
            ConditionBody::Always => Self::Always,
        }
    }
}

/// `MutationBody` is what a write does to its row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MutationBody {
    /// Sets the value.
    Put(Value),
    /// Deletes the row.
    Delete,
    /// Only checks the condition.
    Check,
}

impl From<Mutation> for MutationBody {
    fn from(mutation: Mutation) -> Self {
        match mutation {
            Mutation::Put(value) => Self::Put(Value(value)),
            Mutation::Delete => Self::Delete,
            Mutation::Check => Self::Check,
        }
    }
}

impl From<MutationBody> for Mutation {
    fn from(body: MutationBody) -> Self {
        match body {
            MutationBody::Put(value) => Self::Put(value.0),
            MutationBody::Delete => Self::Delete,
            MutationBody::Check => Self::Check,
        }
    }
}

/// `WriteBody` is one write of a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WriteBody {
    /// Name of the table.
    pub table: String,
    /// Key within the table.
    pub key: String,
    /// Condition on the row.
    pub condition: ConditionBody,
    /// Change to the row.
    pub mutation: MutationBody,
}

impl From<Write> for WriteBody {
    fn from(write: Write) -> Self {
        Self {
            table: write.key.table.0.to_owned(),
            key: write.key.key,
            condition: write.condition.into(),
            mutation: write.mutation.into(),
        }
    }
}

/// `TransactionBody` is the body of `POST /v1/transactions`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TransactionBody {
    /// Writes of which all or none take effect.
    pub writes: Vec<WriteBody>,
}

/// `TransactionDone` answers a transaction that took effect.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TransactionDone {
    /// New version of each row, in the order of the writes.
    pub versions: Vec<Version>,
}

/// `RefusalBody` comes with status 412.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusalBody {
    /// Index of the first write whose condition did not hold.
    pub index: usize,
    /// The row as it is, if it exists.
    pub actual: Option<RowBody>,
}

impl From<Refusal> for RefusalBody {
    fn from(refusal: Refusal) -> Self {
        Self {
            index: refusal.index,
            actual: refusal.actual.map(RowBody::from),
        }
    }
}

impl From<RefusalBody> for Refusal {
    fn from(body: RefusalBody) -> Self {
        Self {
            index: body.index,
            actual: body.actual.map(Row::from),
        }
    }
}

/// `StartedBody` answers `POST /v1/vms`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartedBody {
    /// Id of the VM that starts.
    pub vm: VmId,
}

/// `StartRefusedBody` comes with status 409, when the cloud has no such VM at present.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartRefusedBody {
    /// Why the start was refused.
    pub reason: String,
}

/// Returns the path of a row.
pub fn row_path(table: &str, key: &str) -> String {
    format!(
        "/v1/table/{}/{}",
        percent_encode(table),
        percent_encode(key)
    )
}

/// Returns the text with all bytes percent-encoded that are not unreserved. Full stops are encoded
/// too, so that no path segment is read as `.` or `..`.
pub fn percent_encode(text: &str) -> String {
    let mut encoded = String::with_capacity(text.len());
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'~') {
            encoded.push(char::from(byte));
        } else {
            let _ = write!(encoded, "%{byte:02X}");
        }
    }
    encoded
}

/// Returns the entity tag of a version.
pub fn entity_tag(version: Version) -> HeaderValue {
    HeaderValue::try_from(format!("\"{version}\"")).expect("digits and quotes fit into a header")
}

/// Reads a version from an entity tag.
pub fn parse_entity_tag(value: &HeaderValue) -> Option<Version> {
    let text = value.to_str().ok()?;
    let digits = text.strip_prefix('"')?.strip_suffix('"')?;
    digits.parse().ok().map(Version)
}

/// Returns the header fields that express a condition.
pub fn condition_headers(condition: Condition) -> HeaderMap {
    let mut headers = HeaderMap::new();
    match condition {
        Condition::Absent => {
            headers.insert(header::IF_NONE_MATCH, HeaderValue::from_static("*"));
        }
        Condition::VersionIs(version) => {
            headers.insert(header::IF_MATCH, entity_tag(version));
        }
        Condition::Always => {}
    }
    headers
}

/// Reads the condition that header fields express. Returns `None` if they are invalid.
pub fn parse_condition(headers: &HeaderMap) -> Option<Condition> {
    if let Some(value) = headers.get(header::IF_MATCH) {
        return parse_entity_tag(value).map(Condition::VersionIs);
    }
    match headers.get(header::IF_NONE_MATCH) {
        Some(value) => (value == "*").then_some(Condition::Absent),
        None => Some(Condition::Always),
    }
}
