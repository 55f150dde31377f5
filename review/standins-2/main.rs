//! Stand-ins and the course of the scripted cases: `review-2 CASE DIR`.
//!
//! Exit codes: 1 if the rule was broken, 0 if it held, 2 if the case could not run. With `TROUBLE=0` the
//! disruption is left out.

mod budget;
mod config;
mod http;
mod json;
mod node;
mod one;
mod record;
mod replica;
mod store;

use std::{env, io, path::PathBuf, process::ExitCode};

use record::Record;

/// `Run` is one run of a case.
pub struct Run {
    pub record: Record,
    /// Folder for the files of the nodes.
    pub work: PathBuf,
    /// Whether the disruption takes place.
    pub has_trouble: bool,
}

/// `Verdict` is the result of a case.
pub enum Verdict {
    Held,
    Broken(String),
}

fn run() -> io::Result<Verdict> {
    let mut args = env::args().skip(1);
    let (Some(case), Some(dir)) = (args.next(), args.next()) else {
        return Err(io::Error::other("usage: review-2 CASE DIR"));
    };
    let run = Run {
        record: Record::create(&PathBuf::from(dir).join("record.txt"))?,
        work: PathBuf::from(env::var("WORK").map_err(io::Error::other)?),
        has_trouble: env::var("TROUBLE").map_or(true, |value| value != "0"),
    };
    let verdict = match case.as_str() {
        "one" => one::run(&run),
        "budget" => budget::run(&run),
        _ => Err(io::Error::other("no such case")),
    };
    run.record.line(&match &verdict {
        Ok(Verdict::Held) => "verdict: the rule held".to_owned(),
        Ok(Verdict::Broken(reason)) => format!("verdict: the rule was broken: {reason}"),
        Err(error) => format!("verdict: the case could not run: {error}"),
    });
    verdict
}

fn main() -> ExitCode {
    match run() {
        Ok(Verdict::Held) => {
            println!("held");
            ExitCode::SUCCESS
        }
        Ok(Verdict::Broken(reason)) => {
            println!("broken: {reason}");
            ExitCode::from(1)
        }
        Err(error) => {
            println!("could not run: {error}");
            ExitCode::from(2)
        }
    }
}
