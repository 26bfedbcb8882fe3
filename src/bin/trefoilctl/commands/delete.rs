//! `trefoilctl delete`.

use clap::{ArgMatches, Command};
use trefoilbay::ops::error::ExitStatus;
use trefoilbay::ops::resources;

use super::CommandResult;
use crate::{cli, output};

pub fn cli() -> Command {
    Command::new("delete")
        .about("Deletes a resource, unless it changes concurrently")
        .arg(cli::kind())
        .arg(cli::positional("name", "NAME", "Name of the resource"))
}

pub async fn exec(args: &ArgMatches) -> CommandResult {
    let client = cli::client(args)?;
    let kind = cli::get_kind(args);
    let name = cli::get_text(args, "name");
    let found = resources::get(&client, kind, name).await?;
    resources::delete(&client, kind, name, found.status.revision).await?;
    output::line(format_args!("{kind}/{name} deleted"));
    Ok(ExitStatus::Ok)
}
