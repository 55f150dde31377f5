//! Traits of the platform's services and their adapters.
//!
//! Only adapters know a wire protocol. Support for another platform needs only an adapter, which
//! is registered in the [`PlatformRegistry`].

pub mod calls;
pub mod cloud;
pub mod duties;
pub mod era;
pub mod errors;
pub mod feed;
pub mod http;
pub mod memory;
pub mod memory_object_store;
pub mod object_store;
pub mod registry;
pub mod replicas;
pub mod rollouts;
pub mod secret;
pub mod table;
pub mod vm_list;

pub use cloud::{Cloud, Market, ReclaimNotice, StartOutcome, StartVm};
pub use duties::{DutyHolder, DutyOutcome, FleetOrders, ReplicaOrder, UsageReport, UsageReports};
pub use era::{EraView, SeenEra, StoreEra};
pub use errors::{Error, Result};
pub use feed::{FeedAnswer, FeedNotice, FeedPosition, FeedRow, NoticeContent, Snapshot, TableFeed};
pub use http::{HttpPlatform, HttpPlatformOptions};
pub use memory::MemoryTable;
pub use memory_object_store::MemoryObjectStore;
pub use object_store::{ObjectName, ObjectStore};
pub use registry::{Platform, PlatformOptions, PlatformRegistry};
pub use replicas::{ReplicaRecord, ReplicaState};
pub use rollouts::{RolloutOrder, RolloutState};
pub use secret::Secret;
pub use table::{
    Condition, Mutation, Refusal, Row, RowKey, Table, TableName, Version, Write, WriteOutcome,
};
pub use vm_list::{VmList, VmRecord, VmState};
