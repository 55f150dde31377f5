//! Authentication of callers by the bearer key in the `Authorization` header.

use http::{HeaderMap, header};
use verbenahead_core::Digest;
use verbenahead_manifest::Workspace;

use crate::node::active_manifest::ActiveManifest;

use crate::callers::problem::{Problem, ProblemKind};

const BEARER_PREFIX: &str = "Bearer ";

/// `Caller` is an authenticated caller and the manifest under which its request is served.
#[derive(Debug, Clone)]
pub struct Caller {
    /// Workspace of the caller.
    pub workspace: Workspace,
    /// Manifest in force when the request arrived; it applies to the whole request.
    pub manifest: ActiveManifest,
}

impl Caller {
    /// Authenticates a request by the bearer key in its headers.
    ///
    /// Only digests of keys are compared, so the response time reveals nothing about a key.
    ///
    /// # Errors
    ///
    /// Returns a [`Problem`] of kind [`ProblemKind::Unauthorized`].
    pub fn authenticate(manifest: ActiveManifest, headers: &HeaderMap) -> Result<Self, Problem> {
        let key = headers
            .get(header::AUTHORIZATION)
            .and_then(|value| value.to_str().ok())
            .and_then(|value| value.strip_prefix(BEARER_PREFIX))
            .ok_or_else(|| unauthorized("a bearer key is required"))?;
        let workspace = manifest
            .manifest
            .workspace_of_key(&Digest::of(key))
            .cloned()
            .ok_or_else(|| unauthorized("the bearer key is not known"))?;
        Ok(Self {
            workspace,
            manifest,
        })
    }
}

fn unauthorized(detail: &str) -> Problem {
    Problem::not_run(ProblemKind::Unauthorized, detail)
}
