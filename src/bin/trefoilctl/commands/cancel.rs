//! `trefoilctl cancel`.

use clap::{ArgMatches, Command};
use trefoilbay::ops::error::ExitStatus;
use trefoilbay::ops::job;

use super::CommandResult;
use crate::{cli, output};

pub fn cli() -> Command {
    Command::new("cancel")
        .about("Cancels a job; queued tasks will not start")
        .arg(cli::positional("key", "KEY", "Idempotency key of the job"))
}

pub async fn exec(args: &ArgMatches) -> CommandResult {
    let client = cli::client(args)?;
    output::json(&job::cancel(&client, cli::get_text(args, "key")).await?);
    Ok(ExitStatus::Ok)
}
