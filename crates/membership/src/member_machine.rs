//! The state machine of one member. Its transitions come from `charts/member.jsonc`.

use statig::prelude::*;
use verbenahead_core::Incarnation;

use crate::{
    member::MemberState,
    member_chart::{MemberAction, MemberChart, MemberChartState, MemberEvent, MemberGuard},
};

/// `MemberInput` is an event with the incarnation of the claim, or the known incarnation when this
/// node observed the event itself.
#[derive(Debug, Clone, Copy)]
pub(crate) struct MemberInput {
    pub(crate) event: MemberEvent,
    pub(crate) incarnation: Incarnation,
}

/// `MemberEffect` is a side effect that the owner of a machine has to apply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum MemberEffect {
    Adopt,
    Announce,
    StartSuspicion,
    StartRetention,
}

/// `MemberContext` holds the inputs of the guards and collects the effects of a step.
#[derive(Debug)]
pub(crate) struct MemberContext {
    pub(crate) known: Incarnation,
    pub(crate) is_overdue: bool,
    pub(crate) effects: Vec<MemberEffect>,
}

/// `MemberMachine` is the shared storage of the `statig` state machine.
#[derive(Debug)]
pub(crate) struct MemberMachine {
    chart: &'static MemberChart,
}

impl MemberMachine {
    /// Builds a machine with the initial state `unknown`.
    pub(crate) fn new(chart: &'static MemberChart) -> Self {
        Self { chart }
    }

    fn step(
        &self,
        state: MemberChartState,
        input: &MemberInput,
        cx: &mut MemberContext,
    ) -> Outcome<State> {
        let known = cx.known;
        let is_overdue = cx.is_overdue;
        let holds = |guard| match guard {
            MemberGuard::Newer => input.incarnation > known,
            MemberGuard::Current => input.incarnation >= known,
            MemberGuard::Overdue => is_overdue,
        };
        let Some(row) = self.chart.transition(state, input.event, holds) else {
            return Super;
        };
        cx.effects.extend(row.action.map(|action| match action {
            MemberAction::Adopt => MemberEffect::Adopt,
            MemberAction::Announce => MemberEffect::Announce,
        }));
        row.target.and_then(state_of).map_or(Handled, Transition)
    }
}

fn state_of(state: MemberChartState) -> Option<State> {
    match state {
        MemberChartState::Unknown => Some(State::unknown()),
        MemberChartState::Alive => Some(State::alive()),
        MemberChartState::Leaving => Some(State::leaving()),
        MemberChartState::Suspect => Some(State::suspect()),
        MemberChartState::Dead => Some(State::dead()),
        MemberChartState::Present => None,
    }
}

#[state_machine(
    initial = "State::unknown()",
    state(derive(Debug, Clone, Copy, PartialEq, Eq))
)]
impl MemberMachine {
    #[state]
    fn unknown(&self, context: &mut MemberContext, event: &MemberInput) -> Outcome<State> {
        self.step(MemberChartState::Unknown, event, context)
    }

    #[superstate]
    fn present(&self, context: &mut MemberContext, event: &MemberInput) -> Outcome<State> {
        self.step(MemberChartState::Present, event, context)
    }

    #[state(superstate = "present")]
    fn alive(&self, context: &mut MemberContext, event: &MemberInput) -> Outcome<State> {
        self.step(MemberChartState::Alive, event, context)
    }

    #[state(superstate = "present")]
    fn leaving(&self, context: &mut MemberContext, event: &MemberInput) -> Outcome<State> {
        self.step(MemberChartState::Leaving, event, context)
    }

    #[state(superstate = "present", entry_action = "enter_suspect")]
    fn suspect(&self, context: &mut MemberContext, event: &MemberInput) -> Outcome<State> {
        self.step(MemberChartState::Suspect, event, context)
    }

    #[state(entry_action = "enter_dead")]
    fn dead(&self, context: &mut MemberContext, event: &MemberInput) -> Outcome<State> {
        self.step(MemberChartState::Dead, event, context)
    }

    #[action]
    fn enter_suspect(&self, context: &mut MemberContext) {
        context.effects.push(MemberEffect::StartSuspicion);
    }

    #[action]
    fn enter_dead(&self, context: &mut MemberContext) {
        context.effects.push(MemberEffect::StartRetention);
    }
}

impl State {
    /// Returns the state of the member, or `None` when no entry is needed.
    pub(crate) fn member_state(self) -> Option<MemberState> {
        match self {
            Self::Unknown {} => None,
            Self::Alive {} => Some(MemberState::Alive),
            Self::Leaving {} => Some(MemberState::Leaving),
            Self::Suspect {} => Some(MemberState::Suspect),
            Self::Dead {} => Some(MemberState::Dead),
        }
    }
}
