//! Secrets and references to secrets.

use std::{env, fmt, fs, path::PathBuf};

use derive_more::Display;

use super::errors::{Error, Result};

/// Largest size of a secret, in bytes.
const MAX_SECRET_BYTES: usize = 256 * 1024;

/// `Secret` is a key or a PEM text. Its `Debug` and `Display` output never contains it.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret(String);

impl Secret {
    /// Wraps a text as a secret.
    pub fn new(text: impl Into<String>) -> Self {
        Self(text.into())
    }

    /// Returns the plain text of the secret.
    pub fn expose(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(hidden)")
    }
}

impl fmt::Display for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("hidden")
    }
}

/// `SecretReference` says where a secret is stored.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum SecretReference {
    /// A file.
    #[display("the file `{}`", _0.display())]
    File(PathBuf),
    /// An environment variable.
    #[display("the environment variable `{_0}`")]
    Env(String),
}

impl SecretReference {
    /// Reads the secret and removes leading and trailing whitespace.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Secret`] when the secret is absent, unreadable, empty or too large.
    pub fn load(&self) -> Result<Secret> {
        let text = match self {
            Self::File(path) => fs::read_to_string(path).map_err(|e| Error::secret(self, e))?,
            Self::Env(name) => env::var(name).map_err(|_| Error::secret(self, "it is not set"))?,
        };
        let text = text.trim();
        if text.is_empty() {
            return Err(Error::secret(self, "it is empty"));
        }
        if text.len() > MAX_SECRET_BYTES {
            return Err(Error::secret(self, "it is larger than 256 KiB"));
        }
        Ok(Secret::new(text))
    }
}
