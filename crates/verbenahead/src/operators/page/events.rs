//! Server-sent events that keep the status page live.

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

use super::render::render_room;

/// Events after which a stream ends, so that a page whose client is gone is not kept. Browsers
/// connect again by themselves.
const MAX_EVENTS: u32 = 1_800;

struct Page {
    api: OperatorApi,
    closing: watch::Receiver<()>,
    sent: u32,
    _place: OwnedSemaphorePermit,
}

/// Answers with a stream of events that hold the changing part of the page.
pub(in crate::operators) async fn events(State(api): State<OperatorApi>) -> Response {
    let Ok(place) = api.pages().try_acquire_owned() else {
        let detail = "too many status pages are open on this node";
        let status = StatusCode::SERVICE_UNAVAILABLE;
        return OperatorProblem::new("too-many-pages", status, detail).into_response();
    };
    let page = Page {
        closing: api.closing(),
        api,
        sent: 0,
        _place: place,
    };
    Sse::new(stream_of(page)).into_response()
}

fn stream_of(page: Page) -> impl Stream<Item = Result<Event, Infallible>> {
    stream::unfold(page, |mut page| async move {
        let event = page.next().await?;
        Some((Ok(event), page))
    })
}

impl Page {
    /// Returns the next event, the first one at once, or `None` when the stream ends.
    async fn next(&mut self) -> Option<Event> {
        if self.sent == MAX_EVENTS {
            return None;
        }
        if self.sent > 0 {
            let pause = tokio::time::sleep(self.api.options().event_period);
            tokio::select! {
                () = pause => {}
                _ = self.closing.changed() => return None,
            }
        }
        self.sent += 1;
        let status = self.api.status().await;
        let burn = self.api.last_burn();
        // A carriage return would end a field of the event.
        let room = render_room(&status, burn.as_deref()).replace('\r', " ");
        Some(Event::default().event("room").data(room))
    }
}
