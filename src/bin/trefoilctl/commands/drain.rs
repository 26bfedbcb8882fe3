//! `trefoilctl drain`.

use clap::{ArgMatches, Command};
use trefoilbay::ops::drain;
use trefoilbay::ops::error::ExitStatus;

use super::CommandResult;
use crate::{cli, output};

pub fn cli() -> Command {
    Command::new("drain")
        .about("Starts draining an instance, which then stops")
        .arg(cli::positional(
            "instance",
            "IP:PORT",
            "HTTP address of the instance",
        ))
        .arg(cli::flag("wait", "Wait until the instance has stopped"))
        .arg(cli::number("timeout-ms", "Timeout of --wait, in milliseconds").default_value("60000"))
}

pub async fn exec(args: &ArgMatches) -> CommandResult {
    let client = cli::client(args)?;
    let instance = cli::get_text(args, "instance");
    drain::drain(&client, instance).await?;
    output::line(format_args!("{instance} is leaving"));
    if args.get_flag("wait") {
        drain::wait_stopped(&client, instance, cli::get_number(args, "timeout-ms")).await?;
        output::line(format_args!("{instance} has gone"));
    }
    Ok(ExitStatus::Ok)
}
