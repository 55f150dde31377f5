//! The table rows by which relaying nodes discover each other.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use rand::Rng;
use serde::{Deserialize, Serialize};
use tokio::time::sleep;
use verbenahead_core::{AvailabilityZone, Incarnation, NodeId};
use verbenahead_services::{Condition, Mutation, RowKey, Table, TableName, Write, WriteOutcome};

/// Table with a row for each node, whose key is the id of the node.
const NODE_TABLE: TableName = TableName("nodes");

/// Most rows that are read from the table.
const MAX_NODES: usize = 500;

/// Longest pause before the first retry of a failed call. Pauses are random, so that nodes that
/// start together do not retry together.
const FIRST_BACKOFF: Duration = Duration::from_millis(150);

/// Longest pause before any retry.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// `NodeRow` is the value of a node's row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeRow {
    /// Availability zone of the node.
    pub zone: AvailabilityZone,
    /// Address at which the node receives reports.
    pub peers: SocketAddr,
    /// Incarnation of the node.
    pub incarnation: Incarnation,
}

/// `NodeDirectory` writes the row of this node and reads those of the other nodes.
pub struct NodeDirectory {
    table: Arc<dyn Table>,
    node: NodeId,
    row: NodeRow,
}

impl NodeDirectory {
    /// Builds a directory over `table` for the node `node`, whose row is `row`.
    pub fn new(table: Arc<dyn Table>, node: NodeId, row: NodeRow) -> Self {
        Self { table, node, row }
    }

    /// Writes the row of this node, then reads and returns those of the other nodes. Retries until
    /// both calls succeed. Of two nodes that start together, the one that writes later reads the row
    /// of the other.
    pub async fn register(&self) -> Vec<(NodeId, NodeRow)> {
        let mut backoff = FIRST_BACKOFF;
        loop {
            match self.write_own().await {
                WriteOutcome::Done(_) => break,
                outcome => tracing::debug!(?outcome, "row of this node not written"),
            }
            sleep_backoff(&mut backoff).await;
        }
        loop {
            match self.read_others().await {
                Ok(rows) => return rows,
                Err(error) => tracing::debug!(%error, "rows of the other nodes not read"),
            }
            sleep_backoff(&mut backoff).await;
        }
    }

    /// Reads the rows of the other nodes.
    ///
    /// # Errors
    ///
    /// When the store gives no usable answer.
    pub async fn read_others(&self) -> verbenahead_services::Result<Vec<(NodeId, NodeRow)>> {
        let rows = self.table.list(NODE_TABLE, "", None, MAX_NODES).await?;
        let parsed = rows.into_iter().filter_map(|(key, row)| {
            let node = NodeId::try_new(&key).ok()?;
            match serde_json::from_slice(&row.value) {
                Ok(value) => Some((node, value)),
                Err(error) => {
                    tracing::warn!(key, %error, "row of a node cannot be decoded");
                    None
                }
            }
        });
        Ok(parsed.filter(|(node, _)| *node != self.node).collect())
    }

    /// Deletes the rows of `nodes`, which are gone.
    pub async fn remove(&self, nodes: &[NodeId]) {
        let delete = |node: &NodeId| Write {
            key: RowKey::new(NODE_TABLE, node.as_str()),
            condition: Condition::Always,
            mutation: Mutation::Delete,
        };
        let outcome = self.table.write(nodes.iter().map(delete).collect()).await;
        tracing::info!(count = nodes.len(), ?outcome, "rows of gone nodes deleted");
    }

    async fn write_own(&self) -> WriteOutcome {
        let value = match serde_json::to_vec(&self.row) {
            Ok(value) => Bytes::from(value),
            Err(error) => return WriteOutcome::NotSent(error.to_string()),
        };
        let write = Write {
            key: RowKey::new(NODE_TABLE, self.node.as_str()),
            condition: Condition::Always,
            mutation: Mutation::Put(value),
        };
        self.table.write(vec![write]).await
    }
}

async fn sleep_backoff(backoff: &mut Duration) {
    let delay = backoff.mul_f64(rand::rng().random_range(0.5..1.0));
    *backoff = (*backoff * 2).min(MAX_BACKOFF);
    sleep(delay).await;
}
