//! Tests of the transport between nodes: authentication of peers and recovery from connection
//! failures.

mod support;

use std::{net::SocketAddr, time::Duration};

use rstest::rstest;
use support::{Authority, Node, any_port, record, start, start_with, until};
use tokio::{io::AsyncReadExt as _, net::TcpListener};
use verbenahead_core::{RequestId, units::ByteSize};
use verbenahead_peer::{
    Error, JournalRefusal, PeerClients, PeerListener, PeerOptions, PeerSecurity,
};

fn tls(own: &Authority, trusted: &[&Authority]) -> PeerSecurity {
    PeerSecurity::MutualTls(own.credentials(trusted))
}

fn clients(security: PeerSecurity) -> PeerClients {
    PeerClients::new(PeerOptions::default(), security)
}

/// Returns whether the node responds to a call. The call reads an unknown journal.
async fn answers(clients: &PeerClients, peer: SocketAddr) -> bool {
    let result = clients.read_journal(peer, RequestId(9), 0).await;
    matches!(result, Err(Error::Journal(JournalRefusal::NotFound)))
}

async fn node_with(security: PeerSecurity) -> Node {
    start(0, Vec::new(), security).await
}

#[tokio::test]
async fn peer_with_a_valid_certificate_is_accepted() {
    let authority = Authority::new();
    let node = node_with(tls(&authority, &[&authority])).await;

    let responds = answers(&clients(tls(&authority, &[&authority])), node.address).await;

    assert!(responds);
}

#[tokio::test]
async fn peer_without_tls_is_refused() {
    let authority = Authority::new();
    let node = node_with(tls(&authority, &[&authority])).await;

    let responds = answers(&clients(PeerSecurity::PlaintextOnLoopback), node.address).await;

    assert!(!responds);
}

#[tokio::test]
async fn tls_peer_without_a_certificate_is_refused() {
    let authority = Authority::new();
    let node = node_with(tls(&authority, &[&authority])).await;
    let anonymous = tonic::transport::ClientTlsConfig::new()
        .ca_certificate(tonic::transport::Certificate::from_pem(authority.pem()));
    let channel = tonic::transport::Endpoint::from_shared(format!("https://{}", node.address))
        .expect("a valid URI")
        .tls_config(anonymous)
        .expect("a valid certificate")
        .connect_lazy();
    let mut client = verbenahead_peer::wire::peer_client::PeerClient::new(channel);

    let result = client
        .read_report(verbenahead_peer::wire::ReadReportRequest::default())
        .await;

    assert!(result.is_err());
}

#[rstest]
#[case::untrusted_client(true)]
#[case::untrusted_server(false)]
#[tokio::test]
async fn peer_of_an_untrusted_authority_is_refused(#[case] client_is_untrusted: bool) {
    let trusted = Authority::new();
    let untrusted = Authority::new();
    let server = tls(&trusted, &[&trusted]);
    let client = if client_is_untrusted {
        tls(&untrusted, &[&trusted])
    } else {
        tls(&trusted, &[&untrusted])
    };
    let node = node_with(server).await;

    let responds = answers(&clients(client), node.address).await;

    assert!(!responds);
}

#[tokio::test]
async fn certificate_for_another_address_is_refused() {
    let authority = Authority::new();
    let credentials = authority.credentials_for("127.0.0.9", &[&authority]);
    let node = node_with(PeerSecurity::MutualTls(credentials)).await;

    let responds = answers(&clients(tls(&authority, &[&authority])), node.address).await;

    assert!(!responds);
}

#[tokio::test]
async fn old_and_new_authorities_are_accepted_during_a_rotation() {
    let old = Authority::new();
    let new = Authority::new();
    let both = [&old, &new];
    let before = node_with(tls(&old, &both)).await;
    let after = node_with(tls(&new, &both)).await;

    let old_clients = clients(tls(&old, &both));
    let new_clients = clients(tls(&new, &both));

    for node in [&before, &after] {
        assert!(answers(&old_clients, node.address).await);
        assert!(answers(&new_clients, node.address).await);
    }
}

#[tokio::test]
async fn removed_authority_is_refused() {
    let old = Authority::new();
    let new = Authority::new();
    let node = node_with(tls(&new, &[&new])).await;

    let responds = answers(&clients(tls(&old, &[&old, &new])), node.address).await;

    assert!(!responds);
}

#[tokio::test]
async fn plaintext_is_refused_on_addresses_other_than_loopback() {
    let address = SocketAddr::from(([0, 0, 0, 0], 0));
    let remote = SocketAddr::from(([192, 0, 2, 1], 9_000));
    let security = PeerSecurity::PlaintextOnLoopback;

    let listener = PeerListener::try_bind(address, PeerOptions::default(), security.clone()).await;
    let call = clients(security).read_report(remote, "status").await;

    assert!(matches!(listener, Err(Error::PlaintextRefused { .. })));
    assert!(matches!(call, Err(Error::PlaintextRefused { .. })));
}

#[tokio::test]
async fn invalid_key_is_rejected_by_listener_and_client() {
    let authority = Authority::new();
    let mut credentials = authority.credentials(&[&authority]);
    credentials.key = b"no key".to_vec();
    let security = PeerSecurity::MutualTls(credentials);
    let options = PeerOptions::default();
    let listener = PeerListener::try_bind(any_port(), options, security.clone()).await;
    let node = node_with(tls(&authority, &[&authority])).await;

    let served = listener.expect("a free port").serve(node.service());
    let call = clients(security).read_report(node.address, "status").await;

    assert!(matches!(served, Err(Error::Credentials { .. })));
    assert!(matches!(call, Err(Error::Credentials { .. })));
}

#[test]
fn debug_output_contains_no_credentials() {
    let authority = Authority::new();
    let credentials = authority.credentials(&[&authority]);
    let key_as_text = String::from_utf8_lossy(&credentials.key).into_owned();
    let key_as_bytes = format!("{:?}", credentials.key);

    let printed = format!("{:?}", PeerSecurity::MutualTls(credentials));

    assert!(!printed.contains(&key_as_text));
    assert!(!printed.contains(&key_as_bytes));
    assert!(printed.len() < 100, "{printed}");
}

#[tokio::test]
async fn oversized_message_is_refused_and_the_connection_stays_usable() {
    let options = PeerOptions {
        max_message_bytes: 64 * 1_024,
        ..PeerOptions::default()
    };
    let security = PeerSecurity::PlaintextOnLoopback;
    let node = start_with(0, Vec::new(), security.clone(), options).await;
    let clients = clients(security);
    let mut large = record(1, &[]);
    large.body = vec![b'x'; 256 * 1_024].into();

    let refused = clients.put_journal(node.address, large).await;
    let accepted = clients.put_journal(node.address, record(2, &[])).await;

    assert!(matches!(refused, Err(Error::Refused { .. })), "{refused:?}");
    assert!(accepted.is_ok(), "{accepted:?}");
    assert_eq!(node.journals.len(), 1);
}

// Guards against messages that stop short at many connections and take all memory, and against memory that a message
// keeps after its call.
#[tokio::test]
async fn messages_that_stop_short_leave_memory_for_others() {
    let options = PeerOptions {
        max_message_memory: ByteSize(300 * 1_024),
        ..PeerOptions::default()
    };
    let security = PeerSecurity::PlaintextOnLoopback;
    let node = start_with(0, Vec::new(), security.clone(), options).await;
    let clients = clients(security);
    let mut large = record(1, &[]);
    large.body = vec![b'x'; 400 * 1_024].into();
    let mut fitting = record(2, &[]);
    fitting.body = vec![b'x'; 200 * 1_024].into();

    let refused = clients.put_journal(node.address, large).await;
    let accepted = clients.put_journal(node.address, fitting.clone()).await;
    let again = clients.put_journal(node.address, fitting).await;

    assert!(matches!(refused, Err(Error::Refused { .. })), "{refused:?}");
    assert!(accepted.is_ok(), "{accepted:?}");
    assert!(!matches!(again, Err(Error::Refused { .. })), "{again:?}");
    assert_eq!(node.journals.len(), 1);
}

// Guards against connections without a call that shut peers out for good.
#[tokio::test]
async fn a_silent_connection_gives_its_place_back() {
    let options = PeerOptions {
        max_connections: 1,
        idle_timeout: Duration::from_millis(200),
        keepalive_timeout: Duration::from_millis(100),
        ..PeerOptions::default()
    };
    let security = PeerSecurity::PlaintextOnLoopback;
    let node = start_with(0, Vec::new(), security.clone(), options).await;
    let silent = tokio::net::TcpStream::connect(node.address).await;
    let clients = clients(security);

    let mut served = false;
    for _ in 0..50 {
        served = served || answers(&clients, node.address).await;
    }

    assert!(served);
    drop(silent);
}

#[rstest]
#[case::plaintext(false)]
#[case::tls(true)]
#[tokio::test]
async fn call_to_a_silent_listener_ends_by_its_deadline(#[case] is_tls: bool) {
    let listener = TcpListener::bind(any_port()).await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        let mut streams = Vec::new();
        while let Ok((stream, _)) = listener.accept().await {
            streams.push(stream);
        }
    });
    let authority = Authority::new();
    let security = if is_tls {
        tls(&authority, &[&authority])
    } else {
        PeerSecurity::PlaintextOnLoopback
    };
    let clients = clients(security);

    let call = clients.read_report(address, "status");
    let result = tokio::time::timeout(Duration::from_secs(20), call).await;

    let result = result.expect("the call ended by its own deadline");
    assert!(result.is_err());
    assert_eq!(clients.connection_count(), 0);
}

#[tokio::test]
async fn silent_connection_is_replaced() {
    let node = node_with(PeerSecurity::PlaintextOnLoopback).await;
    let proxy = Proxy::start(node.address).await;
    let clients = clients(PeerSecurity::PlaintextOnLoopback);
    assert!(answers(&clients, proxy.address).await);

    proxy.silence_open_connections();
    let during = answers(&clients, proxy.address).await;
    let after = answers(&clients, proxy.address).await;

    assert!(!during);
    assert!(after);
}

#[tokio::test]
async fn call_ends_by_its_deadline_when_the_peer_answers_only_keepalives() {
    let options = PeerOptions {
        serve_timeout: Duration::from_secs(3_600),
        ..PeerOptions::default()
    };
    let security = PeerSecurity::PlaintextOnLoopback;
    let node = start_with(0, Vec::new(), security.clone(), options).await;
    let clients = clients(security);

    let call = clients.read_report(node.address, support::STALLED_REPORT);
    let result = tokio::time::timeout(Duration::from_secs(20), call).await;

    let result = result.expect("the call ended by its own deadline");
    assert!(matches!(result, Err(Error::DeadlineExceeded { .. })));
}

#[tokio::test]
async fn shutdown_completes_with_idle_connections_open() {
    let node = node_with(PeerSecurity::PlaintextOnLoopback).await;
    let clients = clients(PeerSecurity::PlaintextOnLoopback);
    assert!(answers(&clients, node.address).await);

    let shut_down = tokio::time::timeout(Duration::from_secs(20), node.server.shut_down()).await;

    assert!(shut_down.is_ok());
}

#[tokio::test]
async fn nodes_discover_each_other_and_share_news_over_tls() {
    let authority = Authority::new();
    let security = tls(&authority, &[&authority]);
    let first = start(0, Vec::new(), security.clone()).await;
    let mut nodes = vec![];
    for index in 1..4 {
        nodes.push(start(index, vec![first.address], security.clone()).await);
    }
    nodes.push(first);
    let alive = |node: &Node| {
        let members = node.handles.membership.members();
        members.iter().filter(|member| member.is_alive()).count()
    };
    until(|| nodes.iter().all(|node| alive(node) == 4)).await;

    let head = verbenahead_membership::ManifestHead {
        generation: verbenahead_core::Generation(7),
        digest: verbenahead_core::Digest::of("manifest"),
    };
    let item = verbenahead_membership::NewsItem::ManifestHead(head);
    nodes[1]
        .handles
        .news
        .publish(item)
        .await
        .expect("the task runs");

    let has_head = |node: &Node| node.handles.news.snapshot().manifest_head == Some(head);
    until(|| nodes.iter().all(has_head)).await;
}

/// `Proxy` forwards bytes to a node until its open connections are silenced.
struct Proxy {
    address: SocketAddr,
    silence: tokio::sync::watch::Sender<u64>,
}

impl Proxy {
    async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind(any_port()).await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let (silence, silenced) = tokio::sync::watch::channel(0);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let mut silenced = silenced.clone();
                silenced.mark_unchanged();
                tokio::spawn(forward(stream, target, silenced));
            }
        });
        Self { address, silence }
    }

    fn silence_open_connections(&self) {
        self.silence.send_modify(|count| *count += 1);
    }
}

async fn forward(
    mut stream: tokio::net::TcpStream,
    target: SocketAddr,
    mut silenced: tokio::sync::watch::Receiver<u64>,
) {
    let Ok(mut target) = tokio::net::TcpStream::connect(target).await else {
        return;
    };
    tokio::select! {
        _ = tokio::io::copy_bidirectional(&mut stream, &mut target) => return,
        _ = silenced.changed() => {}
    }
    // The connection stays open. Received bytes are discarded.
    let mut buf = [0; 1_024];
    while stream.read(&mut buf).await.is_ok_and(|read| read > 0) {}
}
