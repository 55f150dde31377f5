//! Forwarding of one connection over a link.

use std::{future::pending, net::SocketAddr};

use bytes::{Bytes, BytesMut};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{
        TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::{mpsc, watch},
    time::{Instant, sleep_until},
};

use super::mode::{Direction, Faults, InitialState, LinkState};

/// Read buffer size, in bytes.
const CHUNK_BYTES: usize = 64 * 1024;

/// Maximum number of delayed chunks in one direction.
const CHUNKS_IN_FLIGHT: usize = 64;

/// `Connection` forwards bytes between an accepted stream and one to the link's target.
#[derive(Debug)]
pub(super) struct Connection {
    to: SocketAddr,
    state: watch::Receiver<LinkState>,
    initial: InitialState,
}

impl Connection {
    pub(super) fn new(to: SocketAddr, state: watch::Receiver<LinkState>) -> Self {
        let initial = state.borrow().initial_state();
        Self { to, state, initial }
    }

    /// Forwards bytes until both directions have ended or the connection is cut.
    pub(super) async fn run(self, accepted: TcpStream) {
        tokio::select! {
            () = self.forward(accepted) => {}
            () = self.wait_for_fault(|faults| faults.is_cut) => {}
        }
    }

    async fn forward(&self, accepted: TcpStream) {
        if self.faults().drops(Direction::To) {
            // The target is never connected to.
            return pending().await;
        }
        let Ok(connected) = TcpStream::connect(self.to).await else {
            return;
        };
        let _ = accepted.set_nodelay(true);
        let _ = connected.set_nodelay(true);
        let (accepted_read, accepted_write) = accepted.into_split();
        let (connected_read, connected_write) = connected.into_split();
        tokio::join!(
            self.forward_direction(Direction::To, accepted_read, connected_write),
            self.forward_direction(Direction::From, connected_read, accepted_write),
        );
    }

    async fn forward_direction(
        &self,
        direction: Direction,
        mut from: OwnedReadHalf,
        mut to: OwnedWriteHalf,
    ) {
        let (tx, rx) = mpsc::channel(CHUNKS_IN_FLIGHT);
        // The halves outlive this future, because dropping them would end the stream visibly.
        let forwarding = async {
            tokio::join!(self.read(&mut from, tx), self.write(direction, &mut to, rx));
        };
        tokio::select! {
            () = forwarding => {}
            () = self.wait_for_fault(|faults| faults.drops(direction)) => {}
        }
        if self.faults().is_silent() {
            // The end of the stream is lost as well, so the other side stays open.
            pending::<()>().await;
        }
    }

    async fn read(&self, from: &mut OwnedReadHalf, tx: mpsc::Sender<(Instant, Bytes)>) {
        let mut buf = BytesMut::with_capacity(CHUNK_BYTES);
        loop {
            buf.reserve(CHUNK_BYTES);
            match from.read_buf(&mut buf).await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
            let due = Instant::now() + self.state.borrow().delay;
            if tx.send((due, buf.split().freeze())).await.is_err() {
                return;
            }
        }
    }

    async fn write(
        &self,
        direction: Direction,
        to: &mut OwnedWriteHalf,
        mut rx: mpsc::Receiver<(Instant, Bytes)>,
    ) {
        while let Some((due, chunk)) = rx.recv().await {
            if due > Instant::now() {
                sleep_until(due).await;
            }
            if self.faults().drops(direction) || to.write_all(&chunk).await.is_err() {
                return;
            }
        }
        if !self.faults().is_silent() {
            let _ = to.shutdown().await;
        }
    }

    fn faults(&self) -> Faults {
        self.state.borrow().faults(self.initial)
    }

    async fn wait_for_fault(&self, condition: impl Fn(Faults) -> bool) {
        let mut state = self.state.clone();
        let initial = self.initial;
        let is_link_dropped = state
            .wait_for(|state| condition(state.faults(initial)))
            .await
            .is_err();
        if is_link_dropped {
            // The link was dropped; the stop signal of its server cancels this connection.
            pending::<()>().await;
        }
    }
}
