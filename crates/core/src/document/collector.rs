//! Collection of findings while a document is read.

use std::cell::RefCell;

use crate::findings::{Finding, Findings};

use super::source::Source;

/// `FindingCollector` collects the findings of one document.
pub(super) struct FindingCollector<'d> {
    source: Source<'d>,
    findings: RefCell<Findings>,
}

impl<'d> FindingCollector<'d> {
    /// Builds a collector without findings.
    pub(super) fn new(source: Source<'d>) -> Self {
        Self {
            source,
            findings: RefCell::default(),
        }
    }

    /// Adds a finding at a byte offset.
    pub(super) fn add(&self, offset: usize, path: &str, message: impl Into<String>) {
        self.add_with_suggestion(offset, path, message, None);
    }

    /// Adds a finding with a likely correction, if there is one.
    pub(super) fn add_with_suggestion(
        &self,
        offset: usize,
        path: &str,
        message: impl Into<String>,
        suggestion: Option<&str>,
    ) {
        self.findings.borrow_mut().push(Finding {
            place: self.source.place(offset, path),
            message: message.into(),
            suggestion: suggestion.map(str::to_owned),
        });
    }

    /// Returns whether there are no findings.
    pub(super) fn is_empty(&self) -> bool {
        self.findings.borrow().is_empty()
    }

    /// Returns the findings.
    pub(super) fn into_findings(self) -> Findings {
        self.findings.into_inner()
    }
}
