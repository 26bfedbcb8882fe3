//! The daemon's command line.

use std::error::Error;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use trefoil_core::drain::DrainOutcome;
use trefoilbay::server;
use trefoilbay::util::log;
use trefoilbay::util::settings::{self, Settings};
use trefoilbay::util::telemetry::Telemetry;

const EXIT_FAILURE: u8 = 1;
const EXIT_AT_ONCE: u8 = 3;
const EXIT_BUDGET_SPENT: u8 = 4;

fn command() -> Command {
    Command::new("trefoild")
        .version(clap::crate_version!())
        .about("Runs an instance of trefoilbay")
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("JSON file with settings; defaults apply without it"),
        )
        .arg(
            Arg::new("set")
                .long("set")
                .value_name("PATH=VALUE")
                .action(ArgAction::Append)
                .help("Overrides a setting by its dotted path; can be repeated"),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .action(ArgAction::SetTrue)
                .help("Validates the settings and exits with 0 or 1"),
        )
        .arg(
            Arg::new("print-defaults")
                .long("print-defaults")
                .action(ArgAction::SetTrue)
                .help("Prints the default settings and exits"),
        )
}

/// Runs the daemon, or the action that the command line asks for.
pub fn run() -> ExitCode {
    let matches = command().get_matches();
    match dispatch(&matches) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("trefoild: {error}");
            ExitCode::from(EXIT_FAILURE)
        }
    }
}

fn dispatch(matches: &ArgMatches) -> Result<ExitCode, Box<dyn Error>> {
    if matches.get_flag("print-defaults") {
        println!("{}", serde_json::to_string_pretty(&settings::defaults())?);
        return Ok(ExitCode::SUCCESS);
    }
    let settings = load(matches)?;
    if matches.get_flag("check") {
        println!("settings are valid");
        return Ok(ExitCode::SUCCESS);
    }
    serve(settings)
}

fn load(matches: &ArgMatches) -> Result<Settings, settings::SettingsError> {
    let file = matches.get_one::<PathBuf>("settings");
    let overrides: Vec<String> = matches
        .get_many("set")
        .unwrap_or_default()
        .cloned()
        .collect();
    settings::load(file.map(PathBuf::as_path), &overrides)
}

fn serve(settings: Settings) -> Result<ExitCode, Box<dyn Error>> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    // Dropped last, which flushes the log records of the shutdown.
    let (log, _flush_guard) = log::root(&settings);
    let ending = runtime.block_on(start(settings, log))?;
    runtime.shutdown_background();
    Ok(match ending {
        DrainOutcome::Drained => ExitCode::SUCCESS,
        DrainOutcome::AtOnce => ExitCode::from(EXIT_AT_ONCE),
        DrainOutcome::BudgetSpent => ExitCode::from(EXIT_BUDGET_SPENT),
    })
}

async fn start(settings: Settings, log: slog::Logger) -> Result<DrainOutcome, Box<dyn Error>> {
    let telemetry = Telemetry::start(&settings)?;
    Ok(server::run(settings, log, telemetry).await?)
}
