//! Replays load patterns against the dispatch state machines and prints what callers get, beside
//! an upper bound for any scheduler.

use std::error::Error;
use std::path::PathBuf;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use trefoil_core::dispatch::owner::Settings;
use trefoil_replay::pattern::{self, Pattern};
use trefoil_replay::plot::{self, Comparison};
use trefoil_replay::stats::{ReplayStats, Table};
use trefoil_replay::{arrivals, bound, simulation};

/// Admits every job and refuses queued ones only once they have expired.
fn admit_all() -> Settings {
    Settings {
        admit_all: true,
        ..Settings::default()
    }
}

fn main() -> Result<(), Box<dyn Error>> {
    let matches = command().get_matches();
    match matches.get_one::<PathBuf>("compare") {
        Some(file) => compare(&matches, file),
        None => {
            show(&matches);
            Ok(())
        }
    }
}

fn command() -> Command {
    let names: Vec<&str> = pattern::all().iter().map(|pattern| pattern.name).collect();
    Command::new("trefoil-replay")
        .about("replays load patterns against the dispatch state machines, in virtual time")
        .arg(
            Arg::new("pattern")
                .help("patterns to replay [default: all]")
                .num_args(0..)
                .value_parser(names),
        )
        .arg(
            Arg::new("seeds")
                .long("seeds")
                .value_name("N")
                .help("replay each pattern with the seeds 1 to N")
                .default_value("1")
                .value_parser(value_parser!(u64).range(1..)),
        )
        .arg(
            Arg::new("brief")
                .long("brief")
                .help("print one line per replay")
                .action(ArgAction::SetTrue),
        )
        .arg(
            Arg::new("admit-all")
                .long("admit-all")
                .help("admit every job and refuse queued ones only once they have expired")
                .action(ArgAction::SetTrue),
        )
        .arg(
            Arg::new("compare")
                .long("compare")
                .value_name("FILE.svg")
                .help("replay with and without admission control, print both, and write a plot")
                .value_parser(value_parser!(PathBuf)),
        )
}

/// The selected patterns and seeds.
fn replays(matches: &ArgMatches) -> Vec<(Pattern, u64)> {
    let seeds = matches.get_one::<u64>("seeds").copied().unwrap_or(1);
    let names: Vec<&String> = matches
        .get_many("pattern")
        .map(Iterator::collect)
        .unwrap_or_default();
    let mut patterns = pattern::all();
    patterns.retain(|pattern| names.is_empty() || names.iter().any(|name| *name == pattern.name));
    let seeded = |pattern: Pattern| (1..=seeds).map(move |seed| (pattern.clone(), seed));
    patterns.into_iter().flat_map(seeded).collect()
}

fn show(matches: &ArgMatches) {
    let settings = match matches.get_flag("admit-all") {
        true => admit_all(),
        false => Settings::default(),
    };
    for (pattern, seed) in replays(matches) {
        let (stats, bound) = replay(&pattern, seed, settings);
        let table = Table {
            pattern: &pattern,
            stats: &stats,
            bound,
        };
        match matches.get_flag("brief") {
            true => println!("{}", table.line()),
            false => print!("{table}"),
        }
    }
}

fn compare(matches: &ArgMatches, file: &std::path::Path) -> Result<(), Box<dyn Error>> {
    let mut rows: Vec<Comparison> = Vec::new();
    println!("| pattern, seed | every job admitted | judged |");
    println!("|---|---|---|");
    for (pattern, seed) in replays(matches) {
        let share = |settings: Settings| {
            let (stats, bound) = replay(&pattern, seed, settings);
            stats.weighted_goodput(&pattern) / bound
        };
        let row = Comparison {
            pattern: format!("{} {seed}", pattern.name),
            admission_control: share(Settings::default()),
            admit_all: share(admit_all()),
        };
        println!(
            "| {} | {:.2} | {:.2} |",
            row.pattern, row.admit_all, row.admission_control
        );
        rows.push(row);
    }
    plot::write_svg(&rows, file)
}

/// Results of a replay, and the upper bound on their weighted goodput.
fn replay(pattern: &Pattern, seed: u64, settings: Settings) -> (ReplayStats, f64) {
    let arrivals = arrivals::generate(pattern, seed);
    let outcomes = simulation::run(pattern, &arrivals, settings).first_attempts;
    let stats = ReplayStats::new(pattern, &arrivals, &outcomes);
    let bound = bound::max_weighted_goodput(pattern, &arrivals, |at_ms| {
        simulation::capacity_at(pattern, at_ms)
    });
    (stats, bound)
}
