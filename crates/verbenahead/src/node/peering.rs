//! Communication with other nodes: transport, membership, news and the journals that this node
//! stores for others.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use anyhow::Context;
use rand::{SeedableRng, rngs::StdRng};
use tokio::sync::watch;
use verbenahead_core::{timer::TimerService, units::ByteSize};
use verbenahead_membership::{
    Membership, MembershipHandle, MembershipOptions, NewsHandle, NewsOptions, NodeIdentity,
    WallClock,
};
use verbenahead_peer::{
    JournalStore, JournalStoreOptions, PeerClients, PeerCredentials, PeerListener, PeerOptions,
    PeerSecurity, PeerServerHandle, PeerService, ReportSource, hand_over_journals,
};

use crate::settings;

/// Time between two removals of expired journals.
const EXPIRY_PERIOD: Duration = Duration::from_secs(30);

/// `Peering` holds the handles for communication with other nodes.
pub struct Peering {
    /// Identity of this node towards its peers.
    pub identity: NodeIdentity,
    /// Membership and liveness of the nodes.
    pub membership: MembershipHandle,
    /// News that is exchanged among all nodes.
    pub news: NewsHandle,
    /// Clients of the other nodes.
    pub clients: PeerClients,
    /// Journals that this node stores for others.
    pub store: JournalStore,
    server: PeerServerHandle,
}

/// Opens the listener for peers of a process with this much memory.
///
/// # Errors
///
/// When the credentials cannot be read or the listener cannot be opened.
pub async fn bind(
    address: SocketAddr,
    credentials: &settings::PeerCredentials,
    memory: ByteSize,
) -> anyhow::Result<(PeerListener, PeerSecurity)> {
    let security = security(credentials)?;
    let options = PeerOptions::within(memory);
    let listener = PeerListener::try_bind(address, options, security.clone())
        .await
        .context("cannot listen for peers")?;
    Ok((listener, security))
}

fn security(credentials: &settings::PeerCredentials) -> anyhow::Result<PeerSecurity> {
    let tls = match credentials {
        settings::PeerCredentials::PlaintextOnLoopback => {
            return Ok(PeerSecurity::PlaintextOnLoopback);
        }
        settings::PeerCredentials::Tls(tls) => tls,
    };
    let load = |reference: &settings::SecretReference| -> anyhow::Result<Vec<u8>> {
        Ok(reference.load()?.expose().as_bytes().to_vec())
    };
    let authorities = tls.authorities.iter().map(load).collect::<Result<_, _>>()?;
    Ok(PeerSecurity::MutualTls(PeerCredentials {
        certificate: load(&tls.certificate)?,
        key: load(&tls.key)?,
        authorities,
    }))
}

impl Peering {
    /// Starts the membership and the peer server.
    ///
    /// # Errors
    ///
    /// When the credentials cannot be used.
    pub fn start(
        listener: PeerListener,
        security: PeerSecurity,
        identity: NodeIdentity,
        seeds: Vec<SocketAddr>,
        reports: Arc<dyn ReportSource>,
    ) -> anyhow::Result<Self> {
        let clients = PeerClients::new(PeerOptions::default(), security);
        let handles = Membership {
            options: MembershipOptions::default(),
            news_options: NewsOptions::default(),
            identity: identity.clone(),
            seeds,
            transport: Arc::new(clients.clone()),
            clock: WallClock::default(),
            rng: StdRng::from_os_rng(),
        }
        .start(&TimerService)?;
        let store = JournalStore::new(JournalStoreOptions::default());
        let server = listener.serve(PeerService {
            membership: handles.membership.clone(),
            news: handles.news.clone(),
            journals: store.clone(),
            reports,
        })?;
        Ok(Self {
            identity,
            membership: handles.membership,
            news: handles.news,
            clients,
            store,
            server,
        })
    }

    /// Returns a future that removes expired journals until `stop` closes.
    pub fn expire_journals(
        &self,
        mut stop: watch::Receiver<()>,
    ) -> impl Future<Output = ()> + Send + use<> {
        let store = self.store.clone();
        let mut ticks = TimerService.subscribe(EXPIRY_PERIOD, EXPIRY_PERIOD);
        async move {
            loop {
                tokio::select! {
                    Some(tick) = ticks.recv() => {
                        store.expire(tick.now);
                    }
                    _ = stop.changed() => return,
                }
            }
        }
    }

    /// Announces to the peers that this node accepts no new requests.
    pub async fn leave(&self) {
        if let Err(error) = self.membership.leave().await {
            tracing::warn!(%error, "cannot announce the drain to the peers");
        }
    }

    /// Hands over the stored journals, announces the departure and closes the listener.
    pub async fn depart(self) {
        let members = self.membership.members();
        let node = &self.identity.node;
        let outcome = hand_over_journals(&self.store, &self.clients, node, &members).await;
        tracing::info!(
            moved = outcome.transferred,
            left = outcome.remaining,
            "journals handed over"
        );
        if let Err(error) = self.membership.depart().await {
            tracing::warn!(%error, "cannot announce the departure to the peers");
        }
        self.server.shut_down().await;
    }
}
