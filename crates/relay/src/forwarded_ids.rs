//! Ids of the events that a caller has.

use crate::dialect::EventId;

/// `ForwardedIds` tells which events were forwarded to the caller.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ForwardedIds {
    /// Last event.
    pub(crate) last: Option<EventId>,
    /// Whether the ids have gaps.
    pub(crate) has_gaps: bool,
}

impl ForwardedIds {
    /// Records an event that is forwarded to the caller.
    pub(crate) fn record(&mut self, id: Option<EventId>) {
        let Some(id) = id else {
            return;
        };
        if let Some(last) = self.last {
            self.has_gaps |= id.0 != last.0 + 1;
        }
        self.last = Some(id);
    }
}
