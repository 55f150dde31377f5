//! Rendering of a burn report as plain text.

use std::fmt::Write;

use super::{
    report::{BurnEntry, BurnReport, ObjectiveBurn, StoredState},
    window::Window,
};

/// Renders a report as a text table.
pub(super) fn render(report: &BurnReport) -> String {
    let mut text = String::new();
    // Writing to a string cannot fail.
    let _ = write_report(&mut text, report);
    text
}

fn write_report(text: &mut String, report: &BurnReport) -> std::fmt::Result {
    writeln!(
        text,
        "Burn of {} at {} by {}",
        report.deployment, report.made_at, report.made_by
    )?;
    writeln!(text, "{}", describe_sources(report))?;
    writeln!(text)?;
    write!(
        text,
        "{:<16} {:<14} {:<13} {:>8}",
        "workspace", "service", "objective", "target"
    )?;
    for window in Window::ALL {
        write!(text, " {:>7}", window.to_string())?;
    }
    writeln!(text, " {:>7}  alert", "budget")?;
    let active = report.entries.iter().filter(|entry| !entry.is_idle());
    for entry in active {
        write_entry(text, entry)?;
    }
    let idle = report
        .entries
        .iter()
        .filter(|entry| entry.is_idle())
        .count();
    write!(
        text,
        "\n{idle} pairs of workspace and service had no requests in 28 days."
    )
}

fn write_entry(text: &mut String, entry: &BurnEntry) -> std::fmt::Result {
    for objective in &entry.objectives {
        let workspace = entry.workspace.as_str();
        let service = entry.service.as_str();
        let kind = objective.objective.to_string();
        let target = format!("{}%", percent(objective.target));
        write!(text, "{workspace:<16} {service:<14} {kind:<13} {target:>8}")?;
        write_windows(text, objective)?;
    }
    Ok(())
}

fn write_windows(text: &mut String, objective: &ObjectiveBurn) -> std::fmt::Result {
    for window in &objective.windows {
        let rate = match (window.counts, window.rate) {
            (None, _) => "?".to_owned(),
            (Some(_), None) => "-".to_owned(),
            (Some(_), Some(rate)) => format!("{rate:.2}"),
        };
        write!(text, " {rate:>7}")?;
    }
    let budget = objective
        .budget_left
        .map_or("-".to_owned(), |left| format!("{:.0}%", left * 100.0));
    writeln!(text, " {budget:>7}  {}", objective.alert)
}

/// Formats a ratio as a percentage without trailing zeros.
pub(super) fn percent(ratio: f64) -> String {
    let text = format!("{:.4}", ratio * 100.0);
    text.trim_end_matches('0').trim_end_matches('.').to_owned()
}

/// Describes the sources of a report: which nodes answered, and when the table was read.
pub(super) fn describe_sources(report: &BurnReport) -> String {
    let asked = report.answered.len() + report.missing.len();
    let answered = format!("answers from {} of {asked} nodes", report.answered.len());
    let missing = match report.missing.as_slice() {
        [] => "none missing".to_owned(),
        missing => {
            let names: Vec<_> = missing.iter().map(AsRef::as_ref).collect();
            format!("NO ANSWER FROM {}", names.join(", "))
        }
    };
    format!("{answered}, {missing}; {}", describe_stored(&report.stored))
}

fn describe_stored(state: &StoredState) -> String {
    let seconds = |age_ms: &u64| age_ms / 1_000;
    match state {
        StoredState::Read { age_ms } => format!("table read {} s ago", seconds(age_ms)),
        StoredState::Stale { age_ms, reason } => {
            format!(
                "TABLE NOT REACHABLE, read {} s ago: {reason}",
                seconds(age_ms)
            )
        }
        StoredState::Missing { reason } => {
            format!("TABLE NOT REACHABLE, windows above 1h are not known: {reason}")
        }
    }
}
