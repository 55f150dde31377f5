//! The rows by which nodes find each other.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use rand::Rng;
use serde::{Deserialize, Serialize};
use tokio::time::sleep;
use verbenahead_core::{AvailabilityZone, Incarnation, NodeId};
use verbenahead_services::{Condition, Mutation, RowKey, Table, TableName, Write, WriteOutcome};

/// Table with a row for each node, whose key is the id of the node.
const NODE_TABLE: TableName = TableName("nodes");

/// Most rows that are read.
const MAX_NODES: usize = 500;

/// Longest pause before the first repetition of a failed call. Pauses are drawn, so that nodes
/// that start together do not come back together.
const FIRST_BACKOFF: Duration = Duration::from_millis(150);

/// Longest pause of all.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// `NodeRow` is the value of a row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeRow {
    /// Availability zone of the node.
    pub zone: AvailabilityZone,
    /// Address at which it takes reports.
    pub peers: SocketAddr,
    /// Life of the node.
    pub incarnation: Incarnation,
}

/// `NodeDirectory` writes the node's own row and reads those of the others.
pub struct NodeDirectory {
    table: Arc<dyn Table>,
    node: NodeId,
    row: NodeRow,
}

impl NodeDirectory {
    /// Builds a directory over the table service.
    pub fn new(table: Arc<dyn Table>, node: NodeId, row: NodeRow) -> Self {
        Self { table, node, row }
    }

    /// Writes the own row, and then reads those of the others. Of two nodes that start together,
    /// the one that writes later sees the other.
    pub async fn enter(&self) -> Vec<(NodeId, NodeRow)> {
        let mut backoff = FIRST_BACKOFF;
        loop {
            match self.write_own().await {
                WriteOutcome::Done(_) => break,
                outcome => tracing::debug!(?outcome, "own row not written"),
            }
            pause(&mut backoff).await;
        }
        loop {
            match self.others().await {
                Ok(rows) => return rows,
                Err(error) => tracing::debug!(%error, "rows of nodes not read"),
            }
            pause(&mut backoff).await;
        }
    }

    /// Reads the rows of the other nodes.
    ///
    /// # Errors
    ///
    /// When the store gives no usable answer.
    pub async fn others(&self) -> verbenahead_services::Result<Vec<(NodeId, NodeRow)>> {
        let rows = self.table.list(NODE_TABLE, "", None, MAX_NODES).await?;
        let parsed = rows.into_iter().filter_map(|(key, row)| {
            let node = NodeId::try_new(&key).ok()?;
            match serde_json::from_slice(&row.value) {
                Ok(value) => Some((node, value)),
                Err(error) => {
                    tracing::warn!(key, %error, "row names no node");
                    None
                }
            }
        });
        Ok(parsed.filter(|(node, _)| *node != self.node).collect())
    }

    /// Removes the rows of nodes that are gone.
    pub async fn remove(&self, nodes: &[NodeId]) {
        let delete = |node: &NodeId| Write {
            key: RowKey::new(NODE_TABLE, node.as_str()),
            condition: Condition::Always,
            mutation: Mutation::Delete,
        };
        let outcome = self.table.write(nodes.iter().map(delete).collect()).await;
        tracing::info!(count = nodes.len(), ?outcome, "rows of gone nodes removed");
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

async fn pause(backoff: &mut Duration) {
    let drawn = backoff.mul_f64(rand::rng().random_range(0.5..1.0));
    *backoff = (*backoff * 2).min(MAX_BACKOFF);
    sleep(drawn).await;
}
