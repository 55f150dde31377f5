//! The manifest that is in force on a node.

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

/// `ApplyOutcome` is the answer to applying a manifest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The manifest is in force from now on.
    Applied,
    /// A manifest of this or a higher generation is in force already.
    NotNewer {
        /// Generation in force.
        in_force: Generation,
    },
}

/// `InForce` holds the manifest in force on this node. Its generation never falls.
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
    /// Applies a manifest that was accepted, unless one of its generation or later is in force.
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

    /// Returns the generation in force. Zero means none.
    pub fn generation(&self) -> Generation {
        generation_of(self.tx.borrow().as_ref())
    }

    /// Subscribes to the manifest in force.
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

/// `KnownGeneration` is a generation that a peer has in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KnownGeneration {
    /// Generation in force at the peer. Zero means none.
    pub generation: Generation,
    /// Digest of its body.
    pub digest: Digest,
}

/// `StartDecision` says whether a starting node may serve.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartDecision {
    /// The node serves once it has this generation in force.
    Apply(KnownGeneration),
    /// Nothing was published yet. The node is not ready.
    NothingPublished,
    /// Neither the table nor a peer told a generation. The node is not ready.
    NotReady,
}

impl StartDecision {
    /// Decides from the reading of the head and from what the reachable peers have in force.
    ///
    /// The highest generation counts. Peers only have accepted generations in force, so they
    /// cannot be ahead of what was accepted.
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
