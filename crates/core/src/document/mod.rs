//! Validating reader for documents in JSON with comments.
//!
//! A document is read with typed getters. Each problem becomes a
//! [`Finding`](crate::findings::Finding) with its line, column and path, and reading continues, so
//! that all problems of a document are reported together.

mod collector;
mod list;
mod node;
mod number;
mod object;
mod source;

use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};

use crate::findings::Findings;

pub use list::{Listed, Located};
pub use node::Node;
pub use object::Object;

use collector::FindingCollector;
use source::Source;

/// JSON with comments and trailing commas, without the other extensions of JSON5.
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

/// Parses a document and builds a value from its root node.
///
/// `file` names the document in findings; `-` stands for standard input. `build` reports the
/// problem on a node and returns `None` if the value cannot be built.
///
/// # Errors
///
/// Returns all findings of the document. A syntax error stops parsing, so it is the only finding.
pub fn read<T>(
    file: &str,
    text: &str,
    build: impl FnOnce(&Node<'_>) -> Option<T>,
) -> Result<T, Findings> {
    let collector = FindingCollector::new(Source::new(file, text));
    let parsed = match parse_to_ast(text, &CollectOptions::default(), &DIALECT) {
        Ok(parsed) => parsed,
        Err(e) => {
            collector.add(e.range().start, "", format!("syntax error: {}", e.kind()));
            return Err(collector.into_findings());
        }
    };
    let Some(value) = &parsed.value else {
        collector.add(0, "", "the document is empty");
        return Err(collector.into_findings());
    };
    let built = build(&Node::new(&collector, value, String::new()));
    if built.is_none() && collector.is_empty() {
        collector.add(0, "", "the document could not be read");
    }
    match built {
        Some(built) => collector.into_findings().into_result(built),
        None => Err(collector.into_findings()),
    }
}
