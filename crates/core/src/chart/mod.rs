//! State charts that are read from files of JSON with comments.
//!
//! A chart lists states with their superstates and the transitions between them. The code that
//! uses a chart declares the names that it knows in a [`Vocabulary`]; a chart that uses any other
//! name is refused, with all findings at once.

mod check;
mod place;
mod raw;
mod read;
mod symbol;

use std::fmt;

use crate::{HashMap, findings::Findings};

pub use symbol::{ChartSymbol, NoSymbol, Vocabulary};

/// `Transition` is one row of a chart, without its state and event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Transition<S, G, A> {
    /// Condition of the row. A row without one always applies.
    pub guard: Option<G>,
    /// What the code does when the row applies.
    pub action: Option<A>,
    /// Next state. A row without one leaves the state as it is.
    pub target: Option<S>,
}

/// `TransitionOf` is the row type of the charts with the vocabulary `V`.
pub type TransitionOf<V> =
    Transition<<V as Vocabulary>::State, <V as Vocabulary>::Guard, <V as Vocabulary>::Action>;

type StateEvent<V> = (<V as Vocabulary>::State, <V as Vocabulary>::Event);

/// `Chart` is a checked state chart with the vocabulary `V`.
pub struct Chart<V: Vocabulary> {
    initial: V::State,
    superstates: HashMap<V::State, V::State>,
    transitions: HashMap<StateEvent<V>, Vec<TransitionOf<V>>>,
}

impl<V: Vocabulary> Chart<V> {
    /// Reads and checks a chart. `file` is the name that findings carry.
    ///
    /// # Errors
    ///
    /// All findings of the check, each with its line and column.
    pub fn try_new(file: &str, text: &str) -> Result<Self, Findings> {
        let raw = read::read(file, text)?;
        check::check(file, &raw)
    }

    /// Returns the state in which a machine starts.
    pub fn initial(&self) -> V::State {
        self.initial
    }

    /// Returns the superstate of `state`, if it has one.
    pub fn superstate(&self, state: V::State) -> Option<V::State> {
        self.superstates.get(&state).copied()
    }

    /// Returns the first row of `state` itself that applies to `event`.
    ///
    /// Rows of superstates are not searched, because the state machine defers to them itself.
    pub fn transition(
        &self,
        state: V::State,
        event: V::Event,
        mut holds: impl FnMut(V::Guard) -> bool,
    ) -> Option<TransitionOf<V>> {
        let rows = self.transitions.get(&(state, event))?;
        rows.iter()
            .find(|row| row.guard.is_none_or(&mut holds))
            .copied()
    }

    /// Returns the first row of `state` or of its superstates that applies to `event`.
    pub fn inherited_transition(
        &self,
        state: V::State,
        event: V::Event,
        mut holds: impl FnMut(V::Guard) -> bool,
    ) -> Option<TransitionOf<V>> {
        let mut current = Some(state);
        while let Some(state) = current {
            let row = self.transition(state, event, &mut holds);
            if row.is_some() {
                return row;
            }
            current = self.superstate(state);
        }
        None
    }
}

impl<V: Vocabulary> fmt::Debug for Chart<V> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Chart")
            .field("initial", &self.initial)
            .field("superstates", &self.superstates)
            .field("transitions", &self.transitions)
            .finish()
    }
}
