//! Authentication of callers by bearer key.

use http::{HeaderMap, header};
use verbenahead_core::Digest;
use verbenahead_manifest::Workspace;

use crate::node::active_manifest::ActiveManifest;

use crate::callers::problem::{Problem, ProblemKind};

const BEARER_PREFIX: &str = "Bearer ";

/// `Caller` is an authenticated caller, with the manifest that is in force for its request.
#[derive(Debug, Clone)]
pub struct Caller {
    /// Workspace of the caller.
    pub workspace: Workspace,
    /// Manifest under which the whole request is served.
    pub manifest: ActiveManifest,
}

impl Caller {
    /// Finds the workspace of the bearer key.
    ///
    /// Only digests are compared, so the time that it takes tells nothing about a key.
    ///
    /// # Errors
    ///
    /// A [`Problem`] of kind [`ProblemKind::Unauthorized`].
    pub fn authenticate(manifest: ActiveManifest, headers: &HeaderMap) -> Result<Self, Problem> {
        let key = headers
            .get(header::AUTHORIZATION)
            .and_then(|value| value.to_str().ok())
            .and_then(|value| value.strip_prefix(BEARER_PREFIX))
            .ok_or_else(|| refuse("a bearer key is required"))?;
        let workspace = manifest
            .manifest
            .workspace_of_key(&Digest::of(key))
            .cloned()
            .ok_or_else(|| refuse("the bearer key is not known"))?;
        Ok(Self {
            workspace,
            manifest,
        })
    }
}

fn refuse(detail: &str) -> Problem {
    Problem::not_run(ProblemKind::Unauthorized, detail)
}
