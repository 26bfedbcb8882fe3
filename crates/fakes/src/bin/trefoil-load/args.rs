//! Arguments of the load tool.

use std::{net::SocketAddr, path::PathBuf};

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use trefoil_fakes::load::{Bursts, KeyKind, LoadOptions, Policy, law::Law};

/// Submissions after a refusal where Retry-After is obeyed and no number given.
const OBEDIENT_ASK_AGAIN_MAX: usize = 5;

/// The command line.
pub fn command() -> Command {
    Command::new("trefoil-load")
        .about("a bounded open-loop load tool")
        .args(targets())
        .args(jobs())
        .args(callers())
        .args(outputs())
}

fn targets() -> [Arg; 5] {
    [
        Arg::new("entries")
            .long("entries")
            .value_name("IP:PORT,...")
            .help("entry instances, taken in turn; IP:PORT+N stands for N consecutive ports")
            .value_parser(addresses)
            .required_unless_present("direct"),
        Arg::new("direct")
            .long("direct")
            .value_name("IP:PORT,...")
            .help("baseline without entry instances: tasks go to these backend servers")
            .value_parser(addresses)
            .conflicts_with("entries"),
        Arg::new("policy")
            .long("policy")
            .help("how a baseline picks a backend server")
            .value_parser(["random", "two-choices"])
            .default_value("random"),
        number("dispatchers", "8", "dispatchers of a baseline").value_parser(value_parser!(usize)),
        Arg::new("worker-counters")
            .long("worker-counters")
            .value_name("IP:PORT,...")
            .help("one address of each process of backend servers")
            .value_parser(addresses),
    ]
}

fn jobs() -> [Arg; 8] {
    let law = |text: &str| text.parse::<Law>();
    [
        number("service", "default", "service of the jobs").value_parser(value_parser!(String)),
        number("teams", "default", "teams of the jobs, with commas")
            .value_parser(value_parser!(String)),
        number("rate", "10", "jobs a second").value_parser(value_parser!(f64)),
        number("tasks", "1", "law of tasks in a job").value_parser(law),
        number("run-time", "100", "law of run times, in milliseconds").value_parser(law),
        number(
            "declared-factor",
            "0",
            "declared run time over the true one; 0 declares none",
        )
        .value_parser(value_parser!(f64)),
        number("duration-ms", "5000", "time of arrivals").value_parser(value_parser!(u64)),
        Arg::new("bursts")
            .long("bursts")
            .value_name("FACTOR:EVERY_MS:FOR_MS")
            .help("times of a higher rate")
            .value_parser(bursts),
    ]
}

fn callers() -> [Arg; 11] {
    [
        number(
            "reuse-percent",
            "0",
            "share of keys used for another body elsewhere",
        )
        .value_parser(value_parser!(f64)),
        number(
            "resubmit-percent",
            "0",
            "share of jobs submitted again elsewhere",
        )
        .value_parser(value_parser!(f64)),
        number("cancel-percent", "0", "share of jobs cancelled").value_parser(value_parser!(f64)),
        number(
            "deadline-ms",
            "0",
            "time allowed for a job; 0 leaves it to the entry",
        )
        .value_parser(value_parser!(u64)),
        Arg::new("obey-retry-after")
            .long("obey-retry-after")
            .help("submit again after the time that a refusal names")
            .action(ArgAction::SetTrue),
        Arg::new("ask-again")
            .long("ask-again")
            .help("most submissions after a refusal with a time or a lost answer")
            .value_parser(value_parser!(usize)),
        number("seed", "1", "seed of the plan").value_parser(value_parser!(u64)),
        number("key-kind", "uuid7", "who makes the keys").value_parser(["uuid7", "minted"]),
        Arg::new("mint-at")
            .long("mint-at")
            .value_name("IP:PORT,...")
            .help("entry instances that mint the keys, in place of --entries")
            .value_parser(addresses),
        number("path-ms", "0", "path time that the ideal includes")
            .value_parser(value_parser!(f64)),
        number("in-flight-max", "20000", "most jobs in flight").value_parser(value_parser!(usize)),
    ]
}

fn outputs() -> [Arg; 2] {
    [
        Arg::new("json")
            .long("json")
            .value_name("FILE")
            .help("write the figures as JSON")
            .value_parser(value_parser!(PathBuf)),
        Arg::new("history")
            .long("history")
            .value_name("FILE")
            .help("write every request as a line of JSON")
            .value_parser(value_parser!(PathBuf)),
    ]
}

fn number(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).help(help).default_value(default)
}

/// Addresses with commas; `IP:PORT+N` stands for N consecutive ports.
fn addresses(text: &str) -> Result<Vec<SocketAddr>, String> {
    let ranges: Result<Vec<_>, _> = text.split(',').map(range).collect();
    Ok(ranges?.concat())
}

fn range(text: &str) -> Result<Vec<SocketAddr>, String> {
    let (first, count) = text.split_once('+').unwrap_or((text, "1"));
    let wrong = || format!("{text:?} is no address; try 127.0.0.1:9000 or 127.0.0.1:9000+8");
    let first: SocketAddr = first.parse().map_err(|_| wrong())?;
    let count: u16 = count.parse().map_err(|_| wrong())?;
    let last = first.port().checked_add(count).ok_or_else(wrong)?;
    let ports = first.port()..last;
    Ok(ports
        .map(|port| SocketAddr::new(first.ip(), port))
        .collect())
}

fn bursts(text: &str) -> Result<Bursts, String> {
    let numbers: Vec<f64> = text
        .split(':')
        .filter_map(|number| number.parse().ok())
        .collect();
    match numbers[..] {
        [factor, every_ms, for_ms] if every_ms > 0.0 => Ok(Bursts {
            factor,
            every_ms,
            for_ms,
        }),
        _ => Err("try FACTOR:EVERY_MS:FOR_MS, such as 4:5000:500".to_owned()),
    }
}

/// What the arguments ask for.
pub fn options(matches: &ArgMatches) -> LoadOptions {
    let default = LoadOptions::default();
    let text = |name| get::<String>(matches, name).unwrap_or_default();
    LoadOptions {
        entries: get(matches, "entries").unwrap_or_default(),
        direct: get(matches, "direct").unwrap_or_default(),
        policy: match text("policy").as_str() {
            "two-choices" => Policy::TwoChoices,
            _ => Policy::Random,
        },
        dispatchers: get(matches, "dispatchers").unwrap_or(default.dispatchers),
        worker_counters: get(matches, "worker-counters").unwrap_or_default(),
        service: text("service"),
        teams: text("teams").split(',').map(str::to_owned).collect(),
        rate_jobs_per_s: get(matches, "rate").unwrap_or(default.rate_jobs_per_s),
        tasks: get(matches, "tasks").unwrap_or(default.tasks),
        run_time: get(matches, "run-time").unwrap_or(default.run_time),
        declared_factor: get(matches, "declared-factor").unwrap_or(default.declared_factor),
        duration_ms: get(matches, "duration-ms").unwrap_or(default.duration_ms),
        bursts: get(matches, "bursts"),
        resubmit_percent: get(matches, "resubmit-percent").unwrap_or_default(),
        reuse_percent: get(matches, "reuse-percent").unwrap_or_default(),
        cancel_percent: get(matches, "cancel-percent").unwrap_or_default(),
        deadline_ms: get(matches, "deadline-ms").unwrap_or_default(),
        obey_retry_after: matches.get_flag("obey-retry-after"),
        ask_again_max: ask_again_max(matches),
        seed: get(matches, "seed").unwrap_or(default.seed),
        key_kind: match text("key-kind").as_str() {
            "minted" => KeyKind::Minted,
            _ => KeyKind::Uuid7,
        },
        mint_at: get(matches, "mint-at").unwrap_or_default(),
        path_ms: get(matches, "path-ms").unwrap_or_default(),
        in_flight_max: get(matches, "in-flight-max").unwrap_or(default.in_flight_max),
        history: matches.contains_id("history"),
    }
}

/// None are made where nothing asks for them.
fn ask_again_max(matches: &ArgMatches) -> usize {
    let default = match matches.get_flag("obey-retry-after") {
        true => OBEDIENT_ASK_AGAIN_MAX,
        false => 0,
    };
    get(matches, "ask-again").unwrap_or(default)
}

fn get<T: Clone + Send + Sync + 'static>(matches: &ArgMatches, name: &str) -> Option<T> {
    matches.get_one::<T>(name).cloned()
}
