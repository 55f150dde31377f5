//! Seeds and credentials for the connections between nodes.

use std::net::SocketAddr;

use verbenahead_core::document::{Node, Object};

use super::{
    credentials::read_reference, listeners::parse_address, platform::check_port,
    secret::SecretReference,
};

const PEER_KEYS: &[&str] = &["seeds", "tls", "plaintext_on_loopback"];

const TLS_KEYS: &[&str] = &["certificate", "key", "authorities"];

/// `PeerSettings` say how a node finds the other nodes and how nodes authenticate each other.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerSettings {
    /// Peer addresses of some nodes, contacted at the start. They may include the node's own.
    pub seeds: Vec<SocketAddr>,
    /// Credentials for the connections between nodes.
    pub credentials: PeerCredentials,
}

/// `PeerCredentials` say how nodes authenticate each other.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PeerCredentials {
    /// No authentication and no encryption. Only for nodes on the loopback interface of one
    /// machine.
    PlaintextOnLoopback,
    /// Mutual TLS.
    Tls(TlsReferences),
}

impl PeerCredentials {
    /// Returns the references to secrets.
    pub fn references(&self) -> impl Iterator<Item = &SecretReference> {
        let tls = match self {
            Self::PlaintextOnLoopback => None,
            Self::Tls(tls) => Some(tls),
        };
        tls.into_iter().flat_map(|tls| {
            let own = [&tls.certificate, &tls.key];
            own.into_iter().chain(&tls.authorities)
        })
    }
}

/// `TlsReferences` refer to the PEM texts for mutual TLS.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TlsReferences {
    /// Certificate of this node.
    pub certificate: SecretReference,
    /// Private key of this node.
    pub key: SecretReference,
    /// Certificates of the trusted authorities. During a rotation, both the old and the new one.
    pub authorities: Vec<SecretReference>,
}

/// Parses the peer settings. `own` is the address of the node's own listener for peers.
pub(super) fn read(node: &Node<'_>, own: Option<SocketAddr>) -> Option<PeerSettings> {
    let object = node.object(PEER_KEYS)?;
    let seeds = object.required("seeds").and_then(|node| {
        let seeds = node.list(|node| {
            let seed = parse_address(node)?;
            check_port(node, seed);
            Some(seed)
        })?;
        Some(seeds.unique("seed", |seed| *seed).into_values())
    });
    let credentials = read_credentials(&object);
    let settings = PeerSettings {
        seeds: seeds?,
        credentials: credentials?,
    };
    check_loopback(&object, &settings, own);
    Some(settings)
}

fn read_credentials(object: &Object<'_>) -> Option<PeerCredentials> {
    let plaintext = object.read_or("plaintext_on_loopback", false, Node::boolean)?;
    match (object.optional("tls"), plaintext) {
        (Some(node), false) => read_tls(&node).map(PeerCredentials::Tls),
        (None, true) => Some(PeerCredentials::PlaintextOnLoopback),
        (Some(node), true) => {
            node.report("`tls` and `plaintext_on_loopback` exclude each other");
            None
        }
        (None, false) => {
            let message = "nodes need credentials: `tls`, or `plaintext_on_loopback` set to true";
            object.node().report(message);
            None
        }
    }
}

fn read_tls(node: &Node<'_>) -> Option<TlsReferences> {
    let object = node.object(TLS_KEYS)?;
    let reference = |key| {
        let node = object.required(key)?;
        read_reference(&node)
    };
    let certificate = reference("certificate");
    let key = reference("key");
    let authorities = object
        .required("authorities")
        .and_then(|node| node.list(read_reference))
        .map(|authorities| authorities.not_empty("authority").into_values());
    Some(TlsReferences {
        certificate: certificate?,
        key: key?,
        authorities: authorities?,
    })
}

fn check_loopback(object: &Object<'_>, settings: &PeerSettings, own: Option<SocketAddr>) {
    if settings.credentials != PeerCredentials::PlaintextOnLoopback {
        return;
    }
    let is_remote = |address: &&SocketAddr| !address.ip().is_loopback();
    let mut addresses = settings.seeds.iter().chain(&own);
    if let Some(address) = addresses.find(is_remote) {
        let message = format!("plain text is for the loopback interface only, not for {address}");
        object.node().report(message);
    }
}
