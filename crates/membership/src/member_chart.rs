//! States, events, guards and actions of the state chart `charts/member.jsonc`.

use std::sync::OnceLock;

use derive_more::Display;
use verbenahead_core::{
    chart::{Chart, ChartSymbol, Vocabulary},
    findings::Findings,
};

use crate::{
    errors::{Error, Result},
    member::MemberState,
};

const FILE: &str = "charts/member.jsonc";
const TEXT: &str = include_str!("../charts/member.jsonc");

/// `MemberChartState` names the states of the chart.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
#[display(rename_all = "snake_case")]
pub enum MemberChartState {
    /// The member has no entry in the table.
    Unknown,
    /// Superstate of the states in which the member may still be running.
    Present,
    /// See [`MemberState::Alive`].
    Alive,
    /// See [`MemberState::Leaving`].
    Leaving,
    /// See [`MemberState::Suspect`].
    Suspect,
    /// See [`MemberState::Dead`].
    Dead,
}

impl ChartSymbol for MemberChartState {
    const ALL: &'static [Self] = &[
        Self::Unknown,
        Self::Present,
        Self::Alive,
        Self::Leaving,
        Self::Suspect,
        Self::Dead,
    ];
}

/// `MemberEvent` names the events of the chart.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
#[display(rename_all = "snake_case")]
pub enum MemberEvent {
    /// A message claims that the member is alive.
    ClaimAlive,
    /// A message claims that the member is leaving.
    ClaimLeaving,
    /// A message claims that the member is suspect.
    ClaimSuspect,
    /// A message claims that the member is dead.
    ClaimDead,
    /// This node's probe failed, and helpers did not reach the member either.
    ProbeFailed,
    /// Several of this node's probes failed and no helper answered.
    ProbeUnconfirmed,
    /// The retention time of a dead member's entry has passed.
    RetentionExpired,
}

impl ChartSymbol for MemberEvent {
    const ALL: &'static [Self] = &[
        Self::ClaimAlive,
        Self::ClaimLeaving,
        Self::ClaimSuspect,
        Self::ClaimDead,
        Self::ProbeFailed,
        Self::ProbeUnconfirmed,
        Self::RetentionExpired,
    ];
}

impl From<MemberState> for MemberEvent {
    fn from(claimed: MemberState) -> Self {
        match claimed {
            MemberState::Alive => Self::ClaimAlive,
            MemberState::Leaving => Self::ClaimLeaving,
            MemberState::Suspect => Self::ClaimSuspect,
            MemberState::Dead => Self::ClaimDead,
        }
    }
}

/// `MemberGuard` names the guards of the chart.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
#[display(rename_all = "snake_case")]
pub enum MemberGuard {
    /// The claim has a higher incarnation than the known one.
    Newer,
    /// The claim has the known incarnation or a higher one.
    Current,
    /// The suspicion timeout has passed, and this node has heard from other members since the
    /// suspicion began.
    Overdue,
}

impl ChartSymbol for MemberGuard {
    const ALL: &'static [Self] = &[Self::Newer, Self::Current, Self::Overdue];
}

/// `MemberAction` names the actions of the chart.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
#[display(rename_all = "snake_case")]
pub enum MemberAction {
    /// Adopt the claim and gossip it.
    Adopt,
    /// Gossip the state that this node detected itself.
    Announce,
}

impl ChartSymbol for MemberAction {
    const ALL: &'static [Self] = &[Self::Adopt, Self::Announce];
}

/// `MemberVocabulary` binds the state, event, guard and action types of the chart.
#[derive(Debug, Clone, Copy)]
pub struct MemberVocabulary;

impl Vocabulary for MemberVocabulary {
    type State = MemberChartState;
    type Event = MemberEvent;
    type Guard = MemberGuard;
    type Action = MemberAction;
}

/// `MemberChart` is the parsed state chart of members.
pub type MemberChart = Chart<MemberVocabulary>;

/// Returns the embedded state chart of members.
///
/// # Errors
///
/// [`Error::Chart`] with all findings when the chart is invalid.
pub fn member_chart() -> Result<&'static MemberChart> {
    static CHART: OnceLock<std::result::Result<MemberChart, Findings>> = OnceLock::new();
    CHART
        .get_or_init(|| Chart::try_new(FILE, TEXT))
        .as_ref()
        .map_err(|findings| Error::Chart {
            findings: findings.clone(),
        })
}
