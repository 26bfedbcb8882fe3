//! The subcommands.

mod apply;
mod cancel;
mod completions;
mod delete;
mod describe;
mod diff;
mod drain;
mod get;
mod job;
mod schema;
mod status;
mod submit;

use clap::{ArgMatches, Command};
use trefoilbay::ops::error::{ExitStatus, OpsError};

pub type CommandResult = Result<ExitStatus, OpsError>;

pub fn all() -> Vec<Command> {
    vec![
        apply::cli(),
        diff::cli(),
        get::cli(),
        describe::cli(),
        delete::cli(),
        drain::cli(),
        submit::cli(),
        job::cli(),
        cancel::cli(),
        status::cli(),
        completions::cli(),
        schema::cli(),
    ]
}

pub async fn exec(args: &ArgMatches) -> CommandResult {
    let Some((name, args)) = args.subcommand() else {
        return Ok(ExitStatus::Usage);
    };
    match name {
        "apply" => apply::exec(args).await,
        "diff" => diff::exec(args).await,
        "get" => get::exec(args).await,
        "describe" => describe::exec(args).await,
        "delete" => delete::exec(args).await,
        "drain" => drain::exec(args).await,
        "submit" => submit::exec(args).await,
        "job" => job::exec(args).await,
        "cancel" => cancel::exec(args).await,
        "status" => status::exec(args).await,
        "completions" => completions::exec(args),
        "schema" => schema::exec(args),
        _ => Ok(ExitStatus::Usage),
    }
}
