//! `trefoilctl diff`.

use clap::{ArgMatches, Command};
use trefoilbay::ops::error::ExitStatus;
use trefoilbay::ops::{apply, declare, diff};

use super::CommandResult;
use crate::{cli, output};

pub fn cli() -> Command {
    Command::new("diff")
        .about("Shows what apply would change, with defaults filled in")
        .arg(cli::files())
}

pub async fn exec(args: &ArgMatches) -> CommandResult {
    let client = cli::client(args)?;
    let declared = declare::load(&cli::get_files(args))?;
    let steps = apply::plan(&client, declared).await?;
    for text in steps.iter().map(diff::unified) {
        if !text.is_empty() {
            output::line(text.trim_end());
        }
    }
    Ok(ExitStatus::Ok)
}
