//! The body of an upstream's answer, which keeps its connection.

use std::{
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;

use crate::connections::{Connection, Shared};

/// `UpstreamBody` is the body of an answer. Once it has been read to its end, the connection goes
/// back to its pool. Dropping it earlier closes the connection, which cancels the work.
#[derive(Debug)]
pub struct UpstreamBody {
    incoming: Incoming,
    connection: Option<Connection>,
    usable_for: Duration,
    shared: Arc<Shared>,
}

impl UpstreamBody {
    pub(crate) fn new(
        incoming: Incoming,
        connection: Connection,
        usable_for: Duration,
        shared: Arc<Shared>,
    ) -> Self {
        let mut body = Self {
            incoming,
            connection: Some(connection),
            usable_for,
            shared,
        };
        body.release_at_end();
        body
    }

    fn release_at_end(&mut self) {
        if self.incoming.is_end_stream() {
            self.release();
        }
    }

    fn release(&mut self) {
        if let Some(connection) = self.connection.take() {
            self.shared.put_back(connection, self.usable_for);
        }
    }
}

impl Body for UpstreamBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let this = self.get_mut();
        let frame = ready!(Pin::new(&mut this.incoming).poll_frame(cx));
        match &frame {
            Some(Ok(_)) => this.release_at_end(),
            Some(Err(_)) => this.connection = None,
            None => this.release(),
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}
