//! Declaration of the states, events, guards and actions that a state machine implements.

use std::{
    fmt::{Debug, Display},
    hash::Hash,
};

/// `ChartSymbol` is an enumeration whose values appear in charts under their `Display` text.
pub trait ChartSymbol: Copy + Eq + Hash + Debug + Display + Send + Sync + 'static {
    /// All values.
    const ALL: &'static [Self];

    /// Returns the value with this name, if there is one.
    fn from_name(name: &str) -> Option<Self> {
        Self::ALL
            .iter()
            .find(|symbol| symbol.to_string() == name)
            .copied()
    }
}

/// `Vocabulary` holds the four enumerations of one kind of chart.
pub trait Vocabulary: 'static {
    /// States and superstates.
    type State: ChartSymbol;
    /// Events.
    type Event: ChartSymbol;
    /// Guards.
    type Guard: ChartSymbol;
    /// Actions.
    type Action: ChartSymbol;
}

/// `NoSymbol` stands for guards or actions in a vocabulary without any.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum NoSymbol {}

impl Display for NoSymbol {
    fn fmt(&self, _: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match *self {}
    }
}

impl ChartSymbol for NoSymbol {
    const ALL: &'static [Self] = &[];
}
