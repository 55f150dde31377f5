//! The parsed content of a chart before its names are checked.

use crate::findings::Place;

/// `Name` is a name in a chart and its place.
#[derive(Debug, Clone)]
pub(super) struct Name {
    pub(super) text: String,
    pub(super) place: Place,
}

/// `RawState` is a declared state.
#[derive(Debug, Clone)]
pub(super) struct RawState {
    pub(super) state: Name,
    pub(super) superstate: Option<Name>,
    pub(super) is_final: bool,
}

/// `RawTransition` is a declared transition.
#[derive(Debug, Clone)]
pub(super) struct RawTransition {
    pub(super) state: Name,
    pub(super) event: Name,
    pub(super) guard: Option<Name>,
    pub(super) action: Option<Name>,
    pub(super) target: Option<Name>,
}

/// `RawChart` is a parsed chart whose names are not checked yet.
#[derive(Debug, Clone)]
pub(super) struct RawChart {
    pub(super) initial: Name,
    pub(super) states: Vec<RawState>,
    pub(super) transitions: Vec<RawTransition>,
}
