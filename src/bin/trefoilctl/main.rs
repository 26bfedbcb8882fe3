//! The command-line client for operators and callers of trefoilbay.

mod cli;
mod commands;
mod output;
mod table;

use std::process::ExitCode;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let args = cli::command().get_matches();
    let status = match commands::exec(&args).await {
        Ok(status) => status,
        Err(error) => {
            output::error(&error);
            error.exit_status()
        }
    };
    ExitCode::from(status as u8)
}
