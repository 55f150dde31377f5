//! Cache of connections to other nodes.

use std::{
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
};

use tokio::time::Instant;
use tonic::transport::{Channel, Endpoint};
use verbenahead_core::HashMap;

use crate::{
    credentials::PeerSecurity,
    errors::{Error, Result},
    options::PeerOptions,
    wire::peer_client::PeerClient,
};

/// `ConnectionId` distinguishes successive connections to one peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ConnectionId(u64);

struct Connection {
    id: ConnectionId,
    client: PeerClient<Channel>,
    last_used: Instant,
}

#[derive(Default)]
struct Cache {
    connections: HashMap<SocketAddr, Connection>,
    next_id: u64,
    next_idle_check: Option<Instant>,
}

/// `Connections` opens connections on demand and caches them.
pub(crate) struct Connections {
    options: PeerOptions,
    security: PeerSecurity,
    cache: Mutex<Cache>,
}

impl Connections {
    pub(crate) fn new(options: PeerOptions, security: PeerSecurity) -> Self {
        Self {
            options,
            security,
            cache: Mutex::default(),
        }
    }

    /// Returns the cached connection to a peer or creates one, which the first call on it opens.
    pub(crate) fn get(&self, peer: SocketAddr) -> Result<(ConnectionId, PeerClient<Channel>)> {
        let now = Instant::now();
        let mut cache = self.lock();
        cache.close_idle(now, &self.options);
        if let Some(connection) = cache.connections.get_mut(&peer) {
            connection.last_used = now;
            return Ok((connection.id, connection.client.clone()));
        }
        let id = ConnectionId(cache.next_id);
        cache.next_id += 1;
        let client = self.create(peer)?;
        let connection = Connection {
            id,
            client: client.clone(),
            last_used: now,
        };
        cache.connections.insert(peer, connection);
        Ok((id, client))
    }

    /// Removes a connection that may be dead from the cache, so that the next call opens a new
    /// one. Calls in flight on the connection continue.
    pub(crate) fn discard(&self, peer: SocketAddr, id: ConnectionId) {
        let mut cache = self.lock();
        let is_same = cache.connections.get(&peer).is_some_and(|c| c.id == id);
        if is_same {
            cache.connections.remove(&peer);
        }
    }

    /// Returns the number of cached connections.
    pub(crate) fn len(&self) -> usize {
        self.lock().connections.len()
    }

    fn create(&self, peer: SocketAddr) -> Result<PeerClient<Channel>> {
        self.security.check_address(peer)?;
        let options = &self.options;
        let uri = format!("{}://{peer}", self.security.scheme());
        let mut endpoint = Endpoint::from_shared(uri)
            .map_err(|e| Error::malformed("address", e))?
            .connect_timeout(options.connect_timeout)
            .http2_keep_alive_interval(options.keepalive_interval)
            .keep_alive_timeout(options.keepalive_timeout)
            .keep_alive_while_idle(false)
            .tcp_nodelay(true);
        if let Some(tls) = self.security.client_tls(options) {
            endpoint = endpoint.tls_config(tls).map_err(Error::credentials)?;
        }
        let client = PeerClient::new(endpoint.connect_lazy())
            .max_decoding_message_size(options.max_message_bytes)
            .max_encoding_message_size(options.max_message_bytes);
        Ok(client)
    }

    fn lock(&self) -> MutexGuard<'_, Cache> {
        self.cache.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Cache {
    /// Closes idle connections. Checks at most twice per idle timeout.
    fn close_idle(&mut self, now: Instant, options: &PeerOptions) {
        if self.next_idle_check.is_some_and(|at| now < at) {
            return;
        }
        let idle_timeout = options.idle_timeout;
        self.next_idle_check = Some(now + idle_timeout / 2);
        self.connections
            .retain(|_, c| now.saturating_duration_since(c.last_used) < idle_timeout);
    }
}
