//! The daemon: one instance of trefoilbay.

mod cli;

use std::process::ExitCode;

fn main() -> ExitCode {
    cli::run()
}
