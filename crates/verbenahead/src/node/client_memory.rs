//! The place of a listener's connections in the memory budget of the process.

use std::{
    convert::Infallible,
    net::IpAddr,
    pin::Pin,
    sync::atomic::{AtomicU32, Ordering},
    task::{Context, Poll},
};

use axum::{Router, body::Body as AxumBody};
use http::{HeaderValue, Request, Response, header::CONNECTION};
use http_body::{Body, Frame, SizeHint};
use tower::ServiceExt;
use verbenahead_relay::{MemoryAccount, MemoryBudget, RequestGuard};

/// Number of requests after which a connection without a request that passed the checks is closed. Pipelined
/// requests that are refused cost the node more than their client, and take turns with those of others only
/// at each answer.
const MAX_UNKNOWN_REQUESTS: u32 = 32;

/// `ListenerMemory` is the place of a listener's connections in a memory budget.
#[derive(Debug, Clone)]
pub struct ListenerMemory {
    /// Budget of the process.
    pub budget: MemoryBudget,
    /// Number of the listener.
    pub listener: u8,
    /// Memory that each connection takes, whatever it does, in bytes.
    pub connection_bytes: u64,
}

impl ListenerMemory {
    /// Opens the account of a new connection.
    pub fn open(&self, client: IpAddr) -> MemoryAccount {
        let Self { listener, .. } = *self;
        self.budget.open(listener, client, self.connection_bytes)
    }

    /// Closes a connection for a new one. Returns whether there is one that may be closed.
    pub fn close_for_newcomer(&self) -> bool {
        self.budget.close_for_newcomer(self.listener)
    }
}

/// `CountedRequests` serves the requests of one connection and records them in its account, if it has one.
#[derive(Debug)]
pub struct CountedRequests {
    router: Router,
    account: Option<MemoryAccount>,
    unknown_requests: AtomicU32,
}

impl CountedRequests {
    /// Serves requests by `router`.
    pub fn new(router: Router, account: Option<MemoryAccount>) -> Self {
        Self {
            router,
            account,
            unknown_requests: AtomicU32::new(0),
        }
    }

    /// Serves a request.
    ///
    /// # Errors
    ///
    /// Never.
    pub async fn serve<B>(&self, mut req: Request<B>) -> Result<Response<CountedBody>, Infallible>
    where
        B: Body<Data = bytes::Bytes> + Send + 'static,
        B::Error: Into<axum::BoxError>,
    {
        let Some(account) = &self.account else {
            let response = self.router.clone().oneshot(req).await?;
            return Ok(response.map(|body| CountedBody { body, _guard: None }));
        };
        let guard = account.begin_request();
        req.extensions_mut().insert(account.clone());
        let mut response = self.router.clone().oneshot(req).await?;
        match account.is_known() {
            true => self.unknown_requests.store(0, Ordering::Relaxed),
            false => {
                let count = self.unknown_requests.fetch_add(1, Ordering::Relaxed) + 1;
                if count >= MAX_UNKNOWN_REQUESTS {
                    let close = HeaderValue::from_static("close");
                    response.headers_mut().insert(CONNECTION, close);
                }
            }
        }
        let guard = Some(guard);
        Ok(response.map(|body| CountedBody {
            body,
            _guard: guard,
        }))
    }
}

/// `CountedBody` is the body of a response. Its request has ended when it is dropped.
#[derive(Debug)]
pub struct CountedBody {
    body: AxumBody,
    _guard: Option<RequestGuard>,
}

impl Body for CountedBody {
    type Data = bytes::Bytes;
    type Error = axum::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<bytes::Bytes>, axum::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
