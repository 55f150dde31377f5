//! An object of a document.

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

    fn report_key(&self, property: &ast::ObjectProp<'d>, message: String, hint: Option<&str>) {
        let offset = property.range().start;
        let path = self.path_of(property.name.as_str());
        let sink = self.node.sink();
        sink.add_with_suggestion(offset, &path, message, hint);
    }

    fn path_of(&self, key: &str) -> String {
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
        let node = Node::new(self.node.sink(), &property.value, self.path_of(key));
        (!node.is_null()).then_some(node)
    }

    /// Returns the value of a key and reports its absence.
    pub fn required(&self, key: &'static str) -> Option<Node<'d>> {
        let node = self.optional(key);
        if node.is_none() {
            self.node.report(format!("the key `{key}` is missing"));
        }
        node
    }

    /// Reads an optional key. An absent key gives `default`; a faulty value gives `None`.
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

    /// Reads an optional key. An absent key gives `Some(None)`; a faulty value gives `None`.
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
