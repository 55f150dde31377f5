//! Burn rates of the error budgets of the service-level objectives.
//!
//! Each node counts the results of its requests in [`BurnRecorder`]. The counts of the last hour
//! stay in memory, and [`BurnFlush`] writes a compact row per hour to the platform's table, so that
//! the counts outlive the node. [`BurnReporter`] combines the counts in the memory of live nodes
//! with the rows.

pub mod alert;
mod combined_counts;
pub mod counts;
mod flush;
mod plot;
mod recorder;
mod render_html;
mod render_text;
mod report;
mod reporter;
mod roll_up;
mod row;
mod slice;
mod store;
mod stored;
mod window;

pub use alert::BurnAlert;
pub use counts::{Counts, ObjectiveCounts, ObjectiveKind, RequestResult, SeriesKey};
pub use flush::{BurnFlush, BurnFlushOptions};
pub use recorder::{BurnRecorder, LiveCounts, LiveEntry};
pub use render_html::{STYLE, render_page, write_table};
pub use report::{BurnEntry, BurnReport, HourBurn, ObjectiveBurn, StoredState, WindowBurn};
pub use reporter::{BurnReporter, BurnReporterOptions, NodeBurnCounts};
pub use row::{HourRow, RowEntry};
pub use slice::Slice;
pub use store::{BurnStore, NodeRow};
pub use stored::StoredCounts;
pub use window::Window;
