//! Stand-in of a plain service with non-idempotent calls.

mod options;
mod routes;
mod state;
mod workers;

use std::sync::Arc;

use anyhow::Result;

use crate::server::{HangUp, Server};

pub use options::BookingOptions;
pub use routes::{IDEMPOTENCY_KEY_HEADER, KEYLESS};
pub use state::{BookingBehaviour, Receipt, Runs};

use state::BookingState;

/// Starts a booking stand-in and registers it on the platform's list of VMs. It stops when the
/// returned server is dropped.
///
/// # Errors
///
/// When the address cannot be listened on, or the platform does not accept the registration.
pub async fn start(options: BookingOptions) -> Result<Server> {
    let listen = options.listen;
    let registration = options.registration.clone();
    let state = Arc::new(BookingState::new(&options));
    let server = Server::start(listen, routes::router(state), HangUp::Ignored).await?;
    registration.register(server.address()).await?;
    Ok(server)
}
