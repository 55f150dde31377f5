//! Calls over pooled connections, with time limits and replacement of silent connections.

use std::sync::{
    Arc, Mutex, PoisonError,
    atomic::{AtomicBool, Ordering},
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
use serde::Serialize;
use tokio::{sync::Semaphore, time::timeout};

use super::options::HttpPlatformOptions;
use crate::errors::{Error, Result};

/// `CallResult` carries a [`CallError`].
pub(super) type CallResult<T> = std::result::Result<T, CallError>;

const JSON_TYPE: &str = "application/json";

type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// `CallError` tells why a call has no answer.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub(super) enum CallError {
    /// The request did not leave this process.
    NotSent(String),
    /// The request may have reached the platform.
    Unanswered(String),
}

/// `Answer` is a complete answer of the platform.
#[derive(Debug)]
pub(super) struct Answer {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
}

/// `Calls` sends requests to the platform.
#[derive(Debug)]
pub(super) struct Calls {
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
    pub(super) fn try_new(options: HttpPlatformOptions) -> Result<Self> {
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
    pub(super) async fn send(&self, method: Method, path: &str) -> CallResult<Answer> {
        self.send_with(method, path, HeaderMap::new(), Bytes::new())
            .await
    }

    /// Posts a JSON value.
    pub(super) async fn post(&self, path: &str, value: &impl Serialize) -> CallResult<Answer> {
        let body = serde_json::to_vec(value)
            .map_err(|error| CallError::NotSent(error.to_string()))?
            .into();
        let mut headers = HeaderMap::new();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static(JSON_TYPE));
        self.send_with(Method::POST, path, headers, body).await
    }

    /// Sends a request and reads the whole answer.
    pub(super) async fn send_with(
        &self,
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
        let mut in_use = PoolInUse {
            calls: self,
            pool: self.current_pool(),
            has_ended: false,
        };
        let exchange = self.exchange(&in_use.pool, req);
        let Ok(result) = timeout(self.options.call_timeout, exchange).await else {
            let reason = "no answer within the call timeout";
            return Err(CallError::Unanswered(reason.to_owned()));
        };
        in_use.has_ended = true;
        if result.is_ok() {
            in_use.pool.has_answered.store(true, Ordering::Relaxed);
        }
        result
    }

    async fn exchange(&self, pool: &Pool, req: Request<Full<Bytes>>) -> CallResult<Answer> {
        let response = pool.client.request(req).await.map_err(|error| {
            let reason = describe(&error);
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

    /// Replaces the pool, unless another call has done so already. Its idle connections may have
    /// gone silent together with the one that gave no answer.
    fn replace_pool(&self, used: &Arc<Pool>) {
        let mut current = self.pool.lock().unwrap_or_else(PoisonError::into_inner);
        if !Arc::ptr_eq(&current, used) {
            return;
        }
        *current = Pool::new(&self.options);
        // A platform that does not answer at all is logged once, not with each call.
        if used.has_answered.load(Ordering::Relaxed) {
            tracing::warn!(
                address = %self.options.address,
                "platform call without an answer, connections replaced",
            );
        }
    }
}

/// `PoolInUse` replaces the pool of a call that is given up without an answer, by its own time
/// limit or by that of its caller.
struct PoolInUse<'a> {
    calls: &'a Calls,
    pool: Arc<Pool>,
    has_ended: bool,
}

impl Drop for PoolInUse<'_> {
    fn drop(&mut self) {
        if !self.has_ended {
            self.calls.replace_pool(&self.pool);
        }
    }
}

fn new_client(options: &HttpPlatformOptions) -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_connect_timeout(Some(options.connect_timeout));
    connector.set_nodelay(true);
    connector.set_keepalive(Some(options.idle_timeout));
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

fn describe(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        source = cause.source();
    }
    text
}
