//! Messages and transport between nodes: gRPC calls, reports in datagrams, and the journals of
//! running requests that nodes keep for each other.

pub mod clients;
pub mod credentials;
pub mod errors;
pub mod journal;
pub mod journal_appender;
pub mod journal_hand_over;
pub mod journal_holders;
pub mod journal_lookup;
pub mod journal_store;
pub mod options;
pub mod report;
pub mod report_socket;
pub mod server;
pub mod service;

/// Generated messages of the calls. They are converted to the types of this workspace on receipt.
#[allow(missing_docs, clippy::all)]
#[rustfmt::skip]
#[path = "generated/verbenahead.peer.v1.rs"]
pub mod wire;

/// Generated messages of the reports. They are converted to the types of this workspace on receipt.
#[allow(missing_docs, clippy::all)]
#[rustfmt::skip]
#[path = "generated/verbenahead.report.v1.rs"]
pub mod report_wire;

mod admission;
mod connections;
mod convert;

pub use clients::PeerClients;
pub use credentials::{PeerCredentials, PeerSecurity};
pub use errors::{Error, Result};
pub use journal::{
    JournalAppend, JournalDrop, JournalRecord, JournalRefusal, JournalResult, JournalTakeOver,
};
pub use journal_appender::JournalAppender;
pub use journal_hand_over::{HandOverOutcome, hand_over_journals};
pub use journal_holders::{journal_holders, journal_lookup_order};
pub use journal_lookup::{FoundJournal, find_journal};
pub use journal_store::{JournalStore, JournalStoreOptions};
pub use options::PeerOptions;
pub use report::{NoReports, ReportSource};
pub use report_socket::{
    Datagram, EncodedReport, ReportSocket, decode_datagram, decode_report, encode_failure,
    encode_notice, encode_origin, encode_placement, encode_quarantine, encode_quota,
    encode_rollout,
};
pub use server::{PeerListener, PeerServerHandle};
pub use service::PeerService;
