//! Reads the routes that the operator writes to the platform's table.

use std::sync::Arc;

use tokio::sync::watch;
use verbenahead_manifest::RouteTable;
use verbenahead_services::{Error, FeedRow, Result, Snapshot};
use verbenahead_state::follower::TableObserver;

use crate::relay_node::reporter::NodeStatus;

/// `ReadRoutes` decodes the routes from the value of their row.
pub type ReadRoutes = fn(&[u8]) -> Result<RouteTable>;

/// `RouteObserver` watches the row that holds the routes and passes each version on whose generation is
/// higher than the one before.
pub struct RouteObserver {
    key: &'static str,
    read: ReadRoutes,
    routes: watch::Sender<Option<Arc<RouteTable>>>,
    status: Arc<NodeStatus>,
}

impl RouteObserver {
    /// Builds an observer of the row `key`. It sends the stored routes to `routes` and records in
    /// `status` whether the store answers.
    pub fn new(
        key: &'static str,
        read: ReadRoutes,
        routes: watch::Sender<Option<Arc<RouteTable>>>,
        status: Arc<NodeStatus>,
    ) -> Self {
        Self {
            key,
            read,
            routes,
            status,
        }
    }

    fn apply_rows(&self, rows: Vec<FeedRow>) {
        let values = rows.into_iter().filter(|row| row.key == self.key);
        for value in values.filter_map(|row| row.value) {
            match (self.read)(&value) {
                Ok(table) => replace_routes(&self.routes, table),
                Err(error) => tracing::error!(%error, "routes cannot be read, the old ones stay"),
            }
        }
    }
}

/// Replaces the stored routes by `table`, unless their generation is the same or later.
fn replace_routes(routes: &watch::Sender<Option<Arc<RouteTable>>>, table: RouteTable) {
    routes.send_if_modified(|current| {
        let before = current.as_ref().map(|current| current.generation());
        let is_later = before.is_none_or(|before| table.generation() > before);
        if is_later {
            *current = Some(Arc::new(table));
        }
        is_later
    });
}

impl TableObserver for RouteObserver {
    fn on_snapshot(&mut self, snapshot: Snapshot) {
        self.apply_rows(snapshot.rows);
    }

    fn on_changes(&mut self, rows: Vec<FeedRow>) {
        self.apply_rows(rows);
    }

    fn on_unavailable(&mut self, error: &Error) {
        self.status.set_reaches_store(false);
        tracing::warn!(dependency = "store", table = "routes", %error, "dependency lost");
    }

    fn on_available(&mut self) {
        self.status.set_reaches_store(true);
        tracing::info!(
            dependency = "store",
            table = "routes",
            "dependency regained"
        );
    }
}
