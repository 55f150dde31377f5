//! Rows with one version counter and a history of changes.

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

/// `Transaction` is a call that writes.
#[derive(Debug, Default, Deserialize)]
pub struct Transaction {
    /// Rows with the versions that they must have.
    #[serde(default)]
    pub expected_rev: Vec<Expected>,
    /// Rows with their new values.
    #[serde(default)]
    pub set_keys: Vec<Put>,
    /// Rows that go.
    #[serde(default)]
    pub remove: Vec<RowName>,
}

/// `Expected` is a condition of a transaction.
#[derive(Debug, Deserialize)]
pub struct Expected {
    #[serde(flatten)]
    name: RowName,
    ver: u64,
}

/// `Put` is a new value of a row.
#[derive(Debug, Deserialize)]
pub struct Put {
    /// Row to write.
    #[serde(flatten)]
    pub name: RowName,
    /// Value in base64.
    pub value: String,
}

/// `Rows` are all rows of a store.
#[derive(Debug, Default)]
pub struct Rows {
    rows: BTreeMap<RowName, StoredRow>,
    changes: Vec<Change>,
    ver: u64,
    /// Versions up to this one are no longer in the history.
    forgotten: u64,
}

impl Rows {
    /// Returns the newest version.
    pub fn ver(&self) -> u64 {
        self.ver
    }

    /// Carries a transaction out, or returns the rows of its conditions.
    ///
    /// # Errors
    ///
    /// The rows as they are, when a condition does not hold.
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
            self.note(&put.name);
            let row = StoredRow {
                value: put.value,
                ver: self.ver,
            };
            self.rows.insert(put.name, row);
        }
        for name in transaction.remove {
            self.note(&name);
            self.rows.remove(&name);
        }
        Ok(self.ver)
    }

    fn note(&mut self, name: &RowName) {
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

    /// Returns a page of a table from a key on, and whether there is more.
    pub fn page(&self, table: &str, from: &str, limit: usize) -> (Vec<Value>, bool) {
        let of_table = self.rows.keys();
        let mut of_table = of_table.filter(|name| name.table == table && *name.key >= *from);
        let page: Vec<Value> = of_table
            .by_ref()
            .take(limit)
            .filter_map(|name| self.row(name))
            .collect();
        (page, of_table.next().is_some())
    }

    /// Returns the rows of a table that changed after a version, or nothing when the history does
    /// not reach back that far.
    pub fn changed(&self, table: &str, since: u64) -> Option<Vec<Value>> {
        if since < self.forgotten {
            return None;
        }
        let after = self.changes.iter();
        let after = after.filter(|change| change.ver > since && change.name.table == table);
        let row = |change: &Change| match self.row(&change.name) {
            Some(row) => row,
            None => json!({
                "table": change.name.table, "part": change.name.part, "key": change.name.key,
                "ver": change.ver, "deleted": true,
            }),
        };
        Some(after.map(row).collect())
    }

    /// Forgets the history.
    pub fn forget_history(&mut self) {
        self.changes.clear();
        self.forgotten = self.ver;
    }
}
