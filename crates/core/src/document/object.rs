//! An object in a document and the getters of its keys.

use jsonc_parser::{ast, common::Ranged};

use crate::{HashSet, findings::suggest};

use super::node::Node;

/// `Object` is an object whose keys have been checked against a list of known names.
pub struct Object<'d> {
    node: Node<'d>,
    object: &'d ast::Object<'d>,
    known: &'static [&'static str],
}

impl<'d> Object<'d> {
    pub(super) fn new(
        node: &Node<'d>,
        object: &'d ast::Object<'d>,
        known: &'static [&'static str],
    ) -> Self {
        let object = Self {
            node: node.clone(),
            object,
            known,
        };
        object.check_keys();
        object
    }

    fn check_keys(&self) {
        let mut seen = HashSet::default();
        for property in &self.object.properties {
            let key = property.name.as_str();
            if !seen.insert(key) {
                self.report_key(property, format!("the key `{key}` is repeated"), None);
            } else if !self.known.contains(&key) {
                let unset = self.known.iter().copied();
                let suggestion = suggest(key, unset.filter(|name| !self.has(name)));
                self.report_key(property, format!("unknown key `{key}`"), suggestion);
            }
        }
    }

    fn report_key(
        &self,
        property: &ast::ObjectProp<'d>,
        message: String,
        suggestion: Option<&str>,
    ) {
        let offset = property.range().start;
        let path = self.child_path(property.name.as_str());
        let collector = self.node.collector();
        collector.add_with_suggestion(offset, &path, message, suggestion);
    }

    fn child_path(&self, key: &str) -> String {
        match self.node.path() {
            "" => key.to_owned(),
            path => format!("{path}.{key}"),
        }
    }

    /// Returns the object as a node, for reports about the object as a whole.
    pub fn node(&self) -> &Node<'d> {
        &self.node
    }

    /// Returns whether the key is present.
    pub fn has(&self, key: &str) -> bool {
        self.object.get(key).is_some()
    }

    /// Returns the value of a key, if the key is present. `null` counts as absent.
    pub fn optional(&self, key: &'static str) -> Option<Node<'d>> {
        debug_assert!(self.known.contains(&key), "`{key}` is not a known key");
        let property = self.object.get(key)?;
        let node = Node::new(self.node.collector(), &property.value, self.child_path(key));
        (!node.is_null()).then_some(node)
    }

    /// Returns the value of a key, or reports that the key is missing.
    pub fn required(&self, key: &'static str) -> Option<Node<'d>> {
        let node = self.optional(key);
        if node.is_none() {
            self.node.report(format!("the key `{key}` is missing"));
        }
        node
    }

    /// Reads an optional key. Returns `default` if the key is absent and `None` if its value
    /// is invalid.
    pub fn read_or<T>(
        &self,
        key: &'static str,
        default: T,
        read: impl FnOnce(&Node<'d>) -> Option<T>,
    ) -> Option<T> {
        match self.optional(key) {
            Some(node) => read(&node),
            None => Some(default),
        }
    }

    /// Reads an optional key. Returns `Some(None)` if the key is absent and `None` if its
    /// value is invalid.
    pub fn read_optional<T>(
        &self,
        key: &'static str,
        read: impl FnOnce(&Node<'d>) -> Option<T>,
    ) -> Option<Option<T>> {
        match self.optional(key) {
            Some(node) => read(&node).map(Some),
            None => Some(None),
        }
    }
}
