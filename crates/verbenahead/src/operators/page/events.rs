//! Server-sent events that update the status page.

use std::convert::Infallible;

use axum::{
    extract::State,
    response::{
        IntoResponse, Response,
        sse::{Event, Sse},
    },
};
use futures_util::{Stream, stream};
use http::StatusCode;
use tokio::sync::{OwnedSemaphorePermit, watch};

use crate::operators::{problem::OperatorProblem, router::OperatorApi};

use super::render::render_status;

/// Number of events after which a stream ends, so that a stream whose client is gone does not hold
/// its permit forever. Browsers reconnect automatically.
const MAX_EVENTS_PER_STREAM: u32 = 1_800;

struct PageEvents {
    api: OperatorApi,
    closing: watch::Receiver<()>,
    sent: u32,
    _permit: OwnedSemaphorePermit,
}

/// Answers `GET /events` with a stream of events, each with the current content of the page.
pub(in crate::operators) async fn events(State(api): State<OperatorApi>) -> Response {
    let Ok(permit) = api.page_permits().try_acquire_owned() else {
        let detail = "too many status pages are open on this node";
        let status = StatusCode::SERVICE_UNAVAILABLE;
        return OperatorProblem::new("too-many-pages", status, detail).into_response();
    };
    let events = PageEvents {
        closing: api.closing(),
        api,
        sent: 0,
        _permit: permit,
    };
    Sse::new(event_stream(events)).into_response()
}

fn event_stream(events: PageEvents) -> impl Stream<Item = Result<Event, Infallible>> {
    stream::unfold(events, |mut events| async move {
        let event = events.next().await?;
        Some((Ok(event), events))
    })
}

impl PageEvents {
    /// Returns the next event after the event period, the first one immediately, or `None` when the
    /// stream ends.
    async fn next(&mut self) -> Option<Event> {
        if self.sent == MAX_EVENTS_PER_STREAM {
            return None;
        }
        if self.sent > 0 {
            let delay = tokio::time::sleep(self.api.options().event_period);
            tokio::select! {
                () = delay => {}
                _ = self.closing.changed() => return None,
            }
        }
        self.sent += 1;
        let status = self.api.status().await;
        let burn = self.api.latest_burn();
        // A carriage return ends a field of a server-sent event.
        let html = render_status(&status, burn.as_deref()).replace('\r', " ");
        Some(Event::default().event("room").data(html))
    }
}
