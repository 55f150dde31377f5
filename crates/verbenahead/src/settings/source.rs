//! Sources of settings and manifests.

use std::{convert::Infallible, env, fs, io, io::Read, path::PathBuf, str::FromStr};

use derive_more::Display;

use super::errors::{Error, Result};

/// Largest size of a document, in bytes.
const MAX_DOCUMENT_BYTES: u64 = 16 * 1024 * 1024;

const ENV_PREFIX: &str = "env:";

/// `SettingsSource` names the source of settings or of a manifest: a file, `-` for standard input,
/// or `env:NAME` for an environment variable.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum SettingsSource {
    /// A file.
    #[display("{}", _0.display())]
    File(PathBuf),
    /// Standard input.
    #[display("-")]
    StandardInput,
    /// An environment variable.
    #[display("env:{_0}")]
    Env(String),
}

impl FromStr for SettingsSource {
    type Err = Infallible;

    fn from_str(text: &str) -> std::result::Result<Self, Infallible> {
        Ok(match text.strip_prefix(ENV_PREFIX) {
            Some(name) => Self::Env(name.to_owned()),
            None if text == "-" => Self::StandardInput,
            None => Self::File(text.into()),
        })
    }
}

impl SettingsSource {
    /// Reads the document.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unreadable`] when the document is absent, too large or not UTF-8.
    pub fn load(&self) -> Result<String> {
        let text = match self {
            Self::File(path) => fs::File::open(path).and_then(read_with_limit),
            Self::StandardInput => read_with_limit(io::stdin().lock()),
            Self::Env(name) => env::var(name).map_err(io::Error::other),
        };
        text.map_err(|e| Error::unreadable(self, e))
    }
}

fn read_with_limit(source: impl Read) -> io::Result<String> {
    let mut text = String::new();
    source
        .take(MAX_DOCUMENT_BYTES + 1)
        .read_to_string(&mut text)?;
    if text.len() as u64 > MAX_DOCUMENT_BYTES {
        return Err(io::Error::other("it is larger than 16 MiB"));
    }
    Ok(text)
}
