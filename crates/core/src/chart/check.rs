//! Checks a chart against the vocabulary of the state machine.

use super::{
    Chart, ChartSymbol, Transition, Vocabulary,
    raw::{Name, RawChart, RawState, RawTransition},
};
use crate::{
    HashMap, HashSet,
    findings::{Finding, Findings, Place, suggest},
};

/// Checks a chart and returns all findings together.
///
/// Besides unknown and missing names it reports states that cannot be reached or left and
/// transitions that can never apply.
pub(super) fn check<V: Vocabulary>(file: &str, raw: &RawChart) -> Result<Chart<V>, Findings> {
    let mut checker = Checker::<V> {
        file,
        findings: Findings::default(),
        places: HashMap::default(),
        parents: HashSet::default(),
        finals: HashSet::default(),
        superstates: HashMap::default(),
        transitions: HashMap::default(),
    };
    checker.declare_states(&raw.states);
    for transition in &raw.transitions {
        checker.add_transition(transition);
    }
    let initial = checker.resolve_initial(&raw.initial);
    if let Some(initial) = initial {
        checker.check_reachability(initial);
    }
    checker.check_exits();
    let chart = initial.map(|initial| Chart {
        initial,
        superstates: checker.superstates,
        transitions: checker.transitions,
    });
    let chart = checker.findings.into_result(chart)?;
    Ok(chart.expect("a chart without findings has an initial state"))
}

struct Checker<'a, V: Vocabulary> {
    file: &'a str,
    findings: Findings,
    places: HashMap<V::State, Place>,
    parents: HashSet<V::State>,
    finals: HashSet<V::State>,
    superstates: HashMap<V::State, V::State>,
    transitions: HashMap<super::StateEvent<V>, Vec<super::TransitionOf<V>>>,
}

impl<V: Vocabulary> Checker<'_, V> {
    fn declare_states(&mut self, states: &[RawState]) {
        for raw in states {
            self.declare(raw);
        }
        for raw in states {
            self.link_superstate(raw);
        }
        let missing = V::State::ALL
            .iter()
            .filter(|state| !self.places.contains_key(*state));
        let missing: Vec<_> = missing.copied().collect();
        for state in missing {
            let place = Place {
                file: self.file.to_owned(),
                path: "states".to_owned(),
                ..Place::default()
            };
            self.report(place, format!("state `{state}` is missing"));
        }
    }

    fn declare(&mut self, raw: &RawState) {
        let Some(state) = self.resolve::<V::State>("state", &raw.state) else {
            return;
        };
        let place = raw.state.place.clone();
        if self.places.insert(state, place.clone()).is_some() {
            self.report(place, format!("state `{state}` is declared twice"));
        }
        if raw.is_final {
            self.finals.insert(state);
        }
    }

    fn link_superstate(&mut self, raw: &RawState) {
        let Some(name) = &raw.superstate else {
            return;
        };
        let Some(parent) = self.resolve_declared(name) else {
            return;
        };
        let Some(state) = V::State::from_name(&raw.state.text) else {
            return;
        };
        if self.ancestors(parent).contains(&state) {
            let message = format!("state `{state}` is its own superstate");
            self.report(name.place.clone(), message);
            return;
        }
        self.parents.insert(parent);
        self.superstates.insert(state, parent);
    }

    fn add_transition(&mut self, raw: &RawTransition) {
        let state = self.resolve_declared(&raw.state);
        let event = self.resolve::<V::Event>("event", &raw.event);
        let guard = raw.guard.as_ref().map(|name| self.resolve("guard", name));
        let action = raw.action.as_ref().map(|name| self.resolve("action", name));
        let target = raw.target.as_ref().map(|name| self.resolve_leaf(name));
        let (Some(state), Some(event)) = (state, event) else {
            return;
        };
        let rows = self.transitions.entry((state, event)).or_default();
        let is_shadowed = rows.iter().any(|row| row.guard.is_none());
        rows.push(Transition {
            guard: guard.flatten(),
            action: action.flatten(),
            target: target.flatten(),
        });
        if is_shadowed {
            let message = format!("an earlier transition takes every `{event}` in `{state}`");
            self.report(raw.event.place.clone(), message);
        }
    }

    fn resolve_initial(&mut self, name: &Name) -> Option<V::State> {
        self.resolve_leaf(name)
    }

    fn check_reachability(&mut self, initial: V::State) {
        let mut reached = HashSet::default();
        let mut pending = vec![initial];
        while let Some(state) = pending.pop() {
            if !reached.insert(state) {
                continue;
            }
            pending.extend(self.targets(state));
        }
        for state in self.leaves() {
            if !reached.contains(&state) {
                let message = format!("state `{state}` cannot be reached");
                self.report(self.places[&state].clone(), message);
            }
        }
    }

    fn check_exits(&mut self) {
        for state in self.leaves() {
            let has_exit = self.targets(state).iter().any(|target| *target != state);
            if has_exit || self.finals.contains(&state) {
                continue;
            }
            let message = format!("state `{state}` has no way out and is not final");
            self.report(self.places[&state].clone(), message);
        }
    }

    /// Returns the declared states that are not superstates, in the order of the vocabulary.
    fn leaves(&self) -> Vec<V::State> {
        let is_leaf =
            |state: &&V::State| self.places.contains_key(*state) && !self.parents.contains(*state);
        V::State::ALL.iter().filter(is_leaf).copied().collect()
    }

    fn targets(&self, state: V::State) -> Vec<V::State> {
        let chain = self.ancestors(state);
        self.transitions
            .iter()
            .filter(|((from, _), _)| chain.contains(from))
            .flat_map(|(_, rows)| rows.iter().filter_map(|row| row.target))
            .collect()
    }

    /// Returns `state` and its superstates.
    fn ancestors(&self, state: V::State) -> Vec<V::State> {
        let mut chain = vec![state];
        let mut current = state;
        while let Some(parent) = self.superstates.get(&current) {
            chain.push(*parent);
            current = *parent;
        }
        chain
    }

    fn resolve_leaf(&mut self, name: &Name) -> Option<V::State> {
        let state = self.resolve_declared(name)?;
        if self.parents.contains(&state) {
            let message = format!("`{state}` is a superstate and cannot be entered itself");
            self.report(name.place.clone(), message);
            return None;
        }
        Some(state)
    }

    fn resolve_declared(&mut self, name: &Name) -> Option<V::State> {
        let state = self.resolve("state", name)?;
        if !self.places.contains_key(&state) {
            self.report(
                name.place.clone(),
                format!("state `{state}` is not declared"),
            );
            return None;
        }
        Some(state)
    }

    fn resolve<T: ChartSymbol>(&mut self, kind: &str, name: &Name) -> Option<T> {
        let symbol = T::from_name(&name.text);
        if symbol.is_none() {
            let known: Vec<_> = T::ALL.iter().map(ToString::to_string).collect();
            let suggestion = suggest(&name.text, known.iter().map(String::as_str));
            self.findings.push(Finding {
                place: name.place.clone(),
                message: format!("unknown {kind} `{}`", name.text),
                suggestion: suggestion.map(str::to_owned),
            });
        }
        symbol
    }

    fn report(&mut self, place: Place, message: String) {
        self.findings.push(Finding {
            place,
            message,
            suggestion: None,
        });
    }
}
