//! Nodes with real sockets on loopback, and their credentials.

#![allow(dead_code)]

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use rand::{SeedableRng as _, rngs::StdRng};
use rcgen::{
    BasicConstraints, CertificateParams, CertifiedIssuer, ExtendedKeyUsagePurpose, IsCa, KeyPair,
};
use tokio::time::{Instant, sleep};
use verbenahead_core::{
    AvailabilityZone, Incarnation, NodeId, RequestId, ServiceId, WorkspaceId, timer::TimerService,
};
use verbenahead_membership::{
    Member, MemberState, Membership, MembershipHandles, MembershipOptions, NewsOptions,
    NodeIdentity, WallClock,
};
use verbenahead_peer::{
    JournalAppend, JournalRecord, JournalStore, JournalStoreOptions, PeerClients, PeerCredentials,
    PeerListener, PeerOptions, PeerSecurity, PeerServerHandle, PeerService, ReportSource,
};

/// Name of a report that is never returned.
pub const STALLED_REPORT: &str = "stalled";

const LOOPBACK: &str = "127.0.0.1";

/// `Authority` is a certificate authority.
pub struct Authority(CertifiedIssuer<'static, KeyPair>);

impl Authority {
    pub fn new() -> Self {
        let mut params = CertificateParams::default();
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        let key = KeyPair::generate().expect("a key can be generated");
        Self(CertifiedIssuer::self_signed(params, key).expect("a certificate can be signed"))
    }

    pub fn pem(&self) -> Vec<u8> {
        self.0.pem().into_bytes()
    }

    /// Returns credentials signed by this authority that trust `authorities`.
    pub fn credentials(&self, authorities: &[&Self]) -> PeerCredentials {
        self.credentials_for(LOOPBACK, authorities)
    }

    pub fn credentials_for(&self, ip: &str, authorities: &[&Self]) -> PeerCredentials {
        let mut params = CertificateParams::new([ip.to_owned()]).expect("the IP address is valid");
        params.extended_key_usages = vec![
            ExtendedKeyUsagePurpose::ServerAuth,
            ExtendedKeyUsagePurpose::ClientAuth,
        ];
        let key = KeyPair::generate().expect("a key can be generated");
        let certificate = params.signed_by(&key, &self.0).expect("it can be signed");
        PeerCredentials {
            certificate: certificate.pem().into_bytes(),
            key: key.serialize_pem().into_bytes(),
            authorities: authorities
                .iter()
                .map(|authority| authority.pem())
                .collect(),
        }
    }
}

/// `Reports` provides the report `status` and stalls for [`STALLED_REPORT`].
pub struct Reports;

#[async_trait::async_trait]
impl ReportSource for Reports {
    async fn report(&self, name: &str) -> Option<Bytes> {
        if name == STALLED_REPORT {
            std::future::pending::<()>().await;
        }
        (name == "status").then(|| Bytes::from_static(b"{}"))
    }
}

/// `Node` is a running node with a listener.
pub struct Node {
    pub id: NodeId,
    pub address: SocketAddr,
    pub zone: AvailabilityZone,
    pub clients: PeerClients,
    pub handles: MembershipHandles,
    pub journals: JournalStore,
    pub server: PeerServerHandle,
}

impl Node {
    pub fn service(&self) -> PeerService {
        service(&self.handles, &self.journals)
    }
}

fn service(handles: &MembershipHandles, journals: &JournalStore) -> PeerService {
    PeerService {
        membership: handles.membership.clone(),
        news: handles.news.clone(),
        journals: journals.clone(),
        reports: Arc::new(Reports),
    }
}

pub async fn start(index: usize, seeds: Vec<SocketAddr>, security: PeerSecurity) -> Node {
    start_with(index, seeds, security, PeerOptions::default()).await
}

pub async fn start_with(
    index: usize,
    seeds: Vec<SocketAddr>,
    security: PeerSecurity,
    options: PeerOptions,
) -> Node {
    let listener = PeerListener::try_bind(any_port(), options.clone(), security.clone())
        .await
        .expect("a free port");
    let address = listener.address();
    let id = node_id(index);
    let zone = zone(index);
    let clients = PeerClients::new(options, security);
    let membership = Membership {
        options: MembershipOptions::default(),
        news_options: NewsOptions::default(),
        identity: NodeIdentity {
            node: id.clone(),
            incarnation: Incarnation(1),
            address,
            zone: zone.clone(),
        },
        seeds,
        transport: Arc::new(clients.clone()),
        clock: WallClock::default(),
        rng: StdRng::seed_from_u64(index as u64),
    };
    let handles = membership.start(&TimerService).expect("a valid chart");
    let journals = JournalStore::new(JournalStoreOptions::default());
    let server = listener
        .serve(service(&handles, &journals))
        .expect("usable credentials");
    Node {
        id,
        address,
        zone,
        clients,
        handles,
        journals,
        server,
    }
}

pub fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

pub fn node_id(index: usize) -> NodeId {
    NodeId::try_new(format!("node-{index}")).expect("a valid id")
}

pub fn zone(index: usize) -> AvailabilityZone {
    AvailabilityZone::try_new(format!("zone-{}", index % 4)).expect("a valid zone")
}

pub fn member(index: usize) -> Member {
    Member {
        node: node_id(index),
        incarnation: Incarnation(1),
        address: SocketAddr::from(([127, 0, 0, 1], 20_000)),
        zone: zone(index),
        state: MemberState::Alive,
    }
}

pub fn member_of(node: &Node) -> Member {
    Member {
        node: node.id.clone(),
        incarnation: Incarnation(1),
        address: node.address,
        zone: node.zone.clone(),
        state: MemberState::Alive,
    }
}

pub fn record(request: u128, tokens: &[&str]) -> JournalRecord {
    JournalRecord {
        request: RequestId(request),
        workspace: WorkspaceId::try_new("barbers").expect("a valid id"),
        service: ServiceId::try_new("assistant").expect("a valid id"),
        owner: node_id(0),
        epoch: 1,
        seed: 7,
        body: Bytes::from_static(b"{\"prompt\":\"a lease\"}"),
        tokens: tokens.iter().map(ToString::to_string).collect(),
        is_finished: false,
    }
}

pub fn append(request: u128, epoch: u64, position: u64, tokens: &[&str]) -> JournalAppend {
    JournalAppend {
        request: RequestId(request),
        epoch,
        position,
        tokens: tokens.iter().map(ToString::to_string).collect(),
        is_finished: false,
    }
}

/// Waits up to 40 s for a condition, which leaves time on a busy machine.
pub async fn until(condition: impl Fn() -> bool) {
    let end = Instant::now() + Duration::from_secs(40);
    while !condition() {
        assert!(Instant::now() < end, "the condition did not hold in time");
        sleep(Duration::from_millis(20)).await;
    }
}
