//! The HTTP adapter and what its services share.

use std::sync::Mutex;

use super::{options::HttpPlatformOptions, vm_list::KnownList};
use crate::{calls::Calls, errors::Result};

/// `HttpPlatform` reaches the platform's services over HTTP. It makes connections when they are
/// needed. After a call that timed out, later calls use new connections.
#[derive(Debug)]
pub struct HttpPlatform {
    pub(super) calls: Calls,
    pub(super) known_list: Mutex<Option<KnownList>>,
}

impl HttpPlatform {
    /// Builds the adapter.
    ///
    /// # Errors
    ///
    /// [`Error::InvalidOption`] when the connect timeout is not shorter than the call timeout, no
    /// connection is allowed, or the secret does not fit into a header.
    pub fn try_new(options: HttpPlatformOptions) -> Result<Self> {
        let calls = Calls::try_new(options)?;
        Ok(Self {
            calls,
            known_list: Mutex::default(),
        })
    }
}
