//! One connection over a link.

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

use super::mode::{Birth, Damage, Direction, LinkState};

const CHUNK_BYTES: usize = 64 * 1024;

/// Chunks that are on their way in one direction.
const CHUNKS_IN_FLIGHT: usize = 64;

/// `Connection` joins an accepted stream with one to the link's other end.
#[derive(Debug)]
pub(super) struct Connection {
    to: SocketAddr,
    state: watch::Receiver<LinkState>,
    birth: Birth,
}

impl Connection {
    pub(super) fn new(to: SocketAddr, state: watch::Receiver<LinkState>) -> Self {
        let birth = state.borrow().birth();
        Self { to, state, birth }
    }

    /// Passes bytes until both directions have ended or the link is cut.
    pub(super) async fn run(self, accepted: TcpStream) {
        tokio::select! {
            () = self.pass(accepted) => {}
            () = self.wait_damage(|damage| damage.is_cut) => {}
        }
    }

    async fn pass(&self, accepted: TcpStream) {
        if self.damage().loses(Direction::To) {
            // The other end never hears of the connection.
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
            self.pump(Direction::To, accepted_read, connected_write),
            self.pump(Direction::From, connected_read, accepted_write),
        );
    }

    async fn pump(&self, direction: Direction, mut from: OwnedReadHalf, mut to: OwnedWriteHalf) {
        let (tx, rx) = mpsc::channel(CHUNKS_IN_FLIGHT);
        // The halves outlive this future, because dropping them would show as an end of the stream.
        let pass = async {
            tokio::join!(self.read(&mut from, tx), self.write(direction, &mut to, rx));
        };
        tokio::select! {
            () = pass => {}
            () = self.wait_damage(|damage| damage.loses(direction)) => {}
        }
        if self.damage().is_silent() {
            // The end of one side is lost as well, so the other side stays open.
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
            if self.damage().loses(direction) || to.write_all(&chunk).await.is_err() {
                return;
            }
        }
        if !self.damage().is_silent() {
            let _ = to.shutdown().await;
        }
    }

    fn damage(&self) -> Damage {
        self.state.borrow().damage(self.birth)
    }

    async fn wait_damage(&self, is_awaited: impl Fn(Damage) -> bool) {
        let mut state = self.state.clone();
        let birth = self.birth;
        let has_ended = state
            .wait_for(|state| is_awaited(state.damage(birth)))
            .await
            .is_err();
        if has_ended {
            // The link has ended, which ends the connection elsewhere.
            pending::<()>().await;
        }
    }
}
