//! Credentials of the operator API.

use verbenahead_core::{
    Digest,
    document::{Listed, Node},
};

use super::{
    credentials::read_reference,
    errors::Result,
    secret::{Secret, SecretReference},
};

const OPERATOR_KEYS: &[&str] = &["credentials"];

const CREDENTIAL_KEYS: &[&str] = &["name", "digest", "key"];

/// Longest name of an operator, in characters.
const MAX_NAME_CHARS: usize = 64;

/// `OperatorSettings` are the credentials that the operator API accepts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OperatorSettings {
    /// Accepted credentials. During a rotation, both the old and the new one of an operator.
    pub credentials: Vec<OperatorCredential>,
}

/// `OperatorCredential` is one accepted bearer key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OperatorCredential {
    /// Name of the operator, recorded as publisher of the manifests published with this key.
    pub name: String,
    /// Source of the digest that a presented key is compared with.
    pub source: CredentialSource,
}

/// `CredentialSource` says what a presented bearer key is compared with.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CredentialSource {
    /// The digest of the key.
    Digest(Digest),
    /// The key itself, by reference.
    Key(SecretReference),
}

impl OperatorCredential {
    /// Returns the digest of the accepted key.
    ///
    /// # Errors
    ///
    /// Returns an error when the key is given by reference and cannot be read.
    pub fn digest(&self) -> Result<Digest> {
        match &self.source {
            CredentialSource::Digest(digest) => Ok(*digest),
            CredentialSource::Key(reference) => reference.load().map(|key| digest_of(&key)),
        }
    }
}

fn digest_of(key: &Secret) -> Digest {
    Digest::of(key.expose())
}

impl OperatorSettings {
    /// Returns the references to secrets.
    pub fn references(&self) -> impl Iterator<Item = &SecretReference> {
        let credentials = self.credentials.iter();
        credentials.filter_map(|credential| match &credential.source {
            CredentialSource::Digest(_) => None,
            CredentialSource::Key(reference) => Some(reference),
        })
    }
}

/// Parses the credentials of operators.
pub(super) fn read(node: &Node<'_>) -> Option<OperatorSettings> {
    let object = node.object(OPERATOR_KEYS)?;
    let credentials = object
        .required("credentials")?
        .list(read_credential)?
        .not_empty("credential");
    check_digests(&credentials);
    Some(OperatorSettings {
        credentials: credentials.into_values(),
    })
}

fn read_credential(node: &Node<'_>) -> Option<OperatorCredential> {
    let object = node.object(CREDENTIAL_KEYS)?;
    let name = object.required("name").and_then(|node| read_name(&node));
    let source = match (object.optional("digest"), object.optional("key")) {
        (Some(node), None) => node.parse().map(CredentialSource::Digest),
        (None, Some(node)) => read_reference(&node).map(CredentialSource::Key),
        _ => {
            node.report("a credential has one of the keys `digest` and `key`");
            None
        }
    };
    Some(OperatorCredential {
        name: name?,
        source: source?,
    })
}

fn read_name(node: &Node<'_>) -> Option<String> {
    let name = node.text()?;
    if name.chars().count() > MAX_NAME_CHARS {
        node.report(format!("a name has at most {MAX_NAME_CHARS} characters"));
        return None;
    }
    Some(name)
}

/// Reports repeated digests, with which one key would authenticate two operators.
fn check_digests(credentials: &Listed<'_, OperatorCredential>) {
    let mut seen = Vec::new();
    for credential in credentials.iter() {
        let CredentialSource::Digest(digest) = credential.value.source else {
            continue;
        };
        if seen.contains(&digest) {
            credential.node.report("the key digest is repeated");
        }
        seen.push(digest);
    }
}
