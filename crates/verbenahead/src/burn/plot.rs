//! Plots of burn rates as inline SVG.

use std::fmt::{self, Write};

use verbenahead_core::time::UnixMillis;

use super::{report::HourBurn, window::Window};

/// Width of a plot, in pixels.
const WIDTH: f64 = 288.0;

/// Height of a plot, in pixels.
const HEIGHT: f64 = 48.0;

/// Minimum of the burn rate at the top of a plot.
const MIN_TOP_RATE: f64 = 2.0;

const HOUR_MS: u64 = 60 * 60 * 1_000;

/// Writes a bar chart of the burn rate of each hour of the last three days, with a line at a rate
/// of 1.
pub(super) fn write_hourly_plot(
    text: &mut String,
    hours: &[HourBurn],
    now: UnixMillis,
) -> fmt::Result {
    let top = hours
        .iter()
        .fold(MIN_TOP_RATE, |top, hour| top.max(hour.rate));
    let y = |rate: f64| HEIGHT - rate / top * HEIGHT;
    write!(
        text,
        "<svg viewBox=\"0 0 {WIDTH} {HEIGHT}\" width=\"{WIDTH}\" height=\"{HEIGHT}\" \
         role=\"img\" aria-label=\"burn of each hour of the last three days, at most {top:.1}\">"
    )?;
    let start = now.saturating_sub(Window::ThreeDays.length());
    for hour in hours {
        write_bar(text, hour, start, y(hour.rate))?;
    }
    write!(
        text,
        "<line x1=\"0\" x2=\"{WIDTH}\" y1=\"{0:.1}\" y2=\"{0:.1}\" class=\"limit\"/>",
        y(1.0)
    )?;
    text.write_str("</svg>")
}

#[expect(clippy::cast_precision_loss, reason = "hours of three days")]
fn write_bar(text: &mut String, hour: &HourBurn, start: UnixMillis, y: f64) -> fmt::Result {
    let span = Window::ThreeDays.length().as_millis() as f64;
    let width = HOUR_MS as f64 / span * WIDTH;
    let offset = hour.start.0 as f64 - start.0 as f64;
    let x = (offset / span * WIDTH).max(0.0);
    let class = if hour.rate >= 1.0 { "over" } else { "under" };
    let height = HEIGHT - y;
    write!(
        text,
        "<rect x=\"{x:.1}\" y=\"{y:.1}\" width=\"{width:.1}\" height=\"{height:.1}\" \
         class=\"{class}\"><title>{}: {:.2}</title></rect>",
        hour.start, hour.rate
    )
}
