//! Entry point of the `verbenahead` command-line program.

mod cli;

use std::process::ExitCode;

fn main() -> ExitCode {
    cli::main()
}
