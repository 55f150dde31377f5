//! Registry of the adapters by name.

use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use crate::{
    cloud::Cloud,
    errors::{Error, Result},
    http::{HttpPlatform, HttpPlatformOptions},
    object_store::ObjectStore,
    secret::Secret,
    table::Table,
    vm_list::VmList,
};

/// `HTTP_ADAPTER` is the name of the adapter that speaks HTTP with JSON.
pub const HTTP_ADAPTER: &str = "http";

const DEFAULT_CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const DEFAULT_CALL_TIMEOUT: Duration = Duration::from_secs(2);
const DEFAULT_MAX_CONNECTIONS: usize = 64;

/// `PlatformOptions` configure the access to the platform, whatever its protocol.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlatformOptions {
    /// Address of the platform.
    pub address: SocketAddr,
    /// Credential of this process, if the platform asks for one.
    pub secret: Option<Secret>,
    /// Time limit for waiting for a free connection, and for making one. Must be shorter than
    /// `call_timeout`.
    pub connect_timeout: Duration,
    /// Time limit of a call. Includes making a connection, but not the wait for a free one.
    pub call_timeout: Duration,
    /// Maximum number of concurrent calls.
    pub max_connections: usize,
}

impl Default for PlatformOptions {
    fn default() -> Self {
        Self {
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            secret: None,
            connect_timeout: DEFAULT_CONNECT_TIMEOUT,
            call_timeout: DEFAULT_CALL_TIMEOUT,
            max_connections: DEFAULT_MAX_CONNECTIONS,
        }
    }
}

/// `Platform` holds a client of each of the platform's services.
#[derive(Clone)]
pub struct Platform {
    /// The transactional table service.
    pub table: Arc<dyn Table>,
    /// The object store.
    pub objects: Arc<dyn ObjectStore>,
    /// The API for VMs.
    pub cloud: Arc<dyn Cloud>,
    /// The list of VMs.
    pub vms: Arc<dyn VmList>,
}

impl Platform {
    /// Builds the platform from one adapter that implements all services.
    pub fn of<P: Table + ObjectStore + Cloud + VmList>(adapter: P) -> Self {
        let adapter = Arc::new(adapter);
        Self {
            table: adapter.clone(),
            objects: adapter.clone(),
            cloud: adapter.clone(),
            vms: adapter,
        }
    }
}

/// `Constructor` builds an adapter. It does not wait for a connection.
pub type Constructor = fn(&PlatformOptions) -> Result<Platform>;

/// `PlatformRegistry` holds the adapters by name. The default one holds those of this crate.
#[derive(Debug, Clone)]
pub struct PlatformRegistry {
    constructors: BTreeMap<&'static str, Constructor>,
}

impl Default for PlatformRegistry {
    fn default() -> Self {
        let mut registry = Self {
            constructors: BTreeMap::new(),
        };
        registry.register(HTTP_ADAPTER, connect_http);
        registry
    }
}

impl PlatformRegistry {
    /// Adds an adapter, or replaces the one of the same name.
    pub fn register(&mut self, kind: &'static str, constructor: Constructor) {
        self.constructors.insert(kind, constructor);
    }

    /// Returns the names of the adapters in alphabetical order.
    pub fn kinds(&self) -> impl Iterator<Item = &'static str> {
        self.constructors.keys().copied()
    }

    /// Builds the adapter named `kind`.
    ///
    /// # Errors
    ///
    /// [`Error::UnknownAdapter`] when there is no such adapter, or the error of the constructor.
    pub fn connect(&self, kind: &str, options: &PlatformOptions) -> Result<Platform> {
        let constructor = self
            .constructors
            .get(kind)
            .ok_or_else(|| Error::unknown_adapter(kind))?;
        constructor(options)
    }
}

fn connect_http(options: &PlatformOptions) -> Result<Platform> {
    HttpPlatform::try_new(HttpPlatformOptions::from(options)).map(Platform::of)
}
