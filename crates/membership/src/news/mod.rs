//! News that every node has to know within seconds: the manifest in force and leaving upstreams.

mod board;
mod handle;
mod item;
mod options;
mod outbox;
mod task;

pub use board::{NewsBoard, NewsSnapshot, UpstreamNews, UpstreamStatus};
pub use handle::{NewsHandle, RefreshReport};
pub use item::{ManifestHead, NewsItem, UpstreamGone, UpstreamLeaving};
pub use options::{NewsOptions, PushPolicy};

pub(crate) use task::{NewsParts, spawn};
