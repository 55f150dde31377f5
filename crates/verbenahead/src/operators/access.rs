//! Credentials of the operator API.

use axum::{
    extract::{Request, State},
    middleware::Next,
    response::{IntoResponse, Response},
};
use base64::{Engine, engine::general_purpose::STANDARD};
use derive_more::Display;
use http::{HeaderValue, Method, StatusCode, header};
use verbenahead_core::{Digest, RunOutcome};

use crate::settings::{OperatorSettings, errors::Result};

use super::{problem::OperatorProblem, router::OperatorApi};

/// Challenges for browsers, which ask for a name and a key, and for programs. Each has a header
/// field of its own, since browsers do not look for a second challenge in one field.
const CHALLENGES: [&str; 2] = [
    "Basic realm=\"verbenahead\"",
    "Bearer realm=\"verbenahead\"",
];

/// `OperatorName` is the name of the credential that a call came with.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub struct OperatorName(pub String);

/// `OperatorKeys` are the digests of the keys that are accepted.
#[derive(Debug, Clone)]
pub struct OperatorKeys(Vec<(OperatorName, Digest)>);

impl OperatorKeys {
    /// Loads the keys that the settings refer to.
    ///
    /// # Errors
    ///
    /// When a key cannot be read.
    pub fn try_new(settings: &OperatorSettings) -> Result<Self> {
        let load = |credential: &crate::settings::OperatorCredential| {
            let digest = credential.digest()?;
            Ok((OperatorName(credential.name.clone()), digest))
        };
        let keys: Result<_> = settings.credentials.iter().map(load).collect();
        keys.map(Self)
    }

    /// Returns the name of the credential with this key.
    ///
    /// The time it takes does not depend on where digests differ, nor on which credential it is.
    pub fn name_of(&self, key: &str) -> Option<&OperatorName> {
        let digest = Digest::of(key);
        let mut found = None;
        for (name, accepted) in &self.0 {
            if is_equal(&digest, accepted) {
                found = Some(name);
            }
        }
        found
    }
}

fn is_equal(a: &Digest, b: &Digest) -> bool {
    let pairs = a.0.iter().zip(&b.0);
    let differences = pairs.fold(0, |sum, (a, b)| sum | (a ^ b));
    std::hint::black_box(differences) == 0
}

/// Lets calls with an accepted credential pass, and tells the handler its name.
pub(super) async fn check(
    State(api): State<OperatorApi>,
    mut req: Request,
    next: Next,
) -> Response {
    let key = key_of(&req);
    let name = key.and_then(|key| api.keys().name_of(&key).cloned());
    match name {
        Some(name) => {
            req.extensions_mut().insert(name);
            next.run(req).await
        }
        None => refuse(),
    }
}

fn refuse() -> Response {
    let detail = "a known credential is needed";
    let problem = OperatorProblem::new("unauthorized", StatusCode::UNAUTHORIZED, detail);
    let mut response = problem.with_outcome(RunOutcome::NotRun).into_response();
    for challenge in CHALLENGES {
        let value = HeaderValue::from_static(challenge);
        response
            .headers_mut()
            .append(header::WWW_AUTHENTICATE, value);
    }
    response
}

fn key_of(req: &Request) -> Option<String> {
    let value = req.headers().get(header::AUTHORIZATION)?.to_str().ok()?;
    let (scheme, credential) = value.split_once(' ')?;
    if scheme.eq_ignore_ascii_case("bearer") {
        return Some(credential.trim().to_owned());
    }
    // A browser sends basic credentials by itself, so they do not open calls that change things.
    let is_read = matches!(*req.method(), Method::GET | Method::HEAD);
    if !scheme.eq_ignore_ascii_case("basic") || !is_read {
        return None;
    }
    let decoded = STANDARD.decode(credential.trim()).ok()?;
    let text = String::from_utf8(decoded).ok()?;
    let (_, key) = text.split_once(':')?;
    Some(key.to_owned())
}
