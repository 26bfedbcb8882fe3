//! `trefoilctl completions`.

use std::io;

use clap::{Arg, ArgMatches, Command, value_parser};
use clap_complete::Shell;
use trefoilbay::ops::error::ExitStatus;

use super::CommandResult;

/// Its arguments.
pub fn cli() -> Command {
    Command::new("completions")
        .about("Prints the completion script of a shell")
        .arg(
            Arg::new("shell")
                .value_name("SHELL")
                .required(true)
                .value_parser(value_parser!(Shell)),
        )
}

/// Carries it out.
pub fn exec(args: &ArgMatches) -> CommandResult {
    let shell = *args.get_one::<Shell>("shell").expect("clap asks for it");
    let mut command = crate::cli::command();
    clap_complete::generate(shell, &mut command, "trefoilctl", &mut io::stdout());
    Ok(ExitStatus::Ok)
}
