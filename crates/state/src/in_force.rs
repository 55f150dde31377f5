//! Manifest that is in force on a node.

use std::sync::Arc;

use tokio::sync::watch;
use verbenahead_core::{Digest, Generation, invariant};

use crate::{errors::Result, manifest_store::Head};

/// `AppliedManifest` is a manifest in force.
#[derive(Debug)]
pub struct AppliedManifest<M> {
    /// Generation of the manifest.
    pub generation: Generation,
    /// Digest of its body.
    pub digest: Digest,
    /// The manifest.
    pub manifest: Arc<M>,
}

impl<M> Clone for AppliedManifest<M> {
    fn clone(&self) -> Self {
        Self {
            generation: self.generation,
            digest: self.digest,
            manifest: Arc::clone(&self.manifest),
        }
    }
}

/// `ApplyOutcome` is the result of [`InForce::apply`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The manifest is now in force.
    Applied,
    /// A manifest of the same or a higher generation is already in force.
    NotNewer {
        /// Generation in force.
        in_force: Generation,
    },
}

/// `InForce` holds the manifest in force on this node. Its generation never decreases.
#[derive(Debug)]
pub struct InForce<M> {
    tx: watch::Sender<Option<AppliedManifest<M>>>,
}

impl<M> Default for InForce<M> {
    fn default() -> Self {
        Self {
            tx: watch::Sender::new(None),
        }
    }
}

impl<M> InForce<M> {
    /// Applies an accepted manifest, unless one of the same or a higher generation is in force.
    pub fn apply(&self, applied: AppliedManifest<M>) -> ApplyOutcome {
        let mut outcome = ApplyOutcome::Applied;
        self.tx.send_if_modified(|current| {
            let in_force = generation_of(current.as_ref());
            check_digest(current.as_ref(), &applied);
            if applied.generation <= in_force {
                outcome = ApplyOutcome::NotNewer { in_force };
                return false;
            }
            *current = Some(applied.clone());
            let generation = generation_of(current.as_ref());
            invariant!(
                "generation_never_falls",
                generation > in_force,
                "generation {generation} after {in_force}"
            );
            true
        });
        outcome
    }

    /// Returns the manifest in force, if there is one.
    pub fn get(&self) -> Option<AppliedManifest<M>> {
        self.tx.borrow().clone()
    }

    /// Returns the generation in force, or zero if there is none.
    pub fn generation(&self) -> Generation {
        generation_of(self.tx.borrow().as_ref())
    }

    /// Subscribes to changes of the manifest in force.
    pub fn subscribe(&self) -> watch::Receiver<Option<AppliedManifest<M>>> {
        self.tx.subscribe()
    }
}

fn generation_of<M>(applied: Option<&AppliedManifest<M>>) -> Generation {
    applied
        .map(|applied| applied.generation)
        .unwrap_or_default()
}

fn check_digest<M>(current: Option<&AppliedManifest<M>>, applied: &AppliedManifest<M>) {
    let Some(current) = current else { return };
    invariant!(
        "generation_has_one_digest",
        current.generation != applied.generation || current.digest == applied.digest,
        "generation {} has digests {} and {}",
        current.generation,
        current.digest,
        applied.digest
    );
}

/// `KnownGeneration` is a generation that is the head of the table or in force at a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KnownGeneration {
    /// Generation, or zero if there is none.
    pub generation: Generation,
    /// Digest of its body.
    pub digest: Digest,
}

/// `StartDecision` states whether a starting node may serve.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartDecision {
    /// The node may serve once this generation is in force.
    Apply(KnownGeneration),
    /// No manifest was published yet. The node is not ready.
    NothingPublished,
    /// The table is unavailable and no peer reported a generation. The node is not ready.
    NotReady,
}

impl StartDecision {
    /// Decides from the head row as read and the generations in force at the reachable peers.
    ///
    /// The highest generation is applied. Peers have only accepted generations in force, so they
    /// are never ahead of the accepted head.
    pub fn decide(head: &Result<Option<Head>>, peers: &[KnownGeneration]) -> Self {
        let from_table = head.iter().flatten().map(|head| KnownGeneration {
            generation: head.generation,
            digest: head.digest,
        });
        let is_published = |known: &KnownGeneration| known.generation > Generation(0);
        let highest = from_table
            .chain(peers.iter().copied())
            .filter(is_published)
            .max_by_key(|known| known.generation);
        match (highest, head) {
            (Some(known), _) => Self::Apply(known),
            (None, Ok(_)) => Self::NothingPublished,
            (None, Err(_)) => Self::NotReady,
        }
    }
}
