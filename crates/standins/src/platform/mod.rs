//! Stand-in for the platform: table, object store, cloud API and list of VMs.

mod cloud_routes;
mod control_routes;
mod counts;
mod faults;
mod fleet;
mod object_routes;
mod options;
mod started_engines;
mod state;
mod table_routes;

use std::{io, sync::Arc};

use axum::{Router, extract::DefaultBodyLimit, middleware};

use crate::server::{HangUp, Server};

pub use control_routes::{EntryVm, Reclaim, ReclaimDone};
pub use counts::{CallCounts, CallKind, KindCounts};
pub use faults::PlatformFaults;
pub use options::{PlatformStandinOptions, StartedEngine};

use state::PlatformState;

const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// Starts a platform stand-in. It stops when the returned server is dropped.
///
/// # Errors
///
/// An I/O error when the address cannot be listened on.
pub async fn start(options: PlatformStandinOptions) -> io::Result<Server> {
    let listen = options.listen;
    let state = Arc::new(PlatformState::new(options));
    Server::start(listen, router(state), HangUp::Ignored).await
}

fn router(state: Arc<PlatformState>) -> Router {
    let services = Router::new()
        .merge(table_routes::routes())
        .merge(object_routes::routes())
        .merge(cloud_routes::routes())
        .layer(middleware::from_fn_with_state(
            Arc::clone(&state),
            faults::apply,
        ))
        .layer(middleware::from_fn_with_state(
            Arc::clone(&state),
            state::check_token,
        ));
    Router::new()
        .merge(services)
        .merge(control_routes::routes())
        .layer(DefaultBodyLimit::max(MAX_BODY_BYTES))
        .with_state(state)
}
