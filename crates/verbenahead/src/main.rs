//! The verbenahead program.

mod cli;

use std::process::ExitCode;

fn main() -> ExitCode {
    cli::main()
}
