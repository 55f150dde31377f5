//! Rendering of the status page as HTML.

use std::{
    collections::BTreeSet,
    fmt::{self, Write},
    time::Duration,
};

use verbenahead_core::time::UnixMillis;

use crate::{
    burn::{self, BurnReport},
    markup::Escaped,
    operators::{
        backend::ManifestHead,
        status::{Agreement, NodeView, ReclaimView, StatusReport},
    },
};

const STYLE: &str = include_str!("status.css");

/// Renders the whole page.
pub(super) fn render_page(status: &StatusReport, burn: Option<&BurnReport>) -> String {
    let title = Escaped(status.deployment.as_deref().unwrap_or("verbenahead"));
    format!(
        "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">\n\
         <meta name=\"viewport\" content=\"width=device-width\">\n\
         <title>{title}</title>\n<style>{STYLE}{}</style></head><body>\n\
         <p id=\"silence\" class=\"banner bad\" hidden></p>\n\
         <noscript><p class=\"banner bad\">Without scripts this page is not live.</p></noscript>\n\
         <main id=\"room\">{}</main>\n<script src=\"/room.js\"></script>\n</body></html>\n",
        burn::STYLE,
        render_status(status, burn)
    )
}

/// Renders the content of the page, which each event replaces.
pub fn render_status(status: &StatusReport, burn: Option<&BurnReport>) -> String {
    let mut text = String::new();
    // Writing to a string cannot fail.
    let _ = write_status(&mut text, status, burn);
    text
}

fn write_status(
    text: &mut String,
    status: &StatusReport,
    burn: Option<&BurnReport>,
) -> fmt::Result {
    let agreement = status.agreement();
    write_title(text, status, &agreement)?;
    write_agreement(text, &agreement, status.nodes.len())?;
    if !status.table.is_reachable {
        writeln!(
            text,
            "<p class=\"banner bad\">{}</p>",
            Escaped(&status.table)
        )?;
    }
    write_reclaims(text, &status.reclaims)?;
    write_nodes(text, status, &agreement)?;
    write_upstreams(text, status)?;
    match burn {
        Some(report) => write_burn(text, report),
        None => writeln!(text, "<h2>Burn</h2><p class=\"quiet\">not known yet</p>"),
    }
}

fn write_title(text: &mut String, status: &StatusReport, agreement: &Agreement) -> fmt::Result {
    let name = status.deployment.as_deref().unwrap_or("no deployment yet");
    writeln!(text, "<h1>{}</h1>", Escaped(name))?;
    writeln!(
        text,
        "<div class=\"generation\">{}</div>",
        agreement.generation
    )?;
    match &status.head {
        Some(head) => write_head(text, head, status.taken_at)?,
        None => writeln!(text, "<p>{}</p>", status.unknown_head_text())?,
    }
    writeln!(
        text,
        "<p class=\"quiet\">seen by {} in {} at {}</p>",
        Escaped(&status.node),
        Escaped(&status.zone),
        status.taken_at
    )
}

fn write_head(text: &mut String, head: &ManifestHead, now: UnixMillis) -> fmt::Result {
    writeln!(
        text,
        "<p>generation {} published by <b>{}</b> {} ago, at {}</p>",
        head.generation,
        Escaped(&head.publisher),
        format_duration(now.since(head.published_at)),
        head.published_at
    )
}

fn write_agreement(text: &mut String, agreement: &Agreement, count: usize) -> fmt::Result {
    let newest = agreement.generation;
    if agreement.is_complete() {
        return writeln!(
            text,
            "<p class=\"banner good\">generation {newest} is in force on all nodes ({count})</p>"
        );
    }
    text.write_str("<p class=\"banner bad\">views differ:")?;
    for node in &agreement.behind {
        write!(
            text,
            " {} has generation {}, {};",
            Escaped(&node.node),
            node.generation,
            last_heard_text(node)
        )?;
    }
    for node in &agreement.unresponsive {
        write!(
            text,
            " {} had generation {} and does not answer, {};",
            Escaped(&node.node),
            node.generation,
            last_heard_text(node)
        )?;
    }
    writeln!(text, " newest is {newest}</p>")
}

fn write_nodes(text: &mut String, status: &StatusReport, agreement: &Agreement) -> fmt::Result {
    text.write_str("<h2>Nodes</h2><ul class=\"nodes\">")?;
    for node in &status.nodes {
        let is_behind = agreement
            .behind
            .iter()
            .any(|behind| behind.node == node.node);
        let behind = if is_behind { " behind" } else { "" };
        writeln!(
            text,
            "<li class=\"{state}{behind}\"><strong>{}</strong>{} in {}<br>\
             <span class=\"quiet\">{state}, {}, {}</span></li>",
            node.generation,
            Escaped(&node.node),
            Escaped(&node.zone),
            last_heard_text(node),
            Escaped(&node.version),
            state = node.state,
        )?;
    }
    text.write_str("</ul>")
}

fn write_upstreams(text: &mut String, status: &StatusReport) -> fmt::Result {
    let zones: BTreeSet<_> = status.upstreams.iter().map(|entry| &entry.zone).collect();
    let rows: BTreeSet<_> = status
        .upstreams
        .iter()
        .map(|entry| (&entry.service, &entry.state))
        .collect();
    text.write_str("<h2>Upstreams</h2><table class=\"upstreams\"><tr><th>service<th>state")?;
    for zone in &zones {
        write!(text, "<th>{}", Escaped(zone))?;
    }
    writeln!(text, "</tr>")?;
    for (service, state) in rows {
        let state = Escaped(state);
        write!(
            text,
            "<tr class=\"{state}\"><td>{}<td>{state}",
            Escaped(service)
        )?;
        for zone in &zones {
            let same = status.upstreams.iter().filter(|entry| {
                entry.service == *service && entry.zone == **zone && entry.state == *state.0
            });
            let count: usize = same.map(|entry| entry.count).sum();
            write!(text, "<td class=\"number\">{count}")?;
        }
        writeln!(text, "</tr>")?;
    }
    writeln!(text, "</table>")
}

fn write_reclaims(text: &mut String, reclaims: &[ReclaimView]) -> fmt::Result {
    if reclaims.is_empty() {
        return writeln!(text, "<p class=\"quiet\">no reclaim in progress</p>");
    }
    write!(
        text,
        "<p class=\"banner bad\">reclaims in progress, {}:",
        reclaims.len()
    )?;
    for reclaim in reclaims {
        let service = reclaim.service.as_ref().map_or("entry", AsRef::as_ref);
        let zone = reclaim.zone.as_ref().map_or("unknown zone", AsRef::as_ref);
        let left = format_duration(Duration::from_millis(reclaim.remaining_ms));
        write!(
            text,
            " {} ({} in {}) {left} left;",
            Escaped(&reclaim.vm),
            Escaped(service),
            Escaped(zone)
        )?;
    }
    writeln!(text, "</p>")
}

fn write_burn(text: &mut String, report: &BurnReport) -> fmt::Result {
    text.write_str("<h2>Burn</h2>")?;
    if !report.missing.is_empty() {
        let names: Vec<_> = report.missing.iter().map(AsRef::as_ref).collect();
        let names = names.join(", ");
        writeln!(
            text,
            "<p class=\"banner bad\">no answer from {}</p>",
            Escaped(names)
        )?;
    }
    burn::write_table(text, report)?;
    writeln!(text, "<p class=\"quiet\">as of {}</p>", report.made_at)
}

fn last_heard_text(node: &NodeView) -> String {
    match node.last_heard() {
        Some(age) => format!("heard {} ago", format_duration(age)),
        None => "not heard yet".to_owned(),
    }
}

/// Formats a duration in whole seconds, minutes, hours or days, in the unit that suits its length.
fn format_duration(duration: Duration) -> String {
    let seconds = duration.as_secs();
    match seconds {
        0..120 => format!("{seconds} s"),
        120..7_200 => format!("{} min", seconds / 60),
        7_200..172_800 => format!("{} h", seconds / 3_600),
        _ => format!("{} days", seconds / 86_400),
    }
}
