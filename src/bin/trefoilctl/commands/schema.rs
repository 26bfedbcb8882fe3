//! `trefoilctl schema`.

use clap::{Arg, ArgMatches, Command};
use trefoil_schema::{API_SCHEMA, RESOURCES_SCHEMA, SETTINGS_SCHEMA};
use trefoilbay::ops::error::ExitStatus;

use super::CommandResult;
use crate::{cli, output};

pub fn cli() -> Command {
    Command::new("schema")
        .about("Prints the JSON Schema of settings files, resource files or API bodies")
        .arg(
            Arg::new("of")
                .value_name("OF")
                .required(true)
                .value_parser(["settings", "resources", "api"]),
        )
}

pub fn exec(args: &ArgMatches) -> CommandResult {
    let text = match cli::get_text(args, "of") {
        "settings" => SETTINGS_SCHEMA,
        "resources" => RESOURCES_SCHEMA,
        _ => API_SCHEMA,
    };
    output::line(text.trim_end());
    Ok(ExitStatus::Ok)
}
