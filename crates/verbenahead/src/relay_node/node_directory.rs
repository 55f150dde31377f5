//! The table rows by which relaying nodes discover each other, and what else a node has to know at its
//! start.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use rand::Rng;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use tokio::time::sleep;
use verbenahead_core::{
    AvailabilityZone, ContentKey, ContentKind, FeatureLevel, Incarnation, NodeId,
    QuarantinedContent, time::UnixMillis,
};
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

/// Key of the row with what is quarantined. It is no id of a node, and comes before all
/// of them, so that it is on the first page of a listing.
const QUARANTINE_KEY: &str = "!quarantine";

/// Key of the row with the level of features that was in force last. It is no id of a node either.
const FEATURES_KEY: &str = "!features";

/// `SavedFeatures` is the value of the row of the level in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct SavedFeatures {
    level: FeatureLevel,
}

/// `SavedContent` is quarantined content in the row of all of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct SavedContent {
    service: u32,
    /// Missing in rows of nodes that quarantined parts of prompts only.
    #[serde(default)]
    kind: SavedKind,
    id: u64,
    until: UnixMillis,
    times: u32,
}

impl From<QuarantinedContent> for SavedContent {
    fn from(quarantined: QuarantinedContent) -> Self {
        let ContentKey { service, kind, id } = quarantined.key;
        Self {
            service,
            kind: kind.into(),
            id,
            until: quarantined.until,
            times: quarantined.times,
        }
    }
}

impl From<SavedContent> for QuarantinedContent {
    fn from(saved: SavedContent) -> Self {
        Self {
            key: ContentKey {
                service: saved.service,
                kind: saved.kind.into(),
                id: saved.id,
            },
            until: saved.until,
            times: saved.times,
        }
    }
}

/// `SavedKind` is a [`ContentKind`] in a row.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum SavedKind {
    #[default]
    PromptPart,
    Request,
}

impl From<ContentKind> for SavedKind {
    fn from(kind: ContentKind) -> Self {
        match kind {
            ContentKind::PromptPart => Self::PromptPart,
            ContentKind::Request => Self::Request,
        }
    }
}

impl From<SavedKind> for ContentKind {
    fn from(saved: SavedKind) -> Self {
        match saved {
            SavedKind::PromptPart => Self::PromptPart,
            SavedKind::Request => Self::Request,
        }
    }
}

/// `DirectoryListing` is what a node reads at its start.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct DirectoryListing {
    /// The other nodes.
    pub others: Vec<(NodeId, NodeRow)>,
    /// Content of requests that was quarantined.
    pub quarantined: Vec<QuarantinedContent>,
    /// Whether the table was read.
    pub is_read: bool,
    /// Level of features that was in force last, if it was ever written.
    pub features: Option<FeatureLevel>,
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

    /// Writes the row of this node, then reads and returns the rows of the others. Retries until
    /// both calls succeed. Of two nodes that start together, the one that writes later reads the row
    /// of the other.
    pub async fn register(&self) -> DirectoryListing {
        let mut backoff = FIRST_BACKOFF;
        loop {
            match self.write_own().await {
                WriteOutcome::Done(_) => break,
                outcome => tracing::debug!(?outcome, "row of this node not written"),
            }
            sleep_backoff(&mut backoff).await;
        }
        loop {
            match self.read().await {
                Ok(listing) => return listing,
                Err(error) => tracing::debug!(%error, "rows of the other nodes not read"),
            }
            sleep_backoff(&mut backoff).await;
        }
    }

    /// Reads the rows of the other nodes and what is quarantined.
    ///
    /// # Errors
    ///
    /// When the store gives no usable answer.
    pub async fn read(&self) -> verbenahead_services::Result<DirectoryListing> {
        let rows = self.table.list(NODE_TABLE, "", None, MAX_NODES).await?;
        let mut listing = DirectoryListing {
            is_read: true,
            ..DirectoryListing::default()
        };
        for (key, row) in rows {
            if key == QUARANTINE_KEY {
                let saved: Vec<SavedContent> = decode_row(&key, &row.value).unwrap_or_default();
                listing.quarantined = saved.into_iter().map(QuarantinedContent::from).collect();
            } else if key == FEATURES_KEY {
                let saved: Option<SavedFeatures> = decode_row(&key, &row.value);
                listing.features = saved.map(|saved| saved.level);
            } else if let Ok(node) = NodeId::try_new(&key)
                && node != self.node
            {
                let value = decode_row(&key, &row.value);
                listing.others.extend(value.map(|value| (node, value)));
            }
        }
        Ok(listing)
    }

    /// Writes what is quarantined in place of what was written before.
    pub async fn save_quarantined(&self, content: &[QuarantinedContent]) -> WriteOutcome {
        let saved: Vec<SavedContent> = content.iter().copied().map(SavedContent::from).collect();
        self.put(QUARANTINE_KEY, &saved).await
    }

    /// Writes the level of features that is in force.
    pub async fn save_features(&self, level: FeatureLevel) -> WriteOutcome {
        self.put(FEATURES_KEY, &SavedFeatures { level }).await
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
        self.put(self.node.as_str(), &self.row).await
    }

    async fn put(&self, key: &str, value: &impl Serialize) -> WriteOutcome {
        let value = match serde_json::to_vec(value) {
            Ok(value) => Bytes::from(value),
            Err(error) => return WriteOutcome::NotSent(error.to_string()),
        };
        let write = Write {
            key: RowKey::new(NODE_TABLE, key),
            condition: Condition::Always,
            mutation: Mutation::Put(value),
        };
        self.table.write(vec![write]).await
    }
}

/// Decodes the value of a row. Returns `None` if it cannot be decoded.
fn decode_row<T: DeserializeOwned>(key: &str, value: &[u8]) -> Option<T> {
    let decoded = serde_json::from_slice(value);
    decoded
        .inspect_err(
            |error| tracing::warn!(key, %error, "row of the table of nodes cannot be decoded"),
        )
        .ok()
}

async fn sleep_backoff(backoff: &mut Duration) {
    let delay = backoff.mul_f64(rand::rng().random_range(0.5..1.0));
    *backoff = (*backoff * 2).min(MAX_BACKOFF);
    sleep(delay).await;
}
