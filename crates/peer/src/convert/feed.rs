//! Conversions of notices about the feed of a table.

use std::time::Duration;

use verbenahead_services::{FeedNotice, FeedPosition, FeedRow, NoticeContent, Version};

use crate::{
    errors::Error,
    report_wire::{self as wire, NoticeKind},
};

impl From<&FeedNotice> for wire::FeedNotice {
    fn from(notice: &FeedNotice) -> Self {
        let (kind, rows) = match &notice.content {
            NoticeContent::Rows(rows) => (NoticeKind::Rows, rows.as_slice()),
            NoticeContent::Omitted => (NoticeKind::Omitted, &[][..]),
            NoticeContent::Outage | NoticeContent::PastOutage { .. } => {
                (NoticeKind::Outage, &[][..])
            }
        };
        let past_outage_ms = match &notice.content {
            NoticeContent::PastOutage { age } => {
                u32::try_from(age.as_millis()).unwrap_or(u32::MAX).max(1)
            }
            _ => 0,
        };
        Self {
            table: notice.table.clone(),
            from: notice.from.0,
            to: notice.to.0,
            kind: kind.into(),
            rows: rows.iter().map(wire::NoticeRow::from).collect(),
            past_outage_ms,
        }
    }
}

impl TryFrom<wire::FeedNotice> for FeedNotice {
    type Error = Error;

    fn try_from(wire: wire::FeedNotice) -> Result<Self, Error> {
        let kind = NoticeKind::try_from(wire.kind)
            .map_err(|error| Error::malformed("feed notice", error.to_string()))?;
        let content = match kind {
            NoticeKind::Rows => {
                NoticeContent::Rows(wire.rows.into_iter().map(FeedRow::from).collect())
            }
            NoticeKind::Omitted => NoticeContent::Omitted,
            NoticeKind::Outage => match wire.past_outage_ms {
                0 => NoticeContent::Outage,
                age_ms => NoticeContent::PastOutage {
                    age: Duration::from_millis(age_ms.into()),
                },
            },
        };
        Ok(Self {
            table: wire.table,
            from: FeedPosition(wire.from),
            to: FeedPosition(wire.to),
            content,
        })
    }
}

impl From<&FeedRow> for wire::NoticeRow {
    fn from(row: &FeedRow) -> Self {
        Self {
            key: row.key.clone(),
            version: row.version.0,
            deleted: row.value.is_none(),
            value: row.value.clone().unwrap_or_default(),
        }
    }
}

impl From<wire::NoticeRow> for FeedRow {
    fn from(wire: wire::NoticeRow) -> Self {
        Self {
            key: wire.key,
            version: Version(wire.version),
            value: (!wire.deleted).then_some(wire.value),
        }
    }
}
