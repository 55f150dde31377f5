//! Newtypes for identifiers.

use std::{convert::Infallible, fmt, str::FromStr, sync::Arc};

use derive_more::{Display, From};
use rand::Rng;
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

use crate::errors::{Error, Result};

/// Maximum length of a name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

fn check_name(kind: &'static str, text: &str) -> Result<()> {
    if text.is_empty() {
        return Err(Error::invalid_id(kind, text, "it is empty"));
    }
    if text.len() > MAX_NAME_BYTES {
        return Err(Error::invalid_id(kind, text, "it is longer than 64 bytes"));
    }
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    if !text.chars().all(is_allowed) {
        return Err(Error::invalid_id(
            kind,
            text,
            "only ASCII letters, digits, `-`, `_` and `.` are allowed",
        ));
    }
    Ok(())
}

macro_rules! name_id {
    ($(#[$doc:meta])* $name:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Builds the id after checking its length and characters.
            ///
            /// # Errors
            ///
            /// Returns [`Error::InvalidId`] if the text is empty, too long or contains characters
            /// other than ASCII letters, digits, `-`, `_` and `.`.
            pub fn try_new(text: impl AsRef<str>) -> Result<Self> {
                let text = text.as_ref();
                check_name($kind, text)?;
                Ok(Self(text.into()))
            }

            /// Returns the id as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = Error;

            fn from_str(text: &str) -> Result<Self> {
                Self::try_new(text)
            }
        }

        impl TryFrom<String> for $name {
            type Error = Error;

            fn try_from(text: String) -> Result<Self> {
                Self::try_new(text)
            }
        }

        impl From<$name> for String {
            fn from(id: $name) -> Self {
                id.0.as_ref().to_owned()
            }
        }

        impl AsRef<str> for $name {
            fn as_ref(&self) -> &str {
                &self.0
            }
        }
    };
}

name_id!(
    /// `NodeId` identifies one process of the system on an entry VM.
    NodeId,
    "node id"
);
name_id!(
    /// `VmId` identifies a VM of the platform.
    VmId,
    "VM id"
);
name_id!(
    /// `AvailabilityZone` names a zone that the platform may reclaim as a whole.
    AvailabilityZone,
    "availability zone"
);
name_id!(
    /// `WorkspaceId` identifies a customer of a deployment.
    WorkspaceId,
    "workspace id"
);
name_id!(
    /// `ServiceId` identifies a service of the manifest.
    ServiceId,
    "service id"
);
name_id!(
    /// `UpstreamId` identifies one replica of a service. It equals the id of the VM that runs it.
    UpstreamId,
    "upstream id"
);

/// `SoftwareVersion` is the version of the software of a replica, as the replica states it. Versions are
/// only compared for equality.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Display, From)]
#[from(&str, String)]
pub struct SoftwareVersion(Arc<str>);

impl SoftwareVersion {
    /// Returns the version as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl FromStr for SoftwareVersion {
    type Err = Infallible;

    fn from_str(text: &str) -> std::result::Result<Self, Infallible> {
        Ok(text.into())
    }
}

macro_rules! number_id {
    ($(#[$doc:meta])* $name:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize,
            Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// Returns the next number.
            #[must_use]
            pub fn next(self) -> Self {
                Self(self.0.saturating_add(1))
            }
        }

        impl FromStr for $name {
            type Err = Error;

            fn from_str(text: &str) -> Result<Self> {
                text.parse()
                    .map(Self)
                    .map_err(|_| Error::invalid_id($kind, text, "it is not a whole number"))
            }
        }
    };
}

number_id!(
    /// `Generation` numbers the accepted manifests of a deployment, from 1. Zero stands for no
    /// manifest.
    Generation,
    "generation"
);
number_id!(
    /// `Incarnation` distinguishes successive runs of a VM or node with the same id or address.
    Incarnation,
    "incarnation"
);
number_id!(
    /// `FencingNumber` increases with every new holder of a lease.
    FencingNumber,
    "fencing number"
);

macro_rules! random_id {
    ($(#[$doc:meta])* $name:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(pub u128);

        impl $name {
            /// Generates an id of 128 random bits.
            pub fn random(rng: &mut impl Rng) -> Self {
                Self(rng.random())
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:032x}", self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, concat!(stringify!($name), "({:032x})"), self.0)
            }
        }

        impl FromStr for $name {
            type Err = Error;

            fn from_str(text: &str) -> Result<Self> {
                if text.len() != 32 {
                    return Err(Error::invalid_id($kind, text, "it is not 32 hex digits"));
                }
                u128::from_str_radix(text, 16)
                    .map(Self)
                    .map_err(|_| Error::invalid_id($kind, text, "it is not 32 hex digits"))
            }
        }

        impl TryFrom<String> for $name {
            type Error = Error;

            fn try_from(text: String) -> Result<Self> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(id: $name) -> Self {
                id.to_string()
            }
        }
    };
}

random_id!(
    /// `RequestId` identifies an accepted request. It is random, so that it cannot be guessed.
    RequestId,
    "request id"
);
random_id!(
    /// `AttemptId` identifies one attempt to run a request at an upstream.
    AttemptId,
    "attempt id"
);

/// `Digest` is a SHA-256 digest.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Digest(pub [u8; 32]);

const DIGEST_PREFIX: &str = "sha256:";

impl Digest {
    /// Returns the digest of `data`.
    pub fn of(data: impl AsRef<[u8]>) -> Self {
        Self(Sha256::digest(data.as_ref()).into())
    }

    /// Returns the digest of the concatenation of `parts`.
    pub fn of_parts<T: AsRef<[u8]>>(parts: impl IntoIterator<Item = T>) -> Self {
        let mut hasher = Sha256::new();
        for part in parts {
            hasher.update(part);
        }
        Self(hasher.finalize().into())
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(DIGEST_PREFIX)?;
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Digest({self})")
    }
}

impl FromStr for Digest {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let invalid = || Error::invalid_id("digest", text, "it is not `sha256:` and 64 hex digits");
        let hex = text.strip_prefix(DIGEST_PREFIX).ok_or_else(invalid)?;
        if hex.len() != 64 || !hex.is_ascii() {
            return Err(invalid());
        }
        let mut bytes = [0; 32];
        for (index, byte) in bytes.iter_mut().enumerate() {
            let pair = &hex[2 * index..2 * index + 2];
            *byte = u8::from_str_radix(pair, 16).map_err(|_| invalid())?;
        }
        Ok(Self(bytes))
    }
}

impl TryFrom<String> for Digest {
    type Error = Error;

    fn try_from(text: String) -> Result<Self> {
        text.parse()
    }
}

impl From<Digest> for String {
    fn from(digest: Digest) -> Self {
        digest.to_string()
    }
}
