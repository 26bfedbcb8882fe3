//! Checks request histories against the task starts of backend servers.

use std::{error::Error, path::PathBuf, process::ExitCode};

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use trefoil_fakes::check::{
    CheckReport, check,
    history::{read_history, read_starts},
};

/// Maximum number of violations printed; all are counted.
const PRINTED_MAX: usize = 200;

fn files_arg(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("FILES")
        .help(help)
        .num_args(1..)
        .required(true)
        .action(ArgAction::Append)
        .value_parser(value_parser!(PathBuf))
}

fn command() -> Command {
    Command::new("trefoil-check")
        .about("checks request histories against the task starts of backend servers")
        .arg(files_arg("starts", "responses of GET /fake/starts"))
        .arg(files_arg(
            "histories",
            "files written by trefoil-load --history",
        ))
}

fn read_all<T>(
    matches: &ArgMatches,
    name: &str,
    read: fn(&std::path::Path) -> std::io::Result<Vec<T>>,
) -> Result<Vec<T>, String> {
    let mut all = Vec::new();
    for path in matches.get_many::<PathBuf>(name).unwrap_or_default() {
        let part =
            read(path).map_err(|error| format!("cannot read {}: {error}", path.display()))?;
        all.extend(part);
    }
    Ok(all)
}

fn print_report(report: &CheckReport) {
    println!("requests    {}", report.requests);
    println!("keys        {}", report.keys);
    println!("starts      {}", report.starts);
    println!("complete    {}", report.complete);
    println!("not_run     {}", report.not_run);
    println!("violations  {}", report.violations.len());
    for violation in report.violations.iter().take(PRINTED_MAX) {
        println!("{violation}");
    }
}

fn main() -> Result<ExitCode, Box<dyn Error>> {
    let matches = command().get_matches();
    let starts = read_all(&matches, "starts", read_starts)?;
    let requests = read_all(&matches, "histories", read_history)?;
    let report = check(&requests, &starts);
    print_report(&report);
    match report.violations.is_empty() {
        true => Ok(ExitCode::SUCCESS),
        false => Ok(ExitCode::FAILURE),
    }
}
