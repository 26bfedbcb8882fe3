//! `trefoilctl job`.

use clap::{ArgMatches, Command};
use trefoilbay::ops::error::ExitStatus;
use trefoilbay::ops::job;

use super::CommandResult;
use crate::{cli, output};

pub fn cli() -> Command {
    Command::new("job")
        .about("Shows a job's state and, once complete, its results")
        .arg(cli::positional("key", "KEY", "Idempotency key of the job"))
        .arg(
            cli::number(
                "wait-ms",
                "How long to wait for a final state, in milliseconds",
            )
            .default_value("0"),
        )
}

pub async fn exec(args: &ArgMatches) -> CommandResult {
    let client = cli::client(args)?;
    let wait_ms = cli::get_number(args, "wait-ms");
    output::json(&job::get(&client, cli::get_text(args, "key"), wait_ms).await?);
    Ok(ExitStatus::Ok)
}
