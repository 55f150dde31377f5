//! Time windows over which burn rates are computed.

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

const MINUTE: Duration = Duration::from_secs(60);
const HOUR: Duration = Duration::from_secs(60 * 60);
const DAY: Duration = Duration::from_secs(24 * 60 * 60);

/// `Window` is a period that ends at the present time.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
pub enum Window {
    /// Five minutes.
    #[display("5m")]
    #[serde(rename = "5m")]
    FiveMinutes,
    /// One hour.
    #[display("1h")]
    #[serde(rename = "1h")]
    OneHour,
    /// Six hours.
    #[display("6h")]
    #[serde(rename = "6h")]
    SixHours,
    /// Three days.
    #[display("3d")]
    #[serde(rename = "3d")]
    ThreeDays,
    /// Four weeks, the period of the error budgets.
    #[display("28d")]
    #[serde(rename = "28d")]
    FourWeeks,
}

impl Window {
    /// All windows, the shortest first.
    pub const ALL: [Self; 5] = [
        Self::FiveMinutes,
        Self::OneHour,
        Self::SixHours,
        Self::ThreeDays,
        Self::FourWeeks,
    ];

    /// Period for which an error budget must last.
    pub const BUDGET_PERIOD: Self = Self::FourWeeks;

    /// Returns the length of the window.
    pub fn length(self) -> Duration {
        match self {
            Self::FiveMinutes => 5 * MINUTE,
            Self::OneHour => HOUR,
            Self::SixHours => 6 * HOUR,
            Self::ThreeDays => 3 * DAY,
            Self::FourWeeks => 28 * DAY,
        }
    }

    /// Returns whether nodes keep the counts of the window in memory.
    pub fn is_short(self) -> bool {
        self <= Self::OneHour
    }
}
