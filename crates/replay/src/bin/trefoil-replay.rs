//! Replays load patterns over the decisions of dispatch and prints what callers
//! see, beside what no scheduler can exceed.

use std::error::Error;
use std::path::PathBuf;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use trefoil_core::dispatch::owner::Settings;
use trefoil_replay::figures::{Figures, Table};
use trefoil_replay::pattern::{self, Pattern};
use trefoil_replay::plot::{self, Compared};
use trefoil_replay::{arrivals, bound, world};

/// Every job is admitted, and refused only once it is hopeless.
const ADMITS_ALL: Settings = Settings { admit_all: true };

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
        .about("replays load patterns over the decisions of dispatch, in virtual time")
        .arg(
            Arg::new("pattern")
                .help("names of patterns; all without any")
                .num_args(0..)
                .value_parser(names),
        )
        .arg(
            Arg::new("seeds")
                .long("seeds")
                .value_name("N")
                .help("how many seeds of each pattern, from 1 on")
                .default_value("1")
                .value_parser(value_parser!(u64).range(1..)),
        )
        .arg(
            Arg::new("brief")
                .long("brief")
                .help("one line a replay")
                .action(ArgAction::SetTrue),
        )
        .arg(
            Arg::new("admit-all")
                .long("admit-all")
                .help("admit every job and refuse only the hopeless ones")
                .action(ArgAction::SetTrue),
        )
        .arg(
            Arg::new("compare")
                .long("compare")
                .value_name("FILE.svg")
                .help("replay with admission and without, print both, and write a plot")
                .value_parser(value_parser!(PathBuf)),
        )
}

/// The patterns and seeds that were asked for.
fn replays(matches: &ArgMatches) -> Vec<(Pattern, u64)> {
    let seeds = matches.get_one::<u64>("seeds").copied().unwrap_or(1);
    let names: Vec<&String> = matches
        .get_many("pattern")
        .map(Iterator::collect)
        .unwrap_or_default();
    let mut patterns = pattern::all();
    patterns.retain(|one| names.is_empty() || names.iter().any(|name| *name == one.name));
    let seeded = |pattern: Pattern| (1..=seeds).map(move |seed| (pattern.clone(), seed));
    patterns.into_iter().flat_map(seeded).collect()
}

fn show(matches: &ArgMatches) {
    let settings = match matches.get_flag("admit-all") {
        true => ADMITS_ALL,
        false => Settings::default(),
    };
    for (pattern, seed) in replays(matches) {
        let (figures, bound) = replay(&pattern, seed, settings);
        let table = Table {
            pattern: &pattern,
            figures: &figures,
            bound,
        };
        match matches.get_flag("brief") {
            true => println!("{}", table.line()),
            false => print!("{table}"),
        }
    }
}

fn compare(matches: &ArgMatches, file: &std::path::Path) -> Result<(), Box<dyn Error>> {
    let mut rows: Vec<Compared> = Vec::new();
    println!("| pattern, seed | every job admitted | judged |");
    println!("|---|---|---|");
    for (pattern, seed) in replays(matches) {
        let share = |settings| {
            let (figures, bound) = replay(&pattern, seed, settings);
            figures.credit(&pattern) / bound
        };
        let row = Compared {
            pattern: format!("{} {seed}", pattern.name),
            judged: share(Settings::default()),
            admits_all: share(ADMITS_ALL),
        };
        println!(
            "| {} | {:.2} | {:.2} |",
            row.pattern, row.admits_all, row.judged
        );
        rows.push(row);
    }
    plot::draw(&rows, file)
}

/// What callers saw, and the bound on their credit.
fn replay(pattern: &Pattern, seed: u64, settings: Settings) -> (Figures, f64) {
    let arrivals = arrivals::draw(pattern, seed);
    let seen = world::run(pattern, &arrivals, settings).seen;
    let figures = Figures::count(pattern, &arrivals, &seen);
    let bound = bound::credit(pattern, &arrivals, |at_ms| world::room_at(pattern, at_ms));
    (figures, bound)
}
