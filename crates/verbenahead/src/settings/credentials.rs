//! Parsing of references to secrets.

use verbenahead_core::document::Node;

use super::secret::SecretReference;

const REFERENCE_KEYS: &[&str] = &["file", "env"];

/// Parses a reference to a secret: `{ "file": … }` or `{ "env": … }`.
pub(super) fn read_reference(node: &Node<'_>) -> Option<SecretReference> {
    if node.is_string() {
        node.report("a secret is given by reference, as { \"file\": … } or { \"env\": … }");
        return None;
    }
    let object = node.object(REFERENCE_KEYS)?;
    match (object.optional("file"), object.optional("env")) {
        (Some(file), None) => file.text().map(|path| SecretReference::File(path.into())),
        (None, Some(env)) => env.text().map(SecretReference::Env),
        _ => {
            node.report("a reference to a secret has one of the keys `file` and `env`");
            None
        }
    }
}
