//! The text of a chart and the places within it.

use crate::findings::Place;

/// `Source` is the text of a chart with the name of its file.
#[derive(Debug, Clone, Copy)]
pub(super) struct Source<'a> {
    pub(super) file: &'a str,
    pub(super) text: &'a str,
}

impl Source<'_> {
    /// Returns the place of the byte at `offset`.
    pub(super) fn place(&self, offset: usize, path: String) -> Place {
        let before = self.text.get(..offset).unwrap_or(self.text);
        let line_start = before.rfind('\n').map_or(0, |newline| newline + 1);
        Place {
            file: self.file.to_owned(),
            line: before.matches('\n').count() + 1,
            column: before[line_start..].chars().count() + 1,
            path,
        }
    }
}
