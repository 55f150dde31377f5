//! State charts, read from files of JSON with comments.
//!
//! A chart lists states with their superstates and the transitions between them. The code that
//! uses a chart declares its states, events, guards and actions in a [`Vocabulary`]. A chart that
//! uses any other name is rejected, and all findings are reported together.

mod check;
mod raw;
mod read;
mod source;
mod symbol;

use std::fmt;

use crate::{HashMap, findings::Findings};

pub use symbol::{ChartSymbol, NoSymbol, Vocabulary};

/// `Transition` is a row of the transition table of a chart, without its state and event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Transition<S, G, A> {
    /// Condition under which the transition applies. Without one it always applies.
    pub guard: Option<G>,
    /// Action that the code runs on the transition.
    pub action: Option<A>,
    /// Next state. Without one the state does not change.
    pub target: Option<S>,
}

/// `TransitionOf` is the transition type of charts with the vocabulary `V`.
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
    /// Reads and checks a chart. `file` names the text in findings.
    ///
    /// # Errors
    ///
    /// Returns all findings of the check, each with its line and column.
    pub fn try_new(file: &str, text: &str) -> Result<Self, Findings> {
        let raw = read::read(file, text)?;
        check::check(file, &raw)
    }

    /// Returns the initial state of the state machine.
    pub fn initial(&self) -> V::State {
        self.initial
    }

    /// Returns the superstate of `state`, if it has one.
    pub fn superstate(&self, state: V::State) -> Option<V::State> {
        self.superstates.get(&state).copied()
    }

    /// Returns the first transition of `state` itself that applies to `event`. `holds` evaluates
    /// guards.
    ///
    /// Superstates are not searched: the state machine itself passes unhandled events to them.
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

    /// Returns the first transition of `state` or of its superstates that applies to `event`.
    /// `holds` evaluates guards.
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
