//! Bytes of a peer call on a real connection with mutual TLS.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use anyhow::anyhow;
use prost::Message as _;
use rand::{SeedableRng as _, rngs::StdRng};
use rcgen::{BasicConstraints, CertificateParams, CertifiedIssuer, IsCa, KeyPair};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    time::sleep,
};
use verbenahead_core::{AvailabilityZone, Incarnation, NodeId, timer::TimerService};
use verbenahead_membership::{
    Membership, MembershipOptions, NewsOptions, NodeIdentity, PeerTransport as _, Ping,
    StateDigest, WallClock,
};
use verbenahead_peer::{
    JournalStore, JournalStoreOptions, NoReports, PeerClients, PeerCredentials, PeerListener,
    PeerOptions, PeerSecurity, PeerService, wire,
};

/// Calls on the open connection.
const CALLS: u64 = 500;

/// Wait for the last bytes of a call to arrive.
const SETTLE_TIME: Duration = Duration::from_millis(100);

/// Deadline of one call.
const DEADLINE: Duration = Duration::from_secs(5);

/// `WireCost` is the byte overhead of a connection and of a call on it, in both directions and
/// without TCP and IP headers.
#[derive(Debug, Clone, Copy)]
pub struct WireCost {
    /// Bytes of a new connection with its first call.
    pub connection_bytes: f64,
    /// Bytes of a call on an open connection, without its messages.
    pub call_overhead_bytes: f64,
}

/// Measures the overhead on a loopback connection through a byte-counting proxy.
///
/// # Errors
///
/// When a call fails.
pub fn measure_wire_cost() -> anyhow::Result<WireCost> {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()?
        .block_on(measure())
}

async fn measure() -> anyhow::Result<WireCost> {
    let security = security()?;
    let options = PeerOptions::default();
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = PeerListener::try_bind(any_port, options.clone(), security.clone()).await?;
    let clients = PeerClients::new(options, security);
    let identity = NodeIdentity {
        node: NodeId::try_new("entry-00000")?,
        incarnation: Incarnation(1_764_800_000_000),
        address: listener.address(),
        zone: AvailabilityZone::try_new("region-1-zone-0")?,
    };
    let membership = Membership {
        options: MembershipOptions::default(),
        news_options: NewsOptions::default(),
        identity: identity.clone(),
        seeds: Vec::new(),
        transport: Arc::new(clients.clone()),
        clock: WallClock::default(),
        rng: StdRng::seed_from_u64(1),
    };
    let handles = membership.start(&TimerService)?;
    let (proxy, bytes) = start_counting_proxy(listener.address()).await?;
    let server = listener.serve(PeerService {
        membership: handles.membership,
        news: handles.news,
        journals: JournalStore::new(JournalStoreOptions::default()),
        reports: Arc::new(NoReports),
    })?;

    let ping = Ping {
        to: identity.node.clone(),
        from: identity.into(),
        claims: Vec::new(),
        news: StateDigest::default(),
    };
    let ack = clients.ping(proxy, ping.clone(), DEADLINE).await?;
    sleep(SETTLE_TIME).await;
    let first = bytes.load(Ordering::Relaxed);
    for _ in 0..CALLS {
        clients.ping(proxy, ping.clone(), DEADLINE).await?;
    }
    sleep(SETTLE_TIME).await;
    let all = bytes.load(Ordering::Relaxed);
    drop(server);

    let messages =
        wire::PingRequest::from(ping).encoded_len() + wire::PingResponse::from(ack).encoded_len();
    Ok(WireCost {
        connection_bytes: first as f64,
        call_overhead_bytes: (all - first) as f64 / CALLS as f64 - messages as f64,
    })
}

fn security() -> anyhow::Result<PeerSecurity> {
    let mut params = CertificateParams::default();
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    let authority = CertifiedIssuer::self_signed(params, KeyPair::generate()?)?;
    let key = KeyPair::generate()?;
    let params = CertificateParams::new(["127.0.0.1".to_owned()])?;
    let certificate = params.signed_by(&key, &authority)?;
    Ok(PeerSecurity::MutualTls(PeerCredentials {
        certificate: certificate.pem().into_bytes(),
        key: key.serialize_pem().into_bytes(),
        authorities: vec![authority.pem().into_bytes()],
    }))
}

/// Starts a TCP proxy in front of `target` and returns its address and its byte counter.
async fn start_counting_proxy(target: SocketAddr) -> anyhow::Result<(SocketAddr, Arc<AtomicU64>)> {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
    let address = listener.local_addr()?;
    let bytes = Arc::new(AtomicU64::new(0));
    let counted = bytes.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let server_stream = TcpStream::connect(target).await;
            let server_stream =
                server_stream.map_err(|e| anyhow!("measure: no connection to the node: {e}"))?;
            let (read, write) = stream.into_split();
            let (server_read, server_write) = server_stream.into_split();
            tokio::spawn(proxy(read, server_write, counted.clone()));
            tokio::spawn(proxy(server_read, write, counted.clone()));
        }
        anyhow::Ok(())
    });
    Ok((address, bytes))
}

async fn proxy(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, bytes: Arc<AtomicU64>) {
    let mut buf = vec![0; 16 * 1_024];
    while let Ok(read) = from.read(&mut buf).await {
        if read == 0 || to.write_all(&buf[..read]).await.is_err() {
            return;
        }
        bytes.fetch_add(read as u64, Ordering::Relaxed);
    }
}
