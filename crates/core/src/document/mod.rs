//! Checked reading of documents in JSON with comments.
//!
//! A document is walked with typed getters. Each fault becomes a
//! [`Finding`](crate::findings::Finding) with its line, column and path, and the walk goes on, so
//! that all faults of a document are reported together.

mod list;
mod node;
mod number;
mod object;
mod report;
mod source;

use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};

use crate::findings::Findings;

pub use list::{Listed, Located};
pub use node::Node;
pub use object::Object;

use report::Report;
use source::Source;

/// JSON with comments and trailing commas, without the other liberties of JSON5.
const DIALECT: ParseOptions = ParseOptions {
    allow_comments: true,
    allow_loose_object_property_names: false,
    allow_trailing_commas: true,
    allow_missing_commas: false,
    allow_single_quoted_strings: false,
    allow_hexadecimal_numbers: false,
    allow_unary_plus_numbers: false,
    allow_bare_decimal_point_numbers: false,
    allow_non_finite_numbers: false,
    allow_extended_string_escapes: false,
};

/// Reads a document and builds a value from its root node.
///
/// `file` names the document in findings; `-` stands for standard input. `build` returns `None`
/// when the value cannot be built, after the reason has been reported on a node.
///
/// # Errors
///
/// All findings of the document. A syntax error ends the reading, so it comes alone.
pub fn read<T>(
    file: &str,
    text: &str,
    build: impl FnOnce(&Node<'_>) -> Option<T>,
) -> Result<T, Findings> {
    let report = Report::new(Source::new(file, text));
    let parsed = match parse_to_ast(text, &CollectOptions::default(), &DIALECT) {
        Ok(parsed) => parsed,
        Err(e) => {
            report.add(e.range().start, "", format!("syntax error: {}", e.kind()));
            return Err(report.into_findings());
        }
    };
    let Some(value) = &parsed.value else {
        report.add(0, "", "the document is empty");
        return Err(report.into_findings());
    };
    let built = build(&Node::new(&report, value, String::new()));
    if built.is_none() && report.is_empty() {
        report.add(0, "", "the document could not be read");
    }
    match built {
        Some(built) => report.into_findings().into_result(built),
        None => Err(report.into_findings()),
    }
}
