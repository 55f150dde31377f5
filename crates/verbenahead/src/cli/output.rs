//! Output formats.

use std::{
    fmt::Display,
    io::{self, Write as _},
};

use clap::ValueEnum;
use serde::Serialize;
use verbenahead_core::findings::Findings;

use super::exit::ExitStatus;

/// `OutputFormat` is the format in which a command prints its result.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, ValueEnum)]
pub(crate) enum OutputFormat {
    /// Human-readable text.
    #[default]
    Text,
    /// One JSON document.
    Json,
}

#[derive(Serialize)]
struct FindingsOutput<'a> {
    findings: &'a Findings,
}

impl OutputFormat {
    /// Prints a value in this format to standard output.
    pub(crate) fn print<T: Serialize + Display>(self, value: &T) -> anyhow::Result<()> {
        match self {
            Self::Text => write_out(&format!("{value}\n")),
            Self::Json => write_json(value),
        }
    }

    /// Prints findings, as text to standard error or as JSON to standard output, and returns the
    /// exit status for findings.
    pub(crate) fn print_findings(self, findings: &Findings) -> anyhow::Result<ExitStatus> {
        match self {
            Self::Text => eprintln!("{findings}"),
            Self::Json => {
                write_json(&FindingsOutput { findings })?;
            }
        }
        Ok(ExitStatus::Refused)
    }
}

/// Writes a value as one JSON document to standard output.
pub(crate) fn write_json<T: Serialize>(value: &T) -> anyhow::Result<()> {
    let mut text = serde_json::to_string_pretty(value)?;
    text.push('\n');
    write_out(&text)
}

/// Writes text to standard output. A pipe closed by its reader, such as `head`, is not an error.
pub(crate) fn write_out(text: &str) -> anyhow::Result<()> {
    let mut out = io::stdout().lock();
    match out.write_all(text.as_bytes()).and_then(|()| out.flush()) {
        Err(e) if e.kind() != io::ErrorKind::BrokenPipe => Err(e.into()),
        _ => Ok(()),
    }
}
