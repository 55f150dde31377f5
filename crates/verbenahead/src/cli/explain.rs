//! The `explain` command.

use std::{
    fs::File,
    io::{self, BufReader},
    path::PathBuf,
};

use anyhow::Context;
use clap::Args;
use verbenahead::explain::{LogLine, RequestExplanation, read_log};

use super::{exit::ExitStatus, output::OutputFormat};

/// `ExplainArgs` are the arguments of `explain`.
#[derive(Debug, Args)]
#[command(after_help = "\
Examples:
  verbenahead explain 5f0c2a9be41d7733 node-1.log node-2.log
  collect-logs | verbenahead explain 5f0c2a9be41d7733 -")]
pub(crate) struct ExplainArgs {
    /// Id of the request.
    request: String,
    /// Log files of nodes; `-` for standard input. Text before a line's JSON object names its node.
    #[arg(required = true, value_name = "FILE")]
    logs: Vec<PathBuf>,
}

/// Explains the outcome of a request and marks the line that decided it.
pub(crate) fn run(args: &ExplainArgs, output: OutputFormat) -> anyhow::Result<ExitStatus> {
    let mut lines = Vec::new();
    for path in &args.logs {
        lines.extend(read_lines(path)?);
    }
    let explanation = RequestExplanation::from_log(&args.request, &lines);
    if explanation.is_empty() {
        let request = &args.request;
        eprintln!(
            "no line of {} is about request `{request}`",
            file_names(args)
        );
        return Ok(ExitStatus::Refused);
    }
    output.print(&explanation)?;
    Ok(ExitStatus::Success)
}

fn read_lines(path: &PathBuf) -> anyhow::Result<Vec<LogLine>> {
    let name = path.display().to_string();
    let lines = if name == "-" {
        read_log("standard input", io::stdin().lock())
    } else {
        let file = File::open(path).with_context(|| format!("cannot open the log {name}"))?;
        read_log(&name, BufReader::new(file))
    };
    lines.with_context(|| format!("cannot read the log {name}"))
}

fn file_names(args: &ExplainArgs) -> String {
    let names: Vec<String> = args.logs.iter().map(|p| p.display().to_string()).collect();
    names.join(", ")
}
