//! The command line and the arguments that subcommands share.

use std::env;
use std::path::PathBuf;

use clap::{Arg, ArgMatches, Command, value_parser};
use trefoil_schema::resources::Kind;
use trefoilbay::ops::client::{Client, ClientSettings};
use trefoilbay::ops::error::OpsError;

/// Environment variable with the entries, used if `--entry` is not given.
const ENTRIES_ENV: &str = "TREFOIL_ENTRIES";

pub fn command() -> Command {
    Command::new("trefoilctl")
        .about("Manages the resources and jobs of a trefoilbay deployment")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .arg(
            Arg::new("entry")
                .long("entry")
                .value_name("IP:PORT")
                .value_delimiter(',')
                .num_args(1)
                .action(clap::ArgAction::Append)
                .global(true)
                .help("Entry instances, in order of preference [env: TREFOIL_ENTRIES]"),
        )
        .arg(
            number(
                "request-timeout-ms",
                "Timeout of each request, in milliseconds",
            )
            .default_value("30000")
            .global(true),
        )
        .subcommands(crate::commands::all())
}

/// Creates a client for the entries given by the arguments or the environment.
pub fn client(args: &ArgMatches) -> Result<Client, OpsError> {
    let mut settings = ClientSettings::default();
    let from_environment = env::var(ENTRIES_ENV).unwrap_or_default();
    if let Some(entries) = args.get_many::<String>("entry") {
        settings.entries = entries.cloned().collect();
    } else if !from_environment.is_empty() {
        settings.entries = from_environment.split(',').map(str::to_owned).collect();
    }
    settings.timeout_ms = get_number(args, "request-timeout-ms");
    Client::new(settings)
}

/// An option that takes an unsigned integer.
pub fn number(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("N")
        .value_parser(value_parser!(u64))
        .help(help)
}

/// Returns the value of an option made by [`number`], or 0 if it is absent.
pub fn get_number(args: &ArgMatches, name: &str) -> u64 {
    args.get_one(name).copied().unwrap_or_default()
}

pub fn flag(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .action(clap::ArgAction::SetTrue)
        .help(help)
}

pub fn files() -> Arg {
    Arg::new("file")
        .short('f')
        .long("file")
        .value_name("FILE|DIR")
        .value_parser(value_parser!(PathBuf))
        .action(clap::ArgAction::Append)
        .required(true)
        .help("A JSON file or a directory of `.json` files; can be repeated")
}

pub fn get_files(args: &ArgMatches) -> Vec<PathBuf> {
    args.get_many("file")
        .into_iter()
        .flatten()
        .cloned()
        .collect()
}

pub fn kind() -> Arg {
    Arg::new("kind")
        .value_name("KIND")
        .required(true)
        .value_parser(parse_kind)
        .help("team, service or backend-server, or their plurals")
}

pub fn get_kind(args: &ArgMatches) -> Kind {
    *args
        .get_one("kind")
        .expect("clap enforces required arguments")
}

/// A required positional argument.
pub fn positional(name: &'static str, value_name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .value_name(value_name)
        .required(true)
        .help(help)
}

/// Returns the value of a required argument.
pub fn get_text<'a>(args: &'a ArgMatches, name: &str) -> &'a str {
    args.get_one::<String>(name)
        .expect("clap enforces required arguments")
}

fn parse_kind(text: &str) -> Result<Kind, String> {
    match text.trim_end_matches('s') {
        "team" => Ok(Kind::Team),
        "service" => Ok(Kind::Service),
        "backend-server" | "backend_server" => Ok(Kind::BackendServer),
        _ => Err("expected team, service or backend-server".to_owned()),
    }
}
