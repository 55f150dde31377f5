//! Settings of a node. Parsing reports all findings at once.

mod credentials;
mod drain;
pub mod errors;
mod limits;
mod listeners;
mod operators;
mod peers;
mod platform;
pub mod relay;
mod secret;
mod source;

use derive_more::Display;
use tracing_subscriber::EnvFilter;
use verbenahead_core::{
    AvailabilityZone, Incarnation, NodeId,
    document::{self, Node, Object},
    findings::Findings,
};

pub use drain::DrainSettings;
pub use limits::LimitSettings;
pub use listeners::ListenerSettings;
pub use operators::{CredentialSource, OperatorCredential, OperatorSettings};
pub use peers::{PeerCredentials, PeerSettings, TlsReferences};
pub use platform::{PlatformKind, PlatformSettings};
pub use relay::{ProcessLimits, Promises, RelaySettings};
pub use secret::{Secret, SecretReference};
pub use source::SettingsSource;

const SETTINGS_KEYS: &[&str] = &[
    "node",
    "availability_zone",
    "incarnation",
    "listeners",
    "platform",
    "peers",
    "operators",
    "limits",
    "drain",
    "log",
];

/// Log filter used when the settings have none.
const DEFAULT_LOG_FILTER: &str = "info";

/// `Settings` configure a node of the callers' API. A value of this type has passed all checks.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Id of the node.
    pub node: NodeId,
    /// Availability zone of the node.
    pub zone: AvailabilityZone,
    /// Source of the incarnation of the node.
    pub incarnation: IncarnationSource,
    /// Listen addresses of the node.
    pub listeners: ListenerSettings,
    /// Connection to the platform's service.
    pub platform: PlatformSettings,
    /// Seeds and credentials for the connections to other nodes.
    pub peers: PeerSettings,
    /// Credentials accepted by the operator API.
    pub operators: OperatorSettings,
    /// Limits on the requests and connections of callers.
    pub limits: LimitSettings,
    /// Phases of a graceful shutdown.
    pub drain: DrainSettings,
    /// Log filter, in the syntax of `tracing-subscriber`.
    pub log: String,
}

/// `IncarnationSource` says how a node gets its incarnation, which distinguishes the runs of a
/// node with the same id.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Display)]
pub enum IncarnationSource {
    /// The Unix time at the start of the process, in milliseconds.
    #[default]
    #[display("start_time")]
    StartTime,
    /// A fixed number. Whatever starts the process must increase it on every start.
    Fixed(Incarnation),
}

/// `AnySettings` are the settings of a node in either of its two modes.
#[derive(Debug, Clone, PartialEq)]
pub enum AnySettings {
    /// The node serves its own API to callers.
    Api(Box<Settings>),
    /// The node relays requests from an operator's callers to replicas.
    Relay(Box<RelaySettings>),
}

impl AnySettings {
    /// Parses and checks settings of either mode. `file` is the name of the text in findings.
    ///
    /// # Errors
    ///
    /// Returns all findings, each with its line, column and path.
    pub fn parse(file: &str, text: &str) -> Result<Self, Findings> {
        let has_mode = document::read(file, text, |node| Some(node.has_key(MODE_KEY)));
        if has_mode? {
            return RelaySettings::parse(file, text).map(|settings| Self::Relay(settings.into()));
        }
        Settings::parse(file, text).map(|settings| Self::Api(settings.into()))
    }

    /// Returns the id of the node.
    pub fn node(&self) -> &NodeId {
        match self {
            Self::Api(settings) => &settings.node,
            Self::Relay(settings) => &settings.node,
        }
    }

    /// Returns the availability zone of the node.
    pub fn zone(&self) -> &AvailabilityZone {
        match self {
            Self::Api(settings) => &settings.zone,
            Self::Relay(settings) => &settings.zone,
        }
    }

    /// Returns an error for each secret that this process cannot read. The settings of a relay node
    /// refer to no secrets.
    pub fn unreadable_secrets(&self) -> Vec<errors::Error> {
        match self {
            Self::Api(settings) => settings.unreadable_secrets(),
            Self::Relay(_) => Vec::new(),
        }
    }
}

/// Key that only the settings of relay nodes have.
const MODE_KEY: &str = "mode";

impl Settings {
    /// Parses and checks settings in JSON with comments. `file` is the name of the text in
    /// findings.
    ///
    /// # Errors
    ///
    /// Returns all findings, each with its line, column and path.
    pub fn parse(file: &str, text: &str) -> Result<Self, Findings> {
        document::read(file, text, read)
    }

    /// Returns an error for each secret that this process cannot read.
    pub fn unreadable_secrets(&self) -> Vec<errors::Error> {
        let platform = self.platform.credential.iter();
        let references = platform
            .chain(self.peers.credentials.references())
            .chain(self.operators.references());
        references
            .filter_map(|reference| reference.load().err())
            .collect()
    }
}

fn read(node: &Node<'_>) -> Option<Settings> {
    let object = node.object(SETTINGS_KEYS)?;
    let id = object.required("node").and_then(|node| node.parse());
    let zone = object
        .required("availability_zone")
        .and_then(|node| node.parse());
    let incarnation = object.read_or("incarnation", IncarnationSource::StartTime, |node| {
        read_incarnation(node)
    });
    let listeners = object
        .required("listeners")
        .and_then(|node| listeners::read(&node));
    let platform = object
        .required("platform")
        .and_then(|node| platform::read(&node));
    let peers = object.required("peers").and_then(|node| {
        let own = listeners.as_ref().map(|listeners| listeners.peers);
        peers::read(&node, own)
    });
    let operators = object
        .required("operators")
        .and_then(|node| operators::read(&node));
    let limits = object.read_or("limits", LimitSettings::default(), limits::read);
    let drain = object.read_or("drain", DrainSettings::default(), drain::read);
    let log = read_log_filter(&object);
    Some(Settings {
        node: id?,
        zone: zone?,
        incarnation: incarnation?,
        listeners: listeners?,
        platform: platform?,
        peers: peers?,
        operators: operators?,
        limits: limits?,
        drain: drain?,
        log: log?,
    })
}

fn read_incarnation(node: &Node<'_>) -> Option<IncarnationSource> {
    if node.is_string() {
        return node
            .choice::<String>(&["start_time"])
            .map(|_| IncarnationSource::StartTime);
    }
    let number = node.integer(1..=u64::MAX)?;
    Some(IncarnationSource::Fixed(Incarnation(number)))
}

/// Parses the log filter. An absent key takes the default.
pub(super) fn read_log_filter(object: &Object<'_>) -> Option<String> {
    object.read_or("log", DEFAULT_LOG_FILTER.to_owned(), |node| {
        let filter = node.text()?;
        if let Err(e) = EnvFilter::try_new(&filter) {
            node.report(format!("the log filter is not valid: {e}"));
            return None;
        }
        Some(filter)
    })
}
