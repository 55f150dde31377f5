//! Authentication of the operator API.

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

/// `WWW-Authenticate` challenges: Basic makes a browser prompt for a name and a key, Bearer is for
/// programs. Each is sent in its own header field, since browsers ignore a second challenge in one
/// field.
const CHALLENGES: [&str; 2] = [
    "Basic realm=\"verbenahead\"",
    "Bearer realm=\"verbenahead\"",
];

/// `OperatorName` is the name of the credential that authenticated a call.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub struct OperatorName(pub String);

/// `OperatorKeys` holds the digests of the accepted keys, by credential name.
#[derive(Debug, Clone)]
pub struct OperatorKeys(Vec<(OperatorName, Digest)>);

impl OperatorKeys {
    /// Loads the digest of each credential in the settings.
    ///
    /// # Errors
    ///
    /// Returns an error when the key of a credential cannot be read.
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
    /// The time does not depend on where digests differ or on which credential matches: all digests
    /// are compared in full.
    pub fn name_of(&self, key: &str) -> Option<&OperatorName> {
        let digest = Digest::of(key);
        let mut found = None;
        for (name, accepted) in &self.0 {
            if is_equal_constant_time(&digest, accepted) {
                found = Some(name);
            }
        }
        found
    }
}

fn is_equal_constant_time(a: &Digest, b: &Digest) -> bool {
    let pairs = a.0.iter().zip(&b.0);
    let differences = pairs.fold(0, |sum, (a, b)| sum | (a ^ b));
    std::hint::black_box(differences) == 0
}

/// Rejects calls without an accepted credential and adds the [`OperatorName`] to the extensions of
/// the others.
pub(super) async fn require_credential(
    State(api): State<OperatorApi>,
    mut req: Request,
    next: Next,
) -> Response {
    let key = key_from(&req);
    let name = key.and_then(|key| api.keys().name_of(&key).cloned());
    match name {
        Some(name) => {
            api.memory().account_of(req.extensions()).set_known(None);
            req.extensions_mut().insert(name);
            next.run(req).await
        }
        None => unauthorized(),
    }
}

fn unauthorized() -> Response {
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

fn key_from(req: &Request) -> Option<String> {
    let value = req.headers().get(header::AUTHORIZATION)?.to_str().ok()?;
    let (scheme, credential) = value.split_once(' ')?;
    if scheme.eq_ignore_ascii_case("bearer") {
        return Some(credential.trim().to_owned());
    }
    // Browsers attach basic credentials to any request to the origin, so accepting them for writes
    // would allow cross-site request forgery.
    let is_read = matches!(*req.method(), Method::GET | Method::HEAD);
    if !scheme.eq_ignore_ascii_case("basic") || !is_read {
        return None;
    }
    let decoded = STANDARD.decode(credential.trim()).ok()?;
    let text = String::from_utf8(decoded).ok()?;
    let (_, key) = text.split_once(':')?;
    Some(key.to_owned())
}
