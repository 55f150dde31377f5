//! Secrets that must not appear in logs.

use std::fmt;

use derive_more::From;

/// `Secret` is a string that `Debug` does not print.
#[derive(Clone, PartialEq, Eq, From)]
pub struct Secret(String);

impl Secret {
    /// Returns the secret text.
    pub fn expose(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}
