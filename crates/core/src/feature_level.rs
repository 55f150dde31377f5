//! Levels of features by which nodes of different builds agree on what they may send and write.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// `FeatureLevel` is a level of features of the messages and rows that nodes share. A build that knows a level
/// knows all lower ones too.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct FeatureLevel(pub u32);

impl FeatureLevel {
    /// Level of builds that announce none.
    pub const UNSTATED: Self = Self(0);

    /// Level that this build knows. It rises by one with each release that gives a message or a row a new meaning.
    /// At level 1, nodes announce their level; no meaning depends on it yet.
    pub const KNOWN: Self = Self(1);
}
