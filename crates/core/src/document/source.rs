//! The text of a document and the places within it.

use crate::findings::Place;

/// `Source` is the text of a document with its name.
pub(super) struct Source<'d> {
    file: &'d str,
    text: &'d str,
    line_starts: Vec<usize>,
}

impl<'d> Source<'d> {
    /// Builds a source and an index of its lines.
    pub(super) fn new(file: &'d str, text: &'d str) -> Self {
        let after_breaks = text.match_indices('\n').map(|(index, _)| index + 1);
        Self {
            file,
            text,
            line_starts: std::iter::once(0).chain(after_breaks).collect(),
        }
    }

    /// Returns the place of a byte offset. Columns count characters.
    pub(super) fn place(&self, offset: usize, path: &str) -> Place {
        let line = self.line_starts.partition_point(|start| *start <= offset);
        let start = self.line_starts[line - 1];
        let before = self.text.get(start..offset).unwrap_or_default();
        Place {
            file: self.file.to_owned(),
            line,
            column: before.chars().count() + 1,
            path: path.to_owned(),
        }
    }
}
