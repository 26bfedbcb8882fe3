//! `trefoilctl completions`.

use std::io;

use clap::{Arg, ArgMatches, Command, value_parser};
use clap_complete::Shell;
use trefoilbay::ops::error::ExitStatus;

use super::CommandResult;

pub fn cli() -> Command {
    Command::new("completions")
        .about("Prints the completion script for a shell")
        .arg(
            Arg::new("shell")
                .value_name("SHELL")
                .required(true)
                .value_parser(value_parser!(Shell)),
        )
}

pub fn exec(args: &ArgMatches) -> CommandResult {
    let shell = *args
        .get_one::<Shell>("shell")
        .expect("clap enforces required arguments");
    let mut command = crate::cli::command();
    clap_complete::generate(shell, &mut command, "trefoilctl", &mut io::stdout());
    Ok(ExitStatus::Ok)
}
