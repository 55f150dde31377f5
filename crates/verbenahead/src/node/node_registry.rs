//! Registers the addresses of nodes in the platform's table, so that nodes find each other even after
//! all earlier ones have been replaced.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use rand::Rng;
use serde::{Deserialize, Serialize};
use tokio::{sync::watch, time::sleep};
use verbenahead_core::NodeId;
use verbenahead_membership::{MembershipHandle, NodeIdentity};
use verbenahead_services::{Condition, Mutation, RowKey, Table, TableName, Write, WriteOutcome};
use verbenahead_state::UnixMillis;

const NODE_TABLE: TableName = TableName("nodes");

/// Mean time between two writes of a node's own row.
const REFRESH_PERIOD: Duration = Duration::from_secs(300);

/// Age from which a row is ignored and removed by any node that reads it.
const STALE_AGE: Duration = Duration::from_secs(3_600);

/// Delay before a failed refresh is retried.
const RETRY_DELAY: Duration = Duration::from_secs(5);

/// Maximum number of rows read in one call.
const MAX_ROWS: usize = 1_000;

#[derive(Debug, Serialize, Deserialize)]
struct NodeRow {
    address: SocketAddr,
    seen_at: UnixMillis,
}

/// `NodeRegistry` writes the row of its node and reads the rows of the others.
pub struct NodeRegistry {
    table: Arc<dyn Table>,
    identity: NodeIdentity,
}

impl NodeRegistry {
    /// Creates the registry of a node.
    pub fn new(table: Arc<dyn Table>, identity: NodeIdentity) -> Self {
        Self { table, identity }
    }

    /// Writes the node's row, removes stale rows and returns the addresses of all registered nodes.
    ///
    /// # Errors
    ///
    /// When the rows cannot be read.
    pub async fn refresh(&self) -> verbenahead_services::Result<Vec<SocketAddr>> {
        self.write_own().await;
        let rows = self.table.list(NODE_TABLE, "", None, MAX_ROWS).await?;
        let now = UnixMillis::now();
        let mut addresses = Vec::new();
        for (key, row) in rows {
            let Ok(node) = serde_json::from_slice::<NodeRow>(&row.value) else {
                continue;
            };
            if now.since(node.seen_at) < STALE_AGE {
                addresses.push(node.address);
                continue;
            }
            let _ = self
                .table
                .write(vec![Write {
                    key: RowKey::new(NODE_TABLE, key),
                    condition: Condition::VersionIs(row.version),
                    mutation: Mutation::Delete,
                }])
                .await;
        }
        Ok(addresses)
    }

    async fn write_own(&self) {
        let row = NodeRow {
            address: self.identity.address,
            seen_at: UnixMillis::now(),
        };
        let Ok(value) = serde_json::to_vec(&row) else {
            return;
        };
        let outcome = self
            .table
            .write(vec![Write {
                key: own_key(&self.identity.node),
                condition: Condition::Always,
                mutation: Mutation::Put(value.into()),
            }])
            .await;
        if !matches!(outcome, WriteOutcome::Done(_)) {
            tracing::warn!(?outcome, "cannot write the node's row");
        }
    }

    /// Removes the node's row.
    pub async fn remove_own(&self) {
        let _ = self
            .table
            .write(vec![Write {
                key: own_key(&self.identity.node),
                condition: Condition::Always,
                mutation: Mutation::Delete,
            }])
            .await;
    }

    /// Refreshes the node's row and passes the addresses to the membership, until `stop` closes.
    /// Then removes the row.
    pub async fn run(self, membership: MembershipHandle, mut stop: watch::Receiver<()>) {
        loop {
            let delay = match self.refresh().await {
                Ok(seeds) => {
                    let _ = membership.set_seeds(seeds).await;
                    REFRESH_PERIOD.mul_f64(rand::rng().random_range(0.5..1.5))
                }
                Err(error) => {
                    tracing::warn!(%error, "cannot read the registered nodes");
                    RETRY_DELAY
                }
            };
            tokio::select! {
                () = sleep(delay) => {}
                _ = stop.changed() => break,
            }
        }
        self.remove_own().await;
    }
}

fn own_key(node: &NodeId) -> RowKey {
    RowKey::new(NODE_TABLE, node.as_str())
}
