//! The table service over HTTP.

use async_trait::async_trait;
use http::{Method, StatusCode, header};

use super::{
    platform::HttpPlatform,
    wire::{
        RefusalBody, RowList, TransactionBody, TransactionDone, WriteBody, condition_headers,
        parse_entity_tag, percent_encode, row_path,
    },
};
use crate::{
    calls::{Answer, CallResult, decode, read_error, unexpected_status, write_error},
    errors::{Error, Result},
    table::{Mutation, Row, RowKey, Table, TableName, Version, Write, WriteOutcome},
};

const SERVICE: &str = "table";

#[async_trait]
impl Table for HttpPlatform {
    async fn read(&self, key: &RowKey) -> Result<Option<Row>> {
        let path = row_path(key.table.0, &key.key);
        let answer = self.calls.send(Method::GET, &path).await;
        let answer = answer.map_err(|error| read_error(SERVICE, error))?;
        match answer.status {
            StatusCode::OK => {
                let version = answer_version(&answer)?;
                let value = answer.body;
                Ok(Some(Row { version, value }))
            }
            StatusCode::NOT_FOUND => Ok(None),
            _ => Err(unexpected_status(SERVICE, &answer)),
        }
    }

    async fn list(
        &self,
        table: TableName,
        prefix: &str,
        after: Option<&str>,
        limit: usize,
    ) -> Result<Vec<(String, Row)>> {
        let path = list_path(table, prefix, after, limit);
        let answer = self.calls.send(Method::GET, &path).await;
        let answer = answer.map_err(|error| read_error(SERVICE, error))?;
        if answer.status != StatusCode::OK {
            return Err(unexpected_status(SERVICE, &answer));
        }
        let list: RowList = decode(SERVICE, &answer)?;
        let rows = list.rows.into_iter();
        Ok(rows.map(|row| (row.key, row.row.into())).collect())
    }

    async fn write(&self, writes: Vec<Write>) -> WriteOutcome {
        match <[Write; 1]>::try_from(writes) {
            Ok([write]) if write.mutation != Mutation::Check => self.write_row(write).await,
            Ok([write]) => self.transact(vec![write]).await,
            Err(writes) => self.transact(writes).await,
        }
    }
}

impl HttpPlatform {
    async fn write_row(&self, write: Write) -> WriteOutcome {
        let path = row_path(write.key.table.0, &write.key.key);
        let headers = condition_headers(write.condition);
        let (method, body) = match write.mutation {
            Mutation::Put(value) => (Method::PUT, value),
            Mutation::Delete | Mutation::Check => (Method::DELETE, Default::default()),
        };
        let answer = self.calls.send_with(method, &path, headers, body).await;
        write_outcome(answer, 1, |answer| Ok(vec![answer_version(answer)?]))
    }

    async fn transact(&self, writes: Vec<Write>) -> WriteOutcome {
        let count = writes.len();
        let writes = writes.into_iter().map(WriteBody::from).collect();
        let body = TransactionBody { writes };
        let answer = self.calls.post("/v1/transactions", &body).await;
        write_outcome(answer, count, |answer| {
            let done: TransactionDone = decode(SERVICE, answer)?;
            Ok(done.versions)
        })
    }
}

fn write_outcome(
    answer: CallResult<Answer>,
    count: usize,
    versions: impl FnOnce(&Answer) -> Result<Vec<Version>>,
) -> WriteOutcome {
    let answer = match answer {
        Ok(answer) => answer,
        Err(error) => return write_error(error),
    };
    if answer.status == StatusCode::PRECONDITION_FAILED {
        return match decode::<RefusalBody>(SERVICE, &answer) {
            Ok(body) => WriteOutcome::Refused(body.into()),
            Err(error) => WriteOutcome::Unknown(error.to_string()),
        };
    }
    if !answer.status.is_success() {
        return WriteOutcome::Unknown(unexpected_status(SERVICE, &answer).to_string());
    }
    match versions(&answer) {
        Ok(versions) if versions.len() == count => WriteOutcome::Done(versions),
        Ok(_) => WriteOutcome::Unknown("the answer has another number of versions".to_owned()),
        Err(error) => WriteOutcome::Unknown(error.to_string()),
    }
}

fn answer_version(answer: &Answer) -> Result<Version> {
    answer
        .headers
        .get(header::ETAG)
        .and_then(parse_entity_tag)
        .ok_or_else(|| Error::malformed(SERVICE, "the entity tag is missing or not a number"))
}

fn list_path(table: TableName, prefix: &str, after: Option<&str>, limit: usize) -> String {
    let table = percent_encode(table.0);
    let prefix = percent_encode(prefix);
    let mut path = format!("/v1/table/{table}?prefix={prefix}&limit={limit}");
    if let Some(after) = after {
        path.push_str("&after=");
        path.push_str(&percent_encode(after));
    }
    path
}
