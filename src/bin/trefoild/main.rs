//! The daemon that runs an instance of trefoilbay.

mod cli;

use std::process::ExitCode;

fn main() -> ExitCode {
    cli::run()
}
