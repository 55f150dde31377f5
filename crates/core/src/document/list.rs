//! The elements of an array in a document.

use std::{fmt::Display, hash::Hash};

use crate::HashSet;

use super::node::Node;

/// `Located` is a value and the node from which it was read.
pub struct Located<'d, T> {
    /// Node of the value.
    pub node: Node<'d>,
    /// The value.
    pub value: T,
}

/// `Listed` holds the elements of an array that could be read.
pub struct Listed<'d, T> {
    node: Node<'d>,
    elements: Vec<Located<'d, T>>,
    is_complete: bool,
}

impl<'d, T> Listed<'d, T> {
    pub(super) fn new(node: Node<'d>) -> Self {
        Self {
            node,
            elements: Vec::new(),
            is_complete: true,
        }
    }

    pub(super) fn push(&mut self, node: Node<'d>, element: Option<T>) {
        match element {
            Some(value) => self.elements.push(Located { node, value }),
            None => self.is_complete = false,
        }
    }

    /// Returns whether all elements of the array could be read.
    pub fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// Iterates over the elements.
    pub fn iter(&self) -> impl Iterator<Item = &Located<'d, T>> {
        self.elements.iter()
    }

    /// Reports a finding if the array is empty. `kind` names an element in the message.
    #[must_use]
    pub fn not_empty(self, kind: &str) -> Self {
        if self.is_complete && self.elements.is_empty() {
            self.node.report(format!("at least one {kind} is needed"));
        }
        self
    }

    /// Reports each element with the same key as an earlier one. `kind` names an element in the
    /// message.
    #[must_use]
    pub fn unique<K>(self, kind: &str, key: impl Fn(&T) -> K) -> Self
    where
        K: Eq + Hash + Display,
    {
        let mut seen = HashSet::default();
        for element in &self.elements {
            let key = key(&element.value);
            let message = format!("the {kind} `{key}` is repeated");
            if !seen.insert(key) {
                element.node.report(message);
            }
        }
        self
    }

    /// Returns the elements without their nodes.
    pub fn into_values(self) -> Vec<T> {
        let elements = self.elements.into_iter();
        elements.map(|element| element.value).collect()
    }
}
