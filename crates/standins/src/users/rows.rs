//! In-memory rows with one version counter and a history of changes.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde_json::{Value, json};

/// `RowName` names a row.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
pub struct RowName {
    /// Table of the row.
    pub table: String,
    /// Part of the table.
    #[serde(default)]
    pub part: String,
    /// Key within the part.
    pub key: String,
}

#[derive(Debug, Clone)]
struct StoredRow {
    value: String,
    ver: u64,
}

#[derive(Debug, Clone)]
struct Change {
    name: RowName,
    ver: u64,
}

/// `Transaction` is the body of a write call.
#[derive(Debug, Default, Deserialize)]
pub struct Transaction {
    /// Conditions: rows and their expected versions.
    #[serde(default)]
    pub expected_rev: Vec<Expected>,
    /// Rows to write.
    #[serde(default)]
    pub set_keys: Vec<Put>,
    /// Rows to remove.
    #[serde(default)]
    pub remove: Vec<RowName>,
}

/// `Expected` is a condition of a transaction. Version 0 stands for an absent row.
#[derive(Debug, Deserialize)]
pub struct Expected {
    #[serde(flatten)]
    name: RowName,
    ver: u64,
}

/// `Put` writes a row.
#[derive(Debug, Deserialize)]
pub struct Put {
    /// Row to write.
    #[serde(flatten)]
    pub name: RowName,
    /// New value in base64.
    pub value: String,
}

/// `Rows` holds all rows of a store.
#[derive(Debug, Clone, Default)]
pub struct Rows {
    rows: BTreeMap<RowName, StoredRow>,
    changes: Vec<Change>,
    ver: u64,
    /// Newest version whose changes are no longer in the history.
    discarded_through: u64,
}

impl Rows {
    /// Returns the version of the last commit.
    pub fn ver(&self) -> u64 {
        self.ver
    }

    /// Applies a transaction if all its conditions hold, and returns its version.
    ///
    /// # Errors
    ///
    /// The current rows that the conditions name, when a condition does not hold.
    pub fn commit(&mut self, transaction: Transaction) -> Result<u64, Vec<Value>> {
        let holds = |expected: &Expected| {
            let ver = self.rows.get(&expected.name).map_or(0, |row| row.ver);
            ver == expected.ver
        };
        if !transaction.expected_rev.iter().all(holds) {
            let names = transaction.expected_rev.iter().map(|e| &e.name);
            return Err(names.filter_map(|name| self.row(name)).collect());
        }
        self.ver += 1;
        for put in transaction.set_keys {
            self.record_change(&put.name);
            let row = StoredRow {
                value: put.value,
                ver: self.ver,
            };
            self.rows.insert(put.name, row);
        }
        for name in transaction.remove {
            self.record_change(&name);
            self.rows.remove(&name);
        }
        Ok(self.ver)
    }

    fn record_change(&mut self, name: &RowName) {
        self.changes.push(Change {
            name: name.clone(),
            ver: self.ver,
        });
    }

    fn row(&self, name: &RowName) -> Option<Value> {
        let row = self.rows.get(name)?;
        Some(json!({
            "table": name.table, "part": name.part, "key": name.key,
            "value": row.value, "ver": row.ver,
        }))
    }

    /// Returns up to `limit` rows of a table from the key `from` on, and whether more follow.
    pub fn page(&self, table: &str, from: &str, limit: usize) -> (Vec<Value>, bool) {
        let names = self.rows.keys();
        let mut names = names.filter(|name| name.table == table && *name.key >= *from);
        let page: Vec<Value> = names
            .by_ref()
            .take(limit)
            .filter_map(|name| self.row(name))
            .collect();
        (page, names.next().is_some())
    }

    /// Returns the rows of a table that changed after version `since`, or `None` when the history
    /// does not reach back that far.
    pub fn changed(&self, table: &str, since: u64) -> Option<Vec<Value>> {
        if since < self.discarded_through || since > self.ver {
            return None;
        }
        let changes = self.changes.iter();
        let changes = changes.filter(|change| change.ver > since && change.name.table == table);
        let row = |change: &Change| match self.row(&change.name) {
            Some(row) => row,
            None => json!({
                "table": change.name.table, "part": change.name.part, "key": change.name.key,
                "ver": change.ver, "deleted": true,
            }),
        };
        Some(changes.map(row).collect())
    }

    /// Discards the history of changes.
    pub fn discard_history(&mut self) {
        self.changes.clear();
        self.discarded_through = self.ver;
    }
}
