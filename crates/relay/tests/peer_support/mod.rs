//! Nodes that pass requests on for other nodes.
#![allow(dead_code)]

use std::{net::SocketAddr, sync::Arc, time::Duration};

use axum::{Router, body::Body, extract::Request as AxumRequest};
use tokio::net::TcpListener;
use verbenahead_core::{AvailabilityZone, NodeId};
use verbenahead_membership::{Roster, RosterOptions, SharedRoster};
use verbenahead_relay::{PeerPaths, PeerPathsOptions, Relay};
use verbenahead_upstream::{Connections, ConnectionsOptions};

/// Returns the paths of a node in the zone `east` through nodes at the given addresses and zones.
pub fn peer_paths_to(others: &[(SocketAddr, &str)]) -> PeerPaths {
    let own = NodeId::try_new("n1").expect("valid id");
    let zone = AvailabilityZone::try_new("east").expect("valid zone");
    // Listed nodes send no reports in these tests.
    let options = RosterOptions {
        min_silence: Duration::from_secs(60),
        ..RosterOptions::default()
    };
    let mut roster = Roster::new(own, options);
    for (n, (address, zone)) in others.iter().enumerate() {
        let node = NodeId::try_new(format!("other-{n}")).expect("valid id");
        let zone = AvailabilityZone::try_new(zone).expect("valid zone");
        roster.add_listed(node, *address, zone);
    }
    let connections = Connections::new(ConnectionsOptions::default());
    let roster = SharedRoster::new(roster);
    PeerPaths::new(PeerPathsOptions::default(), zone, roster, connections)
}

/// Serves the requests that other nodes ask a node to pass on.
pub async fn serve_forwards(relay: &Arc<Relay>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let relay = Arc::clone(relay);
    let router = Router::new().fallback(move |req: AxumRequest| {
        let relay = Arc::clone(&relay);
        async move { relay.forward(req).await.map(Body::new) }
    });
    tokio::spawn(async move { axum::serve(listener, router).await });
    address
}
