//! `trefoilctl job`.

use clap::{ArgMatches, Command};
use trefoilbay::ops::error::ExitStatus;
use trefoilbay::ops::job;

use super::CommandResult;
use crate::{cli, output};

/// Its arguments.
pub fn cli() -> Command {
    Command::new("job")
        .about("Shows a job's state and, when complete, its results")
        .arg(cli::positional("key", "KEY", "Idempotency key of the job"))
        .arg(cli::number("wait-ms", "Wait this long for a final state").default_value("0"))
}

/// Carries it out.
pub async fn exec(args: &ArgMatches) -> CommandResult {
    let client = cli::client(args)?;
    let wait_ms = cli::get_number(args, "wait-ms");
    output::json(&job::get(&client, cli::get_text(args, "key"), wait_ms).await?);
    Ok(ExitStatus::Ok)
}
