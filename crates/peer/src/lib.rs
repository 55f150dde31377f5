//! Messages and transport between nodes.

pub mod journal;

pub use journal::{JournalAppend, JournalRecord, JournalRefusal};
