//! The `explain` command.

use std::{
    fs::File,
    io::{self, BufReader},
    path::PathBuf,
};

use anyhow::Context;
use clap::Args;
use verbenahead::explain::{LogLine, RequestAccount, read_log};

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
    /// Logs of nodes, `-` for standard input. Text before a line's JSON object names its node.
    #[arg(required = true, value_name = "FILE")]
    logs: Vec<PathBuf>,
}

/// Shows what became of a request and which line decided it.
pub(crate) fn run(args: &ExplainArgs, output: OutputFormat) -> anyhow::Result<ExitStatus> {
    let mut lines = Vec::new();
    for path in &args.logs {
        lines.extend(read(path)?);
    }
    let account = RequestAccount::of(&args.request, &lines);
    if account.is_empty() {
        let request = &args.request;
        eprintln!("no line of {} is about request `{request}`", files(args));
        return Ok(ExitStatus::Refused);
    }
    output.print(&account)?;
    Ok(ExitStatus::Done)
}

fn read(path: &PathBuf) -> anyhow::Result<Vec<LogLine>> {
    let name = path.display().to_string();
    let read = if name == "-" {
        read_log("standard input", io::stdin().lock())
    } else {
        let file = File::open(path).with_context(|| format!("cannot open the log {name}"))?;
        read_log(&name, BufReader::new(file))
    };
    read.with_context(|| format!("cannot read the log {name}"))
}

fn files(args: &ExplainArgs) -> String {
    let names: Vec<String> = args.logs.iter().map(|p| p.display().to_string()).collect();
    names.join(", ")
}
