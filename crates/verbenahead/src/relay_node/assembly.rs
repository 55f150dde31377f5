//! Builds the parts of a relaying node.

use std::sync::Arc;

use anyhow::Context;
use axum::{Router, body::Body, extract::Request, response::Response};
use tokio::sync::watch;
use verbenahead_manifest::RouteTable;
use verbenahead_platform::{
    CONFIGURATION_KEY, OPERATOR_TABLE, REPLICA_TABLE, UsersDialect, UsersStore, read_configuration,
    read_registration,
};
use verbenahead_relay::{Placer, Relay, RelayOptions, RelayParts, RouteView, UpstreamRegistry};
use verbenahead_services::{HttpPlatformOptions, PlatformOptions, TableFeed, calls::Calls};
use verbenahead_state::follower::{FollowerHandle, FollowerOptions, follow};
use verbenahead_upstream::{Connections, ConnectionsOptions};

use crate::{
    relay_node::{replica_observer::ReplicaObserver, route_observer::RouteObserver},
    settings::RelaySettings,
};

/// `RelayNode` holds the parts of a relaying node.
pub(super) struct RelayNode {
    pub(super) relay: Arc<Relay>,
    pub(super) routes: RouteView,
    /// Dropping these ends the tasks that follow the platform.
    pub(super) followers: Vec<FollowerHandle>,
}

/// Builds the parts and starts to follow the platform.
pub(super) fn assemble(settings: &RelaySettings) -> anyhow::Result<RelayNode> {
    let store = Arc::new(UsersStore::new(store_calls(settings)?));
    let feed: Arc<dyn TableFeed> = store;
    let (routes_tx, routes) = watch::channel::<Option<Arc<RouteTable>>>(None);
    let registry = Arc::new(UpstreamRegistry::default());
    let options = FollowerOptions::default();
    let route_observer = RouteObserver::new(CONFIGURATION_KEY, read_configuration, routes_tx);
    let replica_observer = ReplicaObserver::new(read_registration, Arc::clone(&registry));
    let followers = vec![
        follow(Arc::clone(&feed), OPERATOR_TABLE, options, route_observer),
        follow(feed, REPLICA_TABLE, options, replica_observer),
    ];
    let relay = Relay::new(RelayParts {
        dialect: Arc::new(UsersDialect),
        connections: Connections::new(ConnectionsOptions::default()),
        routes: routes.clone(),
        placer: Placer::new(settings.zone.clone(), Arc::clone(&registry)),
        registry,
        options: RelayOptions::default(),
    });
    Ok(RelayNode {
        relay: Arc::new(relay),
        routes,
        followers,
    })
}

fn store_calls(settings: &RelaySettings) -> anyhow::Result<Calls> {
    let options = PlatformOptions {
        address: settings.platform.store,
        ..PlatformOptions::default()
    };
    Calls::try_new(HttpPlatformOptions::from(&options)).context("cannot use the platform's store")
}

/// Returns the routes of the callers' listener: everything goes to the relay.
pub(super) fn caller_router(relay: Arc<Relay>) -> Router {
    Router::new().fallback(move |req: Request| {
        let relay = Arc::clone(&relay);
        async move { relay.handle(req).await.map(Body::new) as Response }
    })
}
