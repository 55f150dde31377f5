//! Requests that other nodes ask this node to pass on to a replica.

use std::{
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

use bytes::Bytes;
use http::{HeaderMap, HeaderName, Request, Response, StatusCode, header};
use http_body::{Body, Frame, SizeHint};
use tokio::{sync::OwnedSemaphorePermit, time::Instant};
use verbenahead_upstream::{Error as UpstreamError, Reuse, UpstreamBody};

use crate::{
    dialect::ResponseClass,
    forward_wire::{ForwardKind, ForwardOutcome, ForwardRequest, remove_outcome, write_outcome},
    relay::Relay,
    upstream::{UpstreamEntry, UpstreamStatus},
};

/// `ForwardedBody` is the body of a response to another node.
#[derive(Debug)]
pub enum ForwardedBody {
    /// The body that the replica sends.
    Replica {
        /// Body of the replica's response.
        body: UpstreamBody,
        /// Room for requests of other nodes, released when the body is dropped.
        permit: OwnedSemaphorePermit,
    },
    /// No body.
    Empty,
}

impl Body for ForwardedBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        match self.get_mut() {
            Self::Replica { body, .. } => Pin::new(body).poll_frame(cx),
            Self::Empty => Poll::Ready(None),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Replica { body, .. } => body.is_end_stream(),
            Self::Empty => true,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Replica { body, .. } => body.size_hint(),
            Self::Empty => SizeHint::with_exact(0),
        }
    }
}

/// Headers that concern only the connection to the replica.
const CONNECTION_HEADERS: [HeaderName; 5] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

impl Relay {
    /// Passes a request of another node on to the replica that it names, once, and returns the response of
    /// the replica. Every other outcome is stated in a header.
    pub async fn forward<B>(self: &Arc<Self>, req: Request<B>) -> Response<ForwardedBody>
    where
        B: Body<Data = Bytes> + Send + Unpin,
        B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    {
        match self.try_forward(req).await {
            Ok(response) => response,
            Err(outcome) => {
                tracing::info!(%outcome, "request of another node not passed on");
                outcome_response(outcome)
            }
        }
    }

    async fn try_forward<B>(
        self: &Arc<Self>,
        req: Request<B>,
    ) -> Result<Response<ForwardedBody>, ForwardOutcome>
    where
        B: Body<Data = Bytes> + Send + Unpin,
        B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    {
        let (mut head, mut body) = req.into_parts();
        let account = self.memory.account_of(&head.extensions);
        let forward = ForwardRequest::take(&mut head.headers).ok_or(ForwardOutcome::Invalid)?;
        // Only known nodes may connect.
        account.set_known(None);
        let upstream = self.forward_target(&forward)?;
        if forward.kind == ForwardKind::Check {
            let limit = self.options.peer_path_timeout;
            let is_reached = self.connections.accepts(upstream.address.address, limit);
            return match is_reached.await {
                true => Ok(outcome_response(ForwardOutcome::Reached)),
                false => Err(ForwardOutcome::Unreachable),
            };
        }
        let deadline = Instant::now() + forward.limit;
        if !self.drain.admits_forwarded(deadline) {
            return Err(ForwardOutcome::Busy);
        }
        let permit = self.forwarded.clone().try_acquire_owned();
        let permit = permit.map_err(|_| ForwardOutcome::Busy)?;
        let caller = self.dialect.read_request(&head);
        let caller = caller.map_err(|_| ForwardOutcome::Invalid)?;
        let limit = self.options.default_max_body;
        let limit = self
            .routes()
            .map_or(limit, |routes| routes.limits().max_body);
        let body = self.read_body(&mut body, &account, limit, deadline).await;
        let body = body.map_err(|_| ForwardOutcome::Invalid)?;
        for name in &CONNECTION_HEADERS {
            head.headers.remove(name);
        }
        head.headers.remove(header::CONTENT_LENGTH);
        let req = Request::from_parts(head, body.data);
        let reuse = match forward.kind {
            ForwardKind::Pooled => Reuse::Allowed,
            ForwardKind::Fresh | ForwardKind::Check => Reuse::Forbidden,
        };
        let sent = self.connections.send_connected_within(
            upstream.address.address,
            req,
            reuse,
            forward.limit,
            self.options.peer_path_timeout,
        );
        let sent = sent.await;
        drop(body.reservation);
        tracing::info!(
            request = %caller.id,
            upstream = %upstream.address.upstream,
            status = sent.as_ref().ok().map(|response| response.status().as_u16()),
            error = sent.as_ref().err().map(tracing::field::display),
            "request of another node passed on",
        );
        let response = sent.map_err(|error| forward_outcome(&error))?;
        let (mut head, body) = response.into_parts();
        let notice = self.dialect.replica_notice(&head);
        upstream.apply_notice(match self.dialect.classify_response(&caller.id, &head) {
            ResponseClass::Foreign => {
                // The answer to this request may still arrive, where a later request expects its own.
                self.connections.close_idle(upstream.address.address);
                notice.without_limit_end()
            }
            ResponseClass::Answered | ResponseClass::NotRun(_) => notice,
        });
        remove_connection_headers(&mut head.headers);
        remove_outcome(&mut head.headers);
        Ok(Response::from_parts(
            head,
            ForwardedBody::Replica { body, permit },
        ))
    }

    /// Returns the replica that a request is meant for, if it accepts requests of this node.
    fn forward_target(
        &self,
        forward: &ForwardRequest,
    ) -> Result<Arc<UpstreamEntry>, ForwardOutcome> {
        let upstream = self.registry.get(&forward.upstream);
        let upstream = upstream.ok_or(ForwardOutcome::Unavailable)?;
        if upstream.address.incarnation != forward.incarnation {
            return Err(ForwardOutcome::Unavailable);
        }
        if self.direct_paths.is_cut(&upstream) {
            return Err(ForwardOutcome::CutOff);
        }
        let is_check = forward.kind == ForwardKind::Check;
        let is_known = upstream.status() != UpstreamStatus::Gone;
        match upstream.is_open() || is_check && is_known {
            true => Ok(upstream),
            false => Err(ForwardOutcome::Unavailable),
        }
    }
}

fn outcome_response(outcome: ForwardOutcome) -> Response<ForwardedBody> {
    let mut response = Response::new(ForwardedBody::Empty);
    if outcome != ForwardOutcome::Reached {
        *response.status_mut() = StatusCode::BAD_GATEWAY;
    }
    write_outcome(outcome, response.headers_mut());
    response
}

fn forward_outcome(error: &UpstreamError) -> ForwardOutcome {
    match error {
        UpstreamError::NotSent { .. } | UpstreamError::ConnectionRefused { .. } => {
            ForwardOutcome::Unreachable
        }
        UpstreamError::TimedOut => ForwardOutcome::TimedOut,
        _ => ForwardOutcome::Interrupted,
    }
}

fn remove_connection_headers(headers: &mut HeaderMap) {
    for name in &CONNECTION_HEADERS {
        headers.remove(name);
    }
}
