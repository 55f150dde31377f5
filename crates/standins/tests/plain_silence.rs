//! Tests of the client of plain services over connections that stay open but stop carrying bytes.

mod support;

use std::time::Duration;

use anyhow::Result;
use bytes::Bytes;
use futures_util::future::join_all;
use http::{HeaderMap, Method, StatusCode};
use support::registration;
use verbenahead_core::{Incarnation, UpstreamId};
use verbenahead_standins::{
    JsonClient, Server,
    booking::{self, BookingOptions, IDEMPOTENCY_KEY_HEADER, Runs},
    link::{Link, LinkChange, LinkMode, LinkOptions, NewConnections},
};
use verbenahead_upstream::{
    Connections, ConnectionsOptions, Error, PlainCall, PlainReply, PlainServiceClient,
    UpstreamAddress,
};

const OPEN_CONNECTIONS: usize = 8;
const LATER_CALLS: usize = 2 * OPEN_CONNECTIONS;
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
const MAX_ANSWER_BYTES: usize = 1024;

struct Fixture {
    service: Server,
    link: Link,
    client: PlainServiceClient,
    upstream: UpstreamAddress,
}

async fn start() -> Result<Fixture> {
    let service = booking::start(BookingOptions::new(registration("desk-1")?)).await?;
    let link = Link::start(LinkOptions::new(service.address())).await?;
    let connections = Connections::new(ConnectionsOptions::default());
    let upstream = UpstreamAddress {
        upstream: UpstreamId::try_new("desk-1")?,
        incarnation: Incarnation(1),
        address: link.address(),
    };
    Ok(Fixture {
        service,
        link,
        client: PlainServiceClient::new(connections, MAX_ANSWER_BYTES),
        upstream,
    })
}

impl Fixture {
    async fn read(&self) -> Result<PlainReply, Error> {
        let call = PlainCall {
            method: Method::GET,
            path_and_query: "/availability".to_owned(),
            headers: HeaderMap::new(),
            body: Bytes::new(),
            is_idempotent: true,
        };
        self.client.call(&self.upstream, &call, CALL_TIMEOUT).await
    }

    async fn book(&self, key: &'static str) -> Result<PlainReply, Error> {
        let mut headers = HeaderMap::new();
        headers.insert(IDEMPOTENCY_KEY_HEADER, http::HeaderValue::from_static(key));
        let call = PlainCall {
            method: Method::POST,
            path_and_query: "/bookings".to_owned(),
            headers,
            body: Bytes::from_static(b"chair 1"),
            is_idempotent: false,
        };
        self.client.call(&self.upstream, &call, CALL_TIMEOUT).await
    }

    /// Opens several connections, leaves them idle in the pool and silences them; new ones pass.
    async fn open_and_silence_connections(&self) -> Result<()> {
        for answer in join_all((0..OPEN_CONNECTIONS).map(|_| self.read())).await {
            answer?;
        }
        self.link.set(LinkChange {
            mode: LinkMode::Silent,
            new_connections: NewConnections::Pass,
            ..LinkChange::default()
        });
        Ok(())
    }
}

#[tokio::test]
async fn one_idempotent_call_fails_and_all_later_ones_use_new_connections() -> Result<()> {
    let fixture = start().await?;
    fixture.open_and_silence_connections().await?;

    let first = fixture.read().await;
    let mut later = Vec::new();
    for _ in 0..LATER_CALLS {
        later.push(fixture.read().await.map(|reply| reply.status));
    }

    assert!(first.is_err());
    assert!(later.iter().all(|status| *status == Ok(StatusCode::OK)));
    Ok(())
}

#[tokio::test]
async fn a_non_idempotent_call_never_uses_a_silent_connection() -> Result<()> {
    let fixture = start().await?;
    fixture.open_and_silence_connections().await?;

    let reply = fixture.book("k").await?;

    let control = JsonClient::new(fixture.service.address());
    let runs: Runs = control.get("/control/runs").await?;
    assert_eq!(reply.status, StatusCode::CREATED);
    assert_eq!(runs.runs.get("k"), Some(&1));
    Ok(())
}
