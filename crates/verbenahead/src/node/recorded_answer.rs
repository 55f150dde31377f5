//! Conversion between replies of plain services and answers stored in the ledger.

use http::{HeaderMap, HeaderName, HeaderValue, StatusCode, header};
use verbenahead_state::ledger::{RecordedAnswer, RecordedBody, RecordedHeader};
use verbenahead_upstream::PlainReply;

/// Reply headers that are forwarded to callers.
pub const RETURNED_HEADERS: [HeaderName; 5] = [
    header::CONTENT_TYPE,
    header::CONTENT_LANGUAGE,
    header::ETAG,
    header::LAST_MODIFIED,
    header::LOCATION,
];

/// Converts a reply to the form that the ledger stores. Only the forwarded headers are kept.
pub fn record_reply(reply: &PlainReply) -> RecordedAnswer {
    let headers = RETURNED_HEADERS.iter().filter_map(|name| {
        let value = reply.headers.get(name)?.to_str().ok()?;
        Some(RecordedHeader {
            name: name.as_str().to_owned(),
            value: value.to_owned(),
        })
    });
    RecordedAnswer {
        status: reply.status.as_u16(),
        headers: headers.collect(),
        body: RecordedBody::Whole(reply.body.clone()),
    }
}

/// Converts a stored answer back to the reply of the upstream. Returns none when the body was not
/// stored.
pub fn replay(answer: RecordedAnswer) -> Option<PlainReply> {
    let RecordedBody::Whole(body) = answer.body else {
        return None;
    };
    let headers: HeaderMap = answer
        .headers
        .iter()
        .filter_map(|header| {
            let name = HeaderName::from_bytes(header.name.as_bytes()).ok()?;
            let value = HeaderValue::from_str(&header.value).ok()?;
            Some((name, value))
        })
        .collect();
    Some(PlainReply {
        status: StatusCode::from_u16(answer.status).ok()?,
        headers,
        body,
    })
}
