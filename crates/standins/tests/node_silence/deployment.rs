//! A node process whose platform, engine and booking service are stand-ins reached over links.

use std::{net::SocketAddr, process::Command, time::Duration};

use anyhow::{Result, bail};
use bytes::Bytes;
use http::{HeaderMap, Method};
use serde_json::json;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
    task::block_in_place,
    time::sleep,
};
use verbenahead_core::{Digest, Generation, ServiceId};
use verbenahead_services::{Platform, VmRecord, VmState};
use verbenahead_standins::{
    JsonClient, Process, Server,
    booking::{self, BookingOptions},
    client::Reply,
    engine::{self, EngineOptions, expected_answer},
    link::{Link, LinkChange, LinkMode, LinkOptions, NewConnections},
    process::workspace_program,
    registration::Registration,
};
use verbenahead_state::{
    ManifestStore, PublicationId, PublishOutcome, PublishRequest, RetryOptions, UnixMillis,
};

use crate::support::{LONG_TIMEOUT, adapter, registration, start_platform};

const EXAMPLE_MANIFEST: &str = include_str!("../../../../examples/manifest.jsonc");
const EXAMPLE_MAX_ANSWER_TOKENS: &str = "\"max_answer_tokens\": 4096";

/// Token limit large enough that an answer fills all buffers on its way to a caller that does not read.
const LARGE_MAX_ANSWER_TOKENS: &str = "\"max_answer_tokens\": 1000000";

/// Time after which the node drops a caller that does not read, in milliseconds.
const WRITE_STALL_MS: u64 = 1000;

const MODEL: &str = "draft-small";
const CALLER_KEY: &str = "crew-key";
const OPERATOR_KEY: &str = "room-key";
const MAX_TOKENS: u64 = 2048;
const LARGE_ANSWER_TOKENS: u64 = 1_000_000;
const POLL_PERIOD: Duration = Duration::from_millis(20);

/// A node with a platform, an engine and a booking service, each reached over its own link.
pub struct Deployment {
    pub platform: Server,
    pub engine: Server,
    pub booking: Server,
    pub platform_link: Link,
    pub engine_link: Link,
    pub booking_link: Link,
    pub callers: SocketAddr,
    _node: Process,
}

impl Deployment {
    /// Starts all servers and the node, and waits until the node is ready.
    pub async fn start(token_ms: u64) -> Result<Self> {
        let platform = start_platform().await?;
        let engine = engine::start(EngineOptions {
            token_ms,
            models: vec![MODEL.to_owned()],
            ..EngineOptions::new(registration("engine-1")?)
        })
        .await?;
        let booking = booking::start(BookingOptions::new(registration("desk-1")?)).await?;
        let engine_link = Link::start(LinkOptions::new(engine.address())).await?;
        let booking_link = Link::start(LinkOptions::new(booking.address())).await?;
        let platform_link = Link::start(LinkOptions::new(platform.address())).await?;
        register(&platform, "engine-1", "drafting", &engine_link).await?;
        register(&platform, "desk-1", "booking", &booking_link).await?;
        publish(&platform).await?;
        let node = block_in_place(|| start_node(platform_link.address()))?;
        wait_until_ready(node.address_of("operators")?).await;
        Ok(Self {
            platform,
            engine,
            booking,
            platform_link,
            engine_link,
            booking_link,
            callers: node.address_of("callers")?,
            _node: node,
        })
    }

    /// Sends a chat request and returns the complete text of the answer.
    pub async fn chat(&self, message: &str) -> Result<String> {
        let body = json!({
            "model": MODEL, "messages": [{ "role": "user", "content": message }],
            "max_tokens": MAX_TOKENS, "stream": false,
        });
        let headers = caller_headers()?;
        let path = "/v1/chat/completions";
        let reply = self
            .call(Method::POST, path, headers, body.to_string())
            .await?;
        if !reply.status.is_success() {
            bail!(
                "chat failed with {}: {}",
                reply.status,
                String::from_utf8_lossy(&reply.body)
            );
        }
        let answer: serde_json::Value = serde_json::from_slice(&reply.body)?;
        let text = answer["choices"][0]["message"]["content"].as_str();
        Ok(text.unwrap_or_default().to_owned())
    }

    /// Sends a streaming chat request over `link` and reads only the first byte of the response.
    pub async fn start_unread_chat(&self, link: &Link, message: &str) -> Result<TcpStream> {
        let body = json!({
            "model": MODEL, "messages": [{ "role": "user", "content": message }],
            "max_tokens": LARGE_ANSWER_TOKENS, "stream": true,
        })
        .to_string();
        let mut stream = TcpStream::connect(link.address()).await?;
        let head = format!(
            "POST /v1/chat/completions HTTP/1.1\r\nhost: node\r\n\
             authorization: Bearer {CALLER_KEY}\r\ncontent-type: application/json\r\n\
             content-length: {}\r\n\r\n",
            body.len()
        );
        stream.write_all(head.as_bytes()).await?;
        stream.write_all(body.as_bytes()).await?;
        stream.read_u8().await?;
        Ok(stream)
    }

    /// Sends a booking with an idempotency key.
    pub async fn book(&self, key: &str) -> Result<Reply> {
        let mut headers = caller_headers()?;
        headers.insert("idempotency-key", key.parse()?);
        let path = "/v1/services/booking/bookings";
        self.call(Method::POST, path, headers, "chair 1").await
    }

    /// Reads the availability from the booking service.
    pub async fn availability(&self) -> Result<Reply> {
        let path = "/v1/services/booking/availability";
        self.call(Method::GET, path, caller_headers()?, "").await
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        headers: HeaderMap,
        body: impl Into<Bytes>,
    ) -> Result<Reply> {
        let client = JsonClient::new(self.callers);
        client.call(method, path, headers, body).await
    }
}

/// Returns the expected answer to a chat message.
pub fn expected_text(message: &str) -> String {
    expected_answer(MODEL, &format!("user: {message}"), MAX_TOKENS).concat()
}

/// Silences the open connections of a link for good; new ones pass.
pub fn silence_open_connections(link: &Link, mode: LinkMode) {
    link.set(LinkChange {
        mode,
        new_connections: NewConnections::Pass,
        ..LinkChange::default()
    });
}

async fn register(platform: &Server, vm: &str, service: &str, link: &Link) -> Result<()> {
    let Registration {
        vm,
        incarnation,
        zone,
        class,
        market,
        ..
    } = registration(vm)?;
    let record = VmRecord {
        vm,
        incarnation,
        service: ServiceId::try_new(service)?,
        zone,
        address: link.address(),
        state: VmState::Live,
        class,
        market,
    };
    let client = JsonClient::new(platform.address());
    client
        .put(&format!("/control/vms/{}", record.vm), &record)
        .await
}

async fn publish(platform: &Server) -> Result<()> {
    let manifest = EXAMPLE_MANIFEST.replace(EXAMPLE_MAX_ANSWER_TOKENS, LARGE_MAX_ANSWER_TOKENS);
    let services = Platform::of(adapter(platform.address(), LONG_TIMEOUT)?);
    let store = ManifestStore::new(services.table, services.objects, RetryOptions::default());
    let req = PublishRequest {
        expect: Generation(0),
        publisher: "test".to_owned(),
        publication: PublicationId::random(&mut rand::rng()),
        now: UnixMillis::now(),
    };
    match store.publish(&req, Bytes::from(manifest)).await {
        PublishOutcome::Accepted(_) => Ok(()),
        other => bail!("the manifest was not published: {other:?}"),
    }
}

fn start_node(platform: SocketAddr) -> Result<Process> {
    let settings = json!({
        "node": "n1",
        "availability_zone": "a",
        "listeners": {
            "callers": "127.0.0.1:0", "operators": "127.0.0.1:0", "peers": "127.0.0.1:0",
        },
        "limits": { "write_stall_ms": WRITE_STALL_MS },
        "platform": { "kind": "http", "address": platform.to_string() },
        "peers": { "seeds": [], "plaintext_on_loopback": true },
        "operators": {
            "credentials": [{ "name": "room", "digest": Digest::of(OPERATOR_KEY).to_string() }],
        },
    });
    let mut command = Command::new(workspace_program("verbenahead")?);
    command
        .args(["node", "--settings", "env:NODE_SETTINGS"])
        .env("NODE_SETTINGS", settings.to_string());
    Process::start_command(command)
}

async fn wait_until_ready(operators: SocketAddr) {
    let client = JsonClient::new(operators);
    loop {
        let reply = client
            .call(Method::GET, "/readyz", HeaderMap::new(), Bytes::new())
            .await;
        if reply.is_ok_and(|reply| reply.status.is_success()) {
            return;
        }
        sleep(POLL_PERIOD).await;
    }
}

fn caller_headers() -> Result<HeaderMap> {
    let mut headers = HeaderMap::new();
    headers.insert("authorization", format!("Bearer {CALLER_KEY}").parse()?);
    headers.insert("content-type", "application/json".parse()?);
    Ok(headers)
}
