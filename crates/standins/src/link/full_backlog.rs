//! A listener whose accept queue is full, so that attempts to connect get no answer.

use std::{io, time::Duration};

use socket2::SockRef;
use tokio::{
    net::{TcpListener, TcpStream},
    time::timeout,
};

/// Accept queue of a listener that accepts connections again, in connections.
const OPEN_BACKLOG: i32 = 1024;

/// Time after which an attempt to connect counts as unanswered.
const UNANSWERED_AFTER: Duration = Duration::from_millis(50);

/// Most connections that are opened to fill the queue.
const MAX_FILLERS: usize = 64;

/// `FullBacklog` keeps the accept queue of a listener full until it is dropped.
pub(super) struct FullBacklog<'a> {
    listener: &'a TcpListener,
    _fillers: Vec<TcpStream>,
}

impl<'a> FullBacklog<'a> {
    /// Shrinks the accept queue and fills it.
    ///
    /// # Errors
    ///
    /// An I/O error when the queue cannot be resized or still has room after many connections.
    pub(super) async fn fill(listener: &'a TcpListener) -> io::Result<Self> {
        SockRef::from(listener).listen(0)?;
        let address = listener.local_addr()?;
        let mut fillers = Vec::new();
        while fillers.len() < MAX_FILLERS {
            match timeout(UNANSWERED_AFTER, TcpStream::connect(address)).await {
                Ok(filler) => fillers.push(filler?),
                Err(_) => {
                    return Ok(Self {
                        listener,
                        _fillers: fillers,
                    });
                }
            }
        }
        Err(io::Error::other("the accept queue does not fill up"))
    }
}

impl Drop for FullBacklog<'_> {
    fn drop(&mut self) {
        if let Err(error) = SockRef::from(self.listener).listen(OPEN_BACKLOG) {
            tracing::warn!(%error, "accept queue not reopened");
        }
    }
}
