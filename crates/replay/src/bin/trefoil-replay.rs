//! Replays load patterns over the decisions of dispatch and prints what callers
//! see, beside what no scheduler can exceed.

use clap::{Arg, ArgAction, Command, value_parser};
use trefoil_core::dispatch::owner::Settings;
use trefoil_replay::figures::{Figures, Table};
use trefoil_replay::pattern::{self, Pattern};
use trefoil_replay::{arrivals, bound, world};

fn main() {
    let matches = command().get_matches();
    let seeds = matches.get_one::<u64>("seeds").copied().unwrap_or(1);
    let names: Vec<&String> = matches
        .get_many("pattern")
        .map(Iterator::collect)
        .unwrap_or_default();
    let patterns = pattern::all();
    let chosen = patterns
        .iter()
        .filter(|pattern| names.is_empty() || names.iter().any(|name| *name == pattern.name));
    let settings = Settings {
        admits_all: matches.get_flag("admit-all"),
    };
    let brief = matches.get_flag("brief");
    for pattern in chosen {
        for seed in 1..=seeds {
            print!("{}", replay(pattern, seed, settings, brief));
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
                .value_parser(value_parser!(u64)),
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
                .help("admit every job and refuse only the hopeless ones, to compare with")
                .action(ArgAction::SetTrue),
        )
}

fn replay(pattern: &Pattern, seed: u64, settings: Settings, brief: bool) -> String {
    let arrivals = arrivals::draw(pattern, seed);
    let seen = world::run(pattern, &arrivals, settings);
    let figures = Figures::count(pattern, &arrivals, &seen);
    let bound = bound::credit(pattern, &arrivals, |at_ms| world::room_at(pattern, at_ms));
    let table = Table {
        pattern,
        figures: &figures,
        bound,
    };
    match brief {
        true => format!("{}\n", table.line()),
        false => table.to_string(),
    }
}
