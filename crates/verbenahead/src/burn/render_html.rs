//! Rendering of a burn report as HTML.

use std::fmt::{self, Write};

use crate::markup::Escaped;

use super::{
    plot,
    render_text::{describe_sources, percent},
    report::{BurnEntry, BurnReport, ObjectiveBurn, WindowBurn},
    window::Window,
};

/// Style sheet of the table, for pages that embed it.
pub const STYLE: &str = include_str!("burn.css");

const PAGE_STYLE: &str = "\
body { background: #10181f; color: #e8edf2; font: 1.25rem/1.4 sans-serif; margin: 1.5rem; }
h1 { font-size: 2rem; margin: 0; }
p { color: #9fb0bf; }";

/// Renders a report as a self-contained HTML page.
pub fn render_page(report: &BurnReport) -> String {
    let mut text = String::new();
    // Writing to a string cannot fail.
    let _ = write_page(&mut text, report);
    text
}

fn write_page(text: &mut String, report: &BurnReport) -> fmt::Result {
    let deployment = Escaped(&report.deployment);
    writeln!(
        text,
        "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">"
    )?;
    writeln!(text, "<title>Burn of {deployment}</title>")?;
    writeln!(text, "<style>{PAGE_STYLE}\n{STYLE}</style></head><body>")?;
    writeln!(text, "<h1>Burn of {deployment}</h1>")?;
    writeln!(
        text,
        "<p>{} by {}. {}.</p>",
        report.made_at,
        Escaped(&report.made_by),
        Escaped(describe_sources(report))
    )?;
    write_table(text, report)?;
    writeln!(
        text,
        "<p>A burn rate of 1 uses up the error budget in exactly 28 days. The plots show each \
         hour of the last three days; the dashed line is a rate of 1.</p></body></html>"
    )
}

/// Writes the table of a report, without the pairs of workspace and service that had no requests.
///
/// # Errors
///
/// Returns an error when writing to `text` fails.
pub fn write_table(text: &mut String, report: &BurnReport) -> fmt::Result {
    text.write_str("<table class=\"burn\"><thead><tr><th>workspace<th>service<th>objective")?;
    for window in Window::ALL {
        write!(text, "<th>{window}")?;
    }
    writeln!(
        text,
        "<th>budget left<th>last three days</tr></thead><tbody>"
    )?;
    let active = report.entries.iter().filter(|entry| !entry.is_idle());
    for entry in active {
        for objective in &entry.objectives {
            write_row(text, entry, objective, report)?;
        }
    }
    writeln!(text, "</tbody></table>")
}

fn write_row(
    text: &mut String,
    entry: &BurnEntry,
    objective: &ObjectiveBurn,
    report: &BurnReport,
) -> fmt::Result {
    write!(
        text,
        "<tr class=\"{}\"><td>{}<td>{}<td>{}",
        objective.alert,
        Escaped(&entry.workspace),
        Escaped(&entry.service),
        objective_label(objective)
    )?;
    for window in &objective.windows {
        write_window(text, window)?;
    }
    let left = objective.budget_left.map(|left| left * 100.0);
    let left = left.map_or("–".to_owned(), |left| format!("{left:.0}%"));
    write!(text, "<td class=\"number\">{left}<td>")?;
    plot::write_hourly_plot(text, &objective.hours, report.made_at)?;
    writeln!(text, "</tr>")
}

fn objective_label(objective: &ObjectiveBurn) -> String {
    let target = percent(objective.target);
    match objective.limit_ms {
        Some(limit) => format!("{} {target}% in {limit} ms", objective.objective),
        None => format!("{} {target}%", objective.objective),
    }
}

fn write_window(text: &mut String, window: &WindowBurn) -> fmt::Result {
    let Some(counts) = window.counts else {
        return write!(text, "<td class=\"number\" title=\"not known\">?");
    };
    let Some(rate) = window.rate else {
        return write!(text, "<td class=\"number\" title=\"no requests\">–");
    };
    let class = if rate >= 1.0 { "number fast" } else { "number" };
    write!(
        text,
        "<td class=\"{class}\" title=\"{} of {} bad\">{rate:.2}",
        counts.bad(),
        counts.total
    )
}
