//! Stand-in for a plain HTTP service with non-idempotent calls.

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

/// Starts a booking stand-in and registers it in the platform's list of VMs. The service stops when
/// the returned server is dropped.
///
/// # Errors
///
/// Returns an error when the address cannot be bound or the platform rejects the registration.
pub async fn start(options: BookingOptions) -> Result<Server> {
    let listen = options.listen;
    let registration = options.registration.clone();
    let state = Arc::new(BookingState::new(&options));
    let server = Server::start(listen, routes::router(state), HangUp::Ignored).await?;
    registration.register(server.address()).await?;
    Ok(server)
}
