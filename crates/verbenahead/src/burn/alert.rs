//! Alerts on the burn rate over two windows.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::window::Window;

/// `BurnAlert` is the urgency of an alert.
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
    /// The error budget lasts its period.
    #[default]
    None,
    /// The error budget will not last its period.
    Ticket,
    /// The error budget will be used up within days.
    Page,
}

/// `AlertRule` raises an alert when the burn rate is at least `rate` in both windows.
///
/// The long window shows that the burn is significant, the short window that it is still going on.
#[derive(Debug, Clone, Copy)]
pub struct AlertRule {
    /// The long window.
    pub long: Window,
    /// The short window.
    pub short: Window,
    /// Lowest burn rate at which the rule fires.
    pub rate: f64,
    /// The alert that the rule raises.
    pub alert: BurnAlert,
}

/// Alert rules, the most urgent first.
pub const ALERT_RULES: [AlertRule; 3] = [
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
pub fn most_urgent_alert(rate: impl Fn(Window) -> Option<f64>) -> BurnAlert {
    let fires = |rule: &&AlertRule| {
        let is_above = |window| rate(window).is_some_and(|rate| rate >= rule.rate);
        is_above(rule.long) && is_above(rule.short)
    };
    ALERT_RULES
        .iter()
        .find(fires)
        .map_or(BurnAlert::None, |rule| rule.alert)
}
