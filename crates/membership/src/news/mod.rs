//! Dissemination of news: small replicated facts that every node has to learn within seconds.
//!
//! News consists of the head of the manifest in force and the upstreams that are leaving or gone.
//! New items are pushed to peers. Probes carry a digest of the news; a mismatch triggers a full
//! exchange (anti-entropy).

mod handle;
mod item;
mod options;
mod outbox;
mod state;
mod task;

pub use handle::{NewsHandle, RefreshReport};
pub use item::{ManifestHead, NewsItem, UpstreamGone, UpstreamLeaving};
pub use options::{NewsOptions, PushPolicy};
pub use state::{NewsSnapshot, NewsState, UpstreamNews, UpstreamStatus};

pub(crate) use task::{NewsTaskArgs, spawn};
