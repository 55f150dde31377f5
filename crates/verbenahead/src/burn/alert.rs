//! Alerts on burn over two windows.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::window::Window;

/// `BurnAlert` says how soon someone has to act.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    Serialize,
    Deserialize,
)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum BurnAlert {
    /// The budget lasts.
    #[default]
    None,
    /// The budget will not last its period.
    Ticket,
    /// The budget will be gone within days.
    Page,
}

/// `AlertRule` raises an alert when both windows burn faster than `rate`.
///
/// The long window shows that the burn matters, the short one that it still goes on.
#[derive(Debug, Clone, Copy)]
pub struct AlertRule {
    /// The long window.
    pub long: Window,
    /// The short window.
    pub short: Window,
    /// Burn rate from which on the rule holds.
    pub rate: f64,
    /// The alert.
    pub alert: BurnAlert,
}

/// The rules, the most urgent first.
pub const RULES: [AlertRule; 3] = [
    AlertRule {
        long: Window::OneHour,
        short: Window::FiveMinutes,
        rate: 14.0,
        alert: BurnAlert::Page,
    },
    AlertRule {
        long: Window::SixHours,
        short: Window::OneHour,
        rate: 6.0,
        alert: BurnAlert::Page,
    },
    AlertRule {
        long: Window::ThreeDays,
        short: Window::SixHours,
        rate: 1.0,
        alert: BurnAlert::Ticket,
    },
];

/// Returns the most urgent alert, given the burn rate of each window.
pub fn alert(rate: impl Fn(Window) -> Option<f64>) -> BurnAlert {
    let holds = |rule: &&AlertRule| {
        let is_above = |window| rate(window).is_some_and(|rate| rate >= rule.rate);
        is_above(rule.long) && is_above(rule.short)
    };
    RULES
        .iter()
        .find(holds)
        .map_or(BurnAlert::None, |rule| rule.alert)
}
