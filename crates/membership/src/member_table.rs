//! The members that a node knows, besides itself.

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

/// `Change` tells what an event did to a member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Change {
    /// The member after the event.
    pub(crate) member: Member,
    /// Whether the other members have to be told.
    pub(crate) is_news: bool,
}

/// `Input` is what a member's machine has to handle.
#[derive(Clone, Copy)]
enum Input<'a> {
    Claim(&'a Member),
    Finding(MemberEvent, bool),
}

struct Entry {
    member: Member,
    machine: StateMachine<MemberMachine>,
    timer_started: Instant,
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

    /// Returns a number that rises with every change.
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

    /// Takes a claim of another node into account.
    pub(crate) fn claim(&mut self, claim: &Member, now: Instant) -> Option<Change> {
        if !self.entries.contains_key(&claim.node) {
            let entry = Entry::new(self.chart, claim.clone(), now);
            self.entries.insert(claim.node.clone(), entry);
        }
        let input = Input::Claim(claim);
        self.step(&claim.node, input, now)
    }

    /// Takes an own finding about a member into account. `is_overdue` tells whether the time to
    /// refute a suspicion has passed.
    pub(crate) fn observe(
        &mut self,
        node: &NodeId,
        event: MemberEvent,
        is_overdue: bool,
        now: Instant,
    ) -> Option<Change> {
        self.step(node, Input::Finding(event, is_overdue), now)
    }

    /// Counts a failed probe that no helper could confirm and returns how many there were in turn.
    pub(crate) fn count_unconfirmed(&mut self, node: &NodeId) -> u32 {
        self.entries.get_mut(node).map_or(0, |entry| {
            entry.unconfirmed_failures += 1;
            entry.unconfirmed_failures
        })
    }

    /// Records that a member answered a probe.
    pub(crate) fn note_answer(&mut self, node: &NodeId) {
        if let Some(entry) = self.entries.get_mut(node) {
            entry.unconfirmed_failures = 0;
        }
    }

    /// Returns whether a suspect had `timeout` to refute the suspicion. `last_heard` is when this
    /// node last heard from any member: a suspicion older than that may be this node's own fault.
    pub(crate) fn is_overdue(
        &self,
        node: &NodeId,
        timeout: Duration,
        last_heard: Instant,
        now: Instant,
    ) -> bool {
        self.entries.get(node).is_some_and(|entry| {
            entry.member.state == MemberState::Suspect
                && last_heard > entry.timer_started
                && now.saturating_duration_since(entry.timer_started) >= timeout
        })
    }

    /// Gives a suspect the time to refute the suspicion once more.
    pub(crate) fn restart_timer(&mut self, node: &NodeId, now: Instant) {
        if let Some(entry) = self.entries.get_mut(node)
            && entry.member.state == MemberState::Suspect
        {
            entry.timer_started = now;
        }
    }

    /// Returns the dead members that need no longer be remembered.
    pub(crate) fn expired_dead(&self, retention: Duration, now: Instant) -> Vec<NodeId> {
        let is_expired = |entry: &&Entry| {
            let age = now.saturating_duration_since(entry.timer_started);
            entry.member.state == MemberState::Dead && age >= retention
        };
        let expired = self.entries.values().filter(is_expired);
        expired.map(|entry| entry.member.node.clone()).collect()
    }

    /// Starts all timeouts again, because the process was frozen meanwhile.
    pub(crate) fn restart_timers(&mut self, now: Instant) {
        for entry in self.entries.values_mut() {
            entry.timer_started = now;
            entry.unconfirmed_failures = 0;
        }
    }

    /// Returns a digest of the members that are present, with `me` among them.
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
        let is_news = entry.carry_out(&effects, input, now);
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
        Some(Change { member, is_news })
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
            Input::Finding(event, is_overdue) => (event, known, is_overdue),
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

    /// Carries out the effects and returns whether the other members have to be told.
    fn carry_out(&mut self, effects: &[MemberEffect], input: Input<'_>, now: Instant) -> bool {
        let mut is_news = false;
        for effect in effects {
            match effect {
                MemberEffect::Adopt => {
                    self.adopt(input);
                    is_news = true;
                }
                MemberEffect::Announce => is_news = true,
                MemberEffect::StartSuspicion | MemberEffect::StartRetention => {
                    self.timer_started = now;
                }
            }
        }
        is_news
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
