//! The HTTP adapter and the state that its services share.

use std::sync::Mutex;

use super::{options::HttpPlatformOptions, vm_list::CachedList};
use crate::{calls::Calls, errors::Result};

/// `HttpPlatform` accesses the platform's services over HTTP. It opens connections on demand.
/// After a call that timed out, later calls use new connections.
#[derive(Debug)]
pub struct HttpPlatform {
    pub(super) calls: Calls,
    pub(super) cached_list: Mutex<Option<CachedList>>,
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
            cached_list: Mutex::default(),
        })
    }
}
