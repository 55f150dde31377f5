//! The table of the other members that a node knows.

use std::time::Duration;

use statig::blocking::{IntoStateMachineExt as _, StateMachine};
use tokio::time::Instant;
use verbenahead_core::{HashMap, NodeId, invariant};

use crate::{
    member::{Member, MemberState},
    member_chart::{MemberChart, MemberEvent},
    member_machine::{MemberContext, MemberEffect, MemberInput, MemberMachine},
    message::StateDigest,
};

/// `Change` is the effect of an event on a member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Change {
    /// The member after the event.
    pub(crate) member: Member,
    /// Whether the change has to be gossiped to the other members.
    pub(crate) must_gossip: bool,
}

/// `Input` is an input to a member's state machine.
#[derive(Clone, Copy)]
enum Input<'a> {
    /// Claim in a message of another node.
    Claim(&'a Member),
    /// Event that this node observed itself, and whether the suspicion timeout has passed.
    Observation(MemberEvent, bool),
}

struct Entry {
    member: Member,
    machine: StateMachine<MemberMachine>,
    /// Start of the suspicion timeout or of the retention of a dead member.
    timer_started: Instant,
    /// Consecutive failed probes for which no helper answered.
    unconfirmed_failures: u32,
}

/// `MemberTable` keeps one state machine for each member.
pub(crate) struct MemberTable {
    chart: &'static MemberChart,
    entries: HashMap<NodeId, Entry>,
    version: u64,
}

impl MemberTable {
    pub(crate) fn new(chart: &'static MemberChart) -> Self {
        Self {
            chart,
            entries: HashMap::default(),
            version: 0,
        }
    }

    /// Returns a counter that increases with every change.
    pub(crate) fn version(&self) -> u64 {
        self.version
    }

    pub(crate) fn get(&self, node: &NodeId) -> Option<&Member> {
        self.entries.get(node).map(|entry| &entry.member)
    }

    pub(crate) fn members(&self) -> impl Iterator<Item = &Member> {
        self.entries.values().map(|entry| &entry.member)
    }

    pub(crate) fn present(&self) -> impl Iterator<Item = &Member> {
        self.members().filter(|member| member.is_present())
    }

    /// Applies a claim of another node.
    pub(crate) fn apply_claim(&mut self, claim: &Member, now: Instant) -> Option<Change> {
        if !self.entries.contains_key(&claim.node) {
            let entry = Entry::new(self.chart, claim.clone(), now);
            self.entries.insert(claim.node.clone(), entry);
        }
        let input = Input::Claim(claim);
        self.step(&claim.node, input, now)
    }

    /// Applies an event that this node observed. `is_overdue` tells whether the suspicion timeout
    /// has passed.
    pub(crate) fn observe(
        &mut self,
        node: &NodeId,
        event: MemberEvent,
        is_overdue: bool,
        now: Instant,
    ) -> Option<Change> {
        self.step(node, Input::Observation(event, is_overdue), now)
    }

    /// Counts a failed probe for which no helper answered. Returns the number of consecutive ones.
    pub(crate) fn record_unconfirmed_failure(&mut self, node: &NodeId) -> u32 {
        self.entries.get_mut(node).map_or(0, |entry| {
            entry.unconfirmed_failures += 1;
            entry.unconfirmed_failures
        })
    }

    /// Records that a member answered a probe.
    pub(crate) fn record_answer(&mut self, node: &NodeId) {
        if let Some(entry) = self.entries.get_mut(node) {
            entry.unconfirmed_failures = 0;
        }
    }

    /// Returns whether a suspect had `timeout` to refute the suspicion. `last_contact` is when this
    /// node last heard from any member. Without contact since the suspicion began, the failure may
    /// be on this node's side, so the suspect is not overdue.
    pub(crate) fn is_overdue(
        &self,
        node: &NodeId,
        timeout: Duration,
        last_contact: Instant,
        now: Instant,
    ) -> bool {
        self.entries.get(node).is_some_and(|entry| {
            entry.member.state == MemberState::Suspect
                && last_contact > entry.timer_started
                && now.saturating_duration_since(entry.timer_started) >= timeout
        })
    }

    /// Restarts the suspicion timeout of a suspect.
    pub(crate) fn restart_timer(&mut self, node: &NodeId, now: Instant) {
        if let Some(entry) = self.entries.get_mut(node)
            && entry.member.state == MemberState::Suspect
        {
            entry.timer_started = now;
        }
    }

    /// Returns the dead members whose retention time has passed.
    pub(crate) fn expired_dead(&self, retention: Duration, now: Instant) -> Vec<NodeId> {
        let is_expired = |entry: &&Entry| {
            let age = now.saturating_duration_since(entry.timer_started);
            entry.member.state == MemberState::Dead && age >= retention
        };
        let expired = self.entries.values().filter(is_expired);
        expired.map(|entry| entry.member.node.clone()).collect()
    }

    /// Restarts all timeouts after the process was frozen.
    pub(crate) fn restart_timers(&mut self, now: Instant) {
        for entry in self.entries.values_mut() {
            entry.timer_started = now;
            entry.unconfirmed_failures = 0;
        }
    }

    /// Returns a digest of the members that are present, including `me`.
    pub(crate) fn digest(&self, me: &Member) -> StateDigest {
        let sum = self
            .present()
            .chain([me])
            .map(member_digest)
            .fold(0, u64::wrapping_add);
        StateDigest(sum)
    }

    fn step(&mut self, node: &NodeId, input: Input<'_>, now: Instant) -> Option<Change> {
        let entry = self.entries.get_mut(node)?;
        let before = entry.member.clone();
        let was_known = entry.machine.state().member_state().is_some();
        let effects = entry.step(input);
        let must_gossip = entry.apply_effects(&effects, input, now);
        let state = entry.machine.state().member_state();
        let Some(state) = state else {
            self.entries.remove(node);
            self.version += u64::from(was_known);
            return None;
        };
        entry.member.state = state;
        let member = entry.member.clone();
        invariant!(
            "incarnation of a member never falls",
            member.incarnation >= before.incarnation,
            "{before:?} became {member:?}"
        );
        if was_known && member == before {
            return None;
        }
        self.version += 1;
        Some(Change {
            member,
            must_gossip,
        })
    }
}

impl Entry {
    fn new(chart: &'static MemberChart, member: Member, now: Instant) -> Self {
        Self {
            member,
            machine: MemberMachine::new(chart).state_machine(),
            timer_started: now,
            unconfirmed_failures: 0,
        }
    }

    fn step(&mut self, input: Input<'_>) -> Vec<MemberEffect> {
        let known = self.member.incarnation;
        let (event, incarnation, is_overdue) = match input {
            Input::Claim(claim) => (claim.state.into(), claim.incarnation, false),
            Input::Observation(event, is_overdue) => (event, known, is_overdue),
        };
        let input = MemberInput { event, incarnation };
        let mut cx = MemberContext {
            known,
            is_overdue,
            effects: Vec::new(),
        };
        self.machine.handle_with_context(&input, &mut cx);
        cx.effects
    }

    /// Applies the effects and returns whether the change has to be gossiped.
    fn apply_effects(&mut self, effects: &[MemberEffect], input: Input<'_>, now: Instant) -> bool {
        let mut must_gossip = false;
        for effect in effects {
            match effect {
                MemberEffect::Adopt => {
                    self.adopt(input);
                    must_gossip = true;
                }
                MemberEffect::Announce => must_gossip = true,
                MemberEffect::StartSuspicion | MemberEffect::StartRetention => {
                    self.timer_started = now;
                }
            }
        }
        must_gossip
    }

    fn adopt(&mut self, input: Input<'_>) {
        if let Input::Claim(claim) = input {
            self.member = claim.clone();
            self.unconfirmed_failures = 0;
        }
    }
}

fn member_digest(member: &Member) -> u64 {
    let text = format!(
        "{} {} {} {}",
        member.node, member.incarnation, member.address, member.state
    );
    StateDigest::of(&text).0
}
