//! Problems found in a checked document, collected with their positions and reported together.

use std::fmt;

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// `Place` is a position in a document. Lines and columns count from 1; zero means unknown.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Place {
    /// Name of the file, or `-` for standard input.
    pub file: String,
    /// Line, from 1.
    pub line: usize,
    /// Column in characters, from 1.
    pub column: usize,
    /// Path of the value within the document, such as `services[0].id`.
    pub path: String,
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{}", self.file, self.line, self.column)?;
        if self.path.is_empty() {
            return Ok(());
        }
        write!(f, ": {}", self.path)
    }
}

/// `Finding` is one problem of a checked document.
#[derive(Debug, Clone, PartialEq, Eq, Display, Serialize, Deserialize)]
#[display("{place}: {message}{}", suggestion.as_ref().map(|s| format!(" (did you mean `{s}`?)")).unwrap_or_default())]
pub struct Finding {
    /// Where the problem is.
    pub place: Place,
    /// What is wrong.
    pub message: String,
    /// A likely correction.
    pub suggestion: Option<String>,
}

/// `Findings` collects the problems of one document.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Findings(Vec<Finding>);

impl Findings {
    /// Adds a finding.
    pub fn push(&mut self, finding: Finding) {
        self.0.push(finding);
    }

    /// Returns whether there are no findings.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Iterates over the findings in the order in which they were added.
    pub fn iter(&self) -> impl Iterator<Item = &Finding> {
        self.0.iter()
    }

    /// Returns `value` if there are no findings.
    ///
    /// # Errors
    ///
    /// Returns the findings themselves if there are any.
    pub fn into_result<T>(self, value: T) -> Result<T, Self> {
        if self.is_empty() {
            Ok(value)
        } else {
            Err(self)
        }
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, finding) in self.0.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            write!(f, "{finding}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Findings {}

/// Largest edit distance at which a known name is suggested for an unknown one.
const MAX_SUGGESTION_DISTANCE: usize = 3;

/// Returns the known name that is closest to `name`, if one is close enough.
pub fn suggest<'a>(name: &str, known: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    known
        .into_iter()
        .map(|candidate| (strsim::damerau_levenshtein(name, candidate), candidate))
        .filter(|(distance, _)| *distance <= MAX_SUGGESTION_DISTANCE)
        .min_by_key(|(distance, _)| *distance)
        .map(|(_, candidate)| candidate)
}
