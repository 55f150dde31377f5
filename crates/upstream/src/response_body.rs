//! Response bodies that return their connection to its pool.

use std::{
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;

use crate::connections::{Connection, ConnectionPools};

/// `UpstreamBody` is the body of a response. Reading it to its end returns the connection to its
/// pool. Dropping it earlier closes the connection, which cancels the request at the upstream.
#[derive(Debug)]
pub struct UpstreamBody {
    incoming: Incoming,
    connection: Option<Connection>,
    idle_lifetime: Duration,
    pools: Arc<ConnectionPools>,
}

impl UpstreamBody {
    pub(crate) fn new(
        incoming: Incoming,
        connection: Connection,
        idle_lifetime: Duration,
        pools: Arc<ConnectionPools>,
    ) -> Self {
        let mut body = Self {
            incoming,
            connection: Some(connection),
            idle_lifetime,
            pools,
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
            self.pools.put_back(connection, self.idle_lifetime);
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
