//! Conversions of news.

use bytes::Bytes;
use verbenahead_core::{Digest, Generation, Incarnation};
use verbenahead_membership::{ManifestHead, NewsItem, UnixMillis, UpstreamGone, UpstreamLeaving};

use super::{parse_id, required};
use crate::{
    errors::{Error, Result},
    wire::{self, news_item::Item},
};

impl From<ManifestHead> for wire::ManifestHead {
    fn from(head: ManifestHead) -> Self {
        Self {
            generation: head.generation.0,
            digest: Bytes::copy_from_slice(&head.digest.0),
        }
    }
}

impl TryFrom<wire::ManifestHead> for ManifestHead {
    type Error = Error;

    fn try_from(head: wire::ManifestHead) -> Result<Self> {
        let digest = head
            .digest
            .as_ref()
            .try_into()
            .map_err(|_| Error::malformed("digest", "it is not 32 bytes"))?;
        Ok(Self {
            generation: Generation(head.generation),
            digest: Digest(digest),
        })
    }
}

impl From<UpstreamLeaving> for wire::UpstreamLeaving {
    fn from(item: UpstreamLeaving) -> Self {
        Self {
            upstream: item.upstream.into(),
            incarnation: item.incarnation.0,
            deadline: item.deadline.0,
        }
    }
}

impl TryFrom<wire::UpstreamLeaving> for UpstreamLeaving {
    type Error = Error;

    fn try_from(item: wire::UpstreamLeaving) -> Result<Self> {
        Ok(Self {
            upstream: parse_id("upstream", item.upstream)?,
            incarnation: Incarnation(item.incarnation),
            deadline: UnixMillis(item.deadline),
        })
    }
}

impl From<UpstreamGone> for wire::UpstreamGone {
    fn from(item: UpstreamGone) -> Self {
        Self {
            upstream: item.upstream.into(),
            incarnation: item.incarnation.0,
            since: item.since.0,
        }
    }
}

impl TryFrom<wire::UpstreamGone> for UpstreamGone {
    type Error = Error;

    fn try_from(item: wire::UpstreamGone) -> Result<Self> {
        Ok(Self {
            upstream: parse_id("upstream", item.upstream)?,
            incarnation: Incarnation(item.incarnation),
            since: UnixMillis(item.since),
        })
    }
}

impl From<NewsItem> for wire::NewsItem {
    fn from(item: NewsItem) -> Self {
        let item = match item {
            NewsItem::ManifestHead(head) => Item::ManifestHead(head.into()),
            NewsItem::UpstreamLeaving(item) => Item::UpstreamLeaving(item.into()),
            NewsItem::UpstreamGone(item) => Item::UpstreamGone(item.into()),
        };
        Self { item: Some(item) }
    }
}

impl TryFrom<wire::NewsItem> for NewsItem {
    type Error = Error;

    fn try_from(item: wire::NewsItem) -> Result<Self> {
        match required("item", item.item)? {
            Item::ManifestHead(head) => Ok(Self::ManifestHead(head.try_into()?)),
            Item::UpstreamLeaving(item) => Ok(Self::UpstreamLeaving(item.try_into()?)),
            Item::UpstreamGone(item) => Ok(Self::UpstreamGone(item.try_into()?)),
        }
    }
}
