//! The HTTP client that the adapters share: pooled connections, time limits, and replacement of
//! connections that no longer answer.

use std::{
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use derive_more::Display;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use serde::{Serialize, de::DeserializeOwned};
use tokio::{sync::Semaphore, time::timeout};

use crate::{
    errors::{Error, Result},
    http::HttpPlatformOptions,
    table::WriteOutcome,
};

/// `CallResult` carries a [`CallError`].
pub type CallResult<T> = std::result::Result<T, CallError>;

/// Number of unanswered TCP keepalive probes after which a connection counts as dead.
const KEEPALIVE_PROBES: u32 = 2;

const JSON_TYPE: &str = "application/json";

type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// `CallError` says why a call got no answer.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum CallError {
    /// The request did not leave this process.
    NotSent(String),
    /// The request may have reached the platform.
    Unanswered(String),
}

/// `Answer` is a complete HTTP response of the platform.
#[derive(Debug)]
pub struct Answer {
    /// Status code.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
}

/// `Calls` is an HTTP client of one platform.
#[derive(Debug)]
pub struct Calls {
    options: HttpPlatformOptions,
    authorization: Option<HeaderValue>,
    slots: Semaphore,
    pool: Mutex<Arc<Pool>>,
}

/// `Pool` is a set of connections that are replaced together.
#[derive(Debug)]
struct Pool {
    client: HttpClient,
    has_answered: AtomicBool,
}

impl Pool {
    fn new(options: &HttpPlatformOptions) -> Arc<Self> {
        Arc::new(Self {
            client: new_client(options),
            has_answered: AtomicBool::new(false),
        })
    }
}

impl Calls {
    /// Builds a client that opens connections on demand.
    ///
    /// # Errors
    ///
    /// [`Error::InvalidOption`] when the connect timeout is not shorter than the call timeout, no
    /// connection is allowed, or the secret does not fit into a header.
    pub fn try_new(options: HttpPlatformOptions) -> Result<Self> {
        if options.connect_timeout >= options.call_timeout {
            return Err(Error::invalid_option(
                "connect_timeout",
                "it is not shorter than call_timeout",
            ));
        }
        if options.max_connections == 0 {
            return Err(Error::invalid_option("max_connections", "it is zero"));
        }
        Ok(Self {
            authorization: authorization(&options)?,
            slots: Semaphore::new(options.max_connections.min(Semaphore::MAX_PERMITS)),
            pool: Mutex::new(Pool::new(&options)),
            options,
        })
    }

    /// Sends a request without a body.
    pub async fn send(&self, method: Method, path: &str) -> CallResult<Answer> {
        self.send_with(method, path, HeaderMap::new(), Bytes::new())
            .await
    }

    /// Posts a JSON value.
    pub async fn post(&self, path: &str, value: &impl Serialize) -> CallResult<Answer> {
        let body = serde_json::to_vec(value)
            .map_err(|error| CallError::NotSent(error.to_string()))?
            .into();
        let mut headers = HeaderMap::new();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static(JSON_TYPE));
        self.send_with(Method::POST, path, headers, body).await
    }

    /// Sends a request and reads the whole answer.
    pub async fn send_with(
        &self,
        method: Method,
        path: &str,
        headers: HeaderMap,
        body: Bytes,
    ) -> CallResult<Answer> {
        let limit = self.options.call_timeout;
        self.send_within(limit, method, path, headers, body).await
    }

    /// Sends a request and reads the whole answer within `limit`, which replaces `call_timeout`.
    /// Long polls use it.
    pub async fn send_within(
        &self,
        limit: Duration,
        method: Method,
        path: &str,
        headers: HeaderMap,
        body: Bytes,
    ) -> CallResult<Answer> {
        let req = self.request(method, path, headers, body)?;
        let slot = timeout(self.options.connect_timeout, self.slots.acquire()).await;
        let Ok(Ok(_slot)) = slot else {
            let reason = "no free connection within the connect timeout";
            return Err(CallError::NotSent(reason.to_owned()));
        };
        let mut guard = PoolGuard {
            calls: self,
            pool: self.current_pool(),
            is_finished: false,
        };
        let exchange = self.exchange(&guard.pool, req);
        let Ok(result) = timeout(limit, exchange).await else {
            let reason = "no answer within the time limit of the call";
            return Err(CallError::Unanswered(reason.to_owned()));
        };
        guard.is_finished = true;
        if result.is_ok() {
            guard.pool.has_answered.store(true, Ordering::Relaxed);
        }
        result
    }

    async fn exchange(&self, pool: &Pool, req: Request<Full<Bytes>>) -> CallResult<Answer> {
        let response = pool.client.request(req).await.map_err(|error| {
            let reason = error_chain(&error);
            if error.is_connect() {
                CallError::NotSent(reason)
            } else {
                CallError::Unanswered(reason)
            }
        })?;
        self.read(response).await
    }

    async fn read(&self, response: Response<Incoming>) -> CallResult<Answer> {
        let (head, body) = response.into_parts();
        let limit = usize::try_from(self.options.max_body.0).unwrap_or(usize::MAX);
        let body = Limited::new(body, limit)
            .collect()
            .await
            .map_err(|error| CallError::Unanswered(error.to_string()))?
            .to_bytes();
        Ok(Answer {
            status: head.status,
            headers: head.headers,
            body,
        })
    }

    fn request(
        &self,
        method: Method,
        path: &str,
        headers: HeaderMap,
        body: Bytes,
    ) -> CallResult<Request<Full<Bytes>>> {
        let uri = format!("http://{}{path}", self.options.address);
        let mut req = Request::builder()
            .method(method)
            .uri(uri)
            .body(Full::new(body))
            .map_err(|error| CallError::NotSent(error.to_string()))?;
        *req.headers_mut() = headers;
        if let Some(value) = &self.authorization {
            req.headers_mut()
                .insert(header::AUTHORIZATION, value.clone());
        }
        Ok(req)
    }

    fn current_pool(&self) -> Arc<Pool> {
        Arc::clone(&self.pool.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Replaces the pool, unless another call has already done so. Its idle connections may be
    /// dead too, like the one that gave no answer.
    fn replace_pool(&self, used: &Arc<Pool>) {
        let mut current = self.pool.lock().unwrap_or_else(PoisonError::into_inner);
        if !Arc::ptr_eq(&current, used) {
            return;
        }
        *current = Pool::new(&self.options);
        // While the platform does not answer at all, only the first call is logged.
        if used.has_answered.load(Ordering::Relaxed) {
            tracing::warn!(
                address = %self.options.address,
                "platform call without an answer, connections replaced",
            );
        }
    }
}

/// `PoolGuard` replaces the pool when its call is dropped without an answer, because of its own
/// time limit or that of its caller.
struct PoolGuard<'a> {
    calls: &'a Calls,
    pool: Arc<Pool>,
    is_finished: bool,
}

impl Drop for PoolGuard<'_> {
    fn drop(&mut self) {
        if !self.is_finished {
            self.calls.replace_pool(&self.pool);
        }
    }
}

/// Converts the failure of a read into an [`Error`].
pub fn read_error(service: &'static str, error: CallError) -> Error {
    Error::unavailable(service, error)
}

/// Returns the error for an answer with a status that the adapter does not expect.
pub fn unexpected_status(service: &'static str, answer: &Answer) -> Error {
    if answer.status.is_server_error() || answer.status == StatusCode::TOO_MANY_REQUESTS {
        return Error::unavailable(service, format!("status {}", answer.status));
    }
    Error::malformed(service, format!("status {}", answer.status))
}

/// Reads the body of an answer as JSON.
///
/// # Errors
///
/// [`Error::Malformed`] when the body is not the expected JSON.
pub fn decode<T: DeserializeOwned>(service: &'static str, answer: &Answer) -> Result<T> {
    serde_json::from_slice(&answer.body).map_err(|error| Error::malformed(service, error))
}

/// Converts the failure of a write into its outcome.
pub fn write_error(error: CallError) -> WriteOutcome {
    match error {
        CallError::NotSent(reason) => WriteOutcome::NotSent(reason),
        CallError::Unanswered(reason) => WriteOutcome::Unknown(reason),
    }
}

fn new_client(options: &HttpPlatformOptions) -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_connect_timeout(Some(options.connect_timeout));
    connector.set_nodelay(true);
    let keepalive_interval = options.silence_timeout / (KEEPALIVE_PROBES + 1);
    connector.set_keepalive(Some(keepalive_interval));
    connector.set_keepalive_interval(Some(keepalive_interval));
    connector.set_keepalive_retries(Some(KEEPALIVE_PROBES));
    connector.set_tcp_user_timeout(Some(options.silence_timeout));
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(options.idle_timeout)
        .pool_max_idle_per_host(options.max_connections)
        .build(connector)
}

fn authorization(options: &HttpPlatformOptions) -> Result<Option<HeaderValue>> {
    let Some(secret) = &options.secret else {
        return Ok(None);
    };
    let mut value = HeaderValue::try_from(format!("Bearer {}", secret.expose())).map_err(|_| {
        Error::invalid_option("secret", "it has characters that no header may have")
    })?;
    value.set_sensitive(true);
    Ok(Some(value))
}

fn error_chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        source = cause.source();
    }
    text
}
