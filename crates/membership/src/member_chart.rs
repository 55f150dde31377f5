//! The vocabulary of the chart of members.

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
    /// No entry is kept.
    Unknown,
    /// Superstate of the members that may still run.
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
    /// A message says that the member is alive.
    ClaimAlive,
    /// A message says that the member is leaving.
    ClaimLeaving,
    /// A message says that the member is suspect.
    ClaimSuspect,
    /// A message says that the member is dead.
    ClaimDead,
    /// The own probe failed, and so did those of the helpers.
    ProbeFailed,
    /// Own probes failed and no helper answered.
    ProbeUnconfirmed,
    /// The entry of a dead member is no longer needed.
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
    /// The claim is about a higher incarnation than the known one.
    Newer,
    /// The claim is about the known incarnation or a higher one.
    Current,
    /// The time to refute a suspicion has passed, and this node has heard from others meanwhile.
    Overdue,
}

impl ChartSymbol for MemberGuard {
    const ALL: &'static [Self] = &[Self::Newer, Self::Current, Self::Overdue];
}

/// `MemberAction` names the actions of the chart.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
#[display(rename_all = "snake_case")]
pub enum MemberAction {
    /// Take the claim over and pass it on.
    Adopt,
    /// Tell the others what this node found out itself.
    Announce,
}

impl ChartSymbol for MemberAction {
    const ALL: &'static [Self] = &[Self::Adopt, Self::Announce];
}

/// `MemberVocabulary` is the vocabulary of the chart of members.
#[derive(Debug, Clone, Copy)]
pub struct MemberVocabulary;

impl Vocabulary for MemberVocabulary {
    type State = MemberChartState;
    type Event = MemberEvent;
    type Guard = MemberGuard;
    type Action = MemberAction;
}

/// `MemberChart` is the chart of members.
pub type MemberChart = Chart<MemberVocabulary>;

/// Returns the embedded chart of members.
///
/// # Errors
///
/// [`Error::Chart`] with all findings, when the chart is faulty.
pub fn member_chart() -> Result<&'static MemberChart> {
    static CHART: OnceLock<std::result::Result<MemberChart, Findings>> = OnceLock::new();
    CHART
        .get_or_init(|| Chart::try_new(FILE, TEXT))
        .as_ref()
        .map_err(|findings| Error::Chart {
            findings: findings.clone(),
        })
}
