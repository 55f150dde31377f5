//! Forms of output.

use std::fmt::Display;

use clap::ValueEnum;
use serde::Serialize;
use verbenahead_core::findings::Findings;

use super::exit::ExitStatus;

/// `OutputFormat` is the form in which a command prints.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, ValueEnum)]
pub(crate) enum OutputFormat {
    /// Text for people.
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
    /// Prints a value in this form on standard output.
    pub(crate) fn print<T: Serialize + Display>(self, value: &T) -> anyhow::Result<()> {
        match self {
            Self::Text => println!("{value}"),
            Self::Json => println!("{}", serde_json::to_string_pretty(value)?),
        }
        Ok(())
    }

    /// Prints findings and returns the status that they cause.
    pub(crate) fn print_findings(self, findings: &Findings) -> anyhow::Result<ExitStatus> {
        match self {
            Self::Text => eprintln!("{findings}"),
            Self::Json => {
                let output = FindingsOutput { findings };
                println!("{}", serde_json::to_string_pretty(&output)?);
            }
        }
        Ok(ExitStatus::Refused)
    }
}
