//! Command line of the load generator.

use std::{net::SocketAddr, path::PathBuf};

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use trefoil_fakes::load::{Bursts, KeyKind, LoadOptions, Policy, distribution::Distribution};

/// Default of `--ask-again` with `--obey-retry-after`.
const DEFAULT_RETRIES_MAX: usize = 5;

pub fn command() -> Command {
    Command::new("trefoil-load")
        .about("an open-loop load generator")
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
            .help("entry instances, used in turn; IP:PORT+N stands for N consecutive ports")
            .value_parser(parse_addresses)
            .required_unless_present("direct"),
        Arg::new("direct")
            .long("direct")
            .value_name("IP:PORT,...")
            .help("baseline without entry instances: send tasks to these backend servers")
            .value_parser(parse_addresses)
            .conflicts_with("entries"),
        Arg::new("policy")
            .long("policy")
            .help("how baseline dispatchers choose a backend server")
            .value_parser(["random", "two-choices"])
            .default_value("random"),
        arg_with_default("dispatchers", "8", "number of baseline dispatchers")
            .value_parser(value_parser!(usize)),
        Arg::new("worker-counters")
            .long("worker-counters")
            .value_name("IP:PORT,...")
            .help("one address of each process of fake backend servers, to read its counters")
            .value_parser(parse_addresses),
    ]
}

fn jobs() -> [Arg; 8] {
    let distribution = |text: &str| text.parse::<Distribution>();
    [
        arg_with_default("service", "default", "service of the jobs")
            .value_parser(value_parser!(String)),
        arg_with_default("teams", "default", "teams of the jobs, separated by commas")
            .value_parser(value_parser!(String)),
        arg_with_default("rate", "10", "arrival rate, in jobs per second")
            .value_parser(value_parser!(f64)),
        arg_with_default("tasks", "1", "distribution of the number of tasks per job")
            .value_parser(distribution),
        arg_with_default(
            "run-time",
            "100",
            "distribution of run times, in milliseconds",
        )
        .value_parser(distribution),
        arg_with_default(
            "declared-factor",
            "0",
            "declared run time as a multiple of the actual one; 0 to declare none",
        )
        .value_parser(value_parser!(f64)),
        arg_with_default("duration-ms", "5000", "time during which jobs are sent")
            .value_parser(value_parser!(u64)),
        Arg::new("bursts")
            .long("bursts")
            .value_name("FACTOR:EVERY_MS:FOR_MS")
            .help("periodic bursts of a higher arrival rate")
            .value_parser(parse_bursts),
    ]
}

fn callers() -> [Arg; 11] {
    [
        arg_with_default(
            "reuse-percent",
            "0",
            "percentage of keys reused for another body at another entry instance",
        )
        .value_parser(value_parser!(f64)),
        arg_with_default(
            "resubmit-percent",
            "0",
            "percentage of jobs resubmitted at another entry instance",
        )
        .value_parser(value_parser!(f64)),
        arg_with_default(
            "cancel-percent",
            "0",
            "percentage of jobs that are cancelled",
        )
        .value_parser(value_parser!(f64)),
        arg_with_default(
            "deadline-ms",
            "0",
            "deadline of jobs after their submission; 0 for the entry's default",
        )
        .value_parser(value_parser!(u64)),
        Arg::new("obey-retry-after")
            .long("obey-retry-after")
            .help("retry after the delay that a refusal asks for")
            .action(ArgAction::SetTrue),
        Arg::new("ask-again")
            .long("ask-again")
            .help("maximum number of retries after a refusal with a delay or a lost response")
            .value_parser(value_parser!(usize)),
        arg_with_default("seed", "1", "seed of the plan").value_parser(value_parser!(u64)),
        arg_with_default("key-kind", "uuid7", "how idempotency keys are created")
            .value_parser(["uuid7", "minted"]),
        Arg::new("mint-at")
            .long("mint-at")
            .value_name("IP:PORT,...")
            .help("entry instances that mint the keys [default: those of --entries]")
            .value_parser(parse_addresses),
        arg_with_default(
            "path-ms",
            "0",
            "network time that is part of the ideal response time",
        )
        .value_parser(value_parser!(f64)),
        arg_with_default("in-flight-max", "20000", "maximum number of jobs in flight")
            .value_parser(value_parser!(usize)),
    ]
}

fn outputs() -> [Arg; 2] {
    [
        Arg::new("json")
            .long("json")
            .value_name("FILE")
            .help("write the report as JSON")
            .value_parser(value_parser!(PathBuf)),
        Arg::new("history")
            .long("history")
            .value_name("FILE")
            .help("write every request as a line of JSON")
            .value_parser(value_parser!(PathBuf)),
    ]
}

fn arg_with_default(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).help(help).default_value(default)
}

/// Parses addresses separated by commas; `IP:PORT+N` stands for N consecutive ports.
fn parse_addresses(text: &str) -> Result<Vec<SocketAddr>, String> {
    let ranges: Result<Vec<_>, _> = text.split(',').map(parse_port_range).collect();
    Ok(ranges?.concat())
}

fn parse_port_range(text: &str) -> Result<Vec<SocketAddr>, String> {
    let (first, count) = text.split_once('+').unwrap_or((text, "1"));
    let error = || format!("invalid address {text:?}; try 127.0.0.1:9000 or 127.0.0.1:9000+8");
    let first: SocketAddr = first.parse().map_err(|_| error())?;
    let count: u16 = count.parse().map_err(|_| error())?;
    let last = first.port().checked_add(count).ok_or_else(error)?;
    let ports = first.port()..last;
    Ok(ports
        .map(|port| SocketAddr::new(first.ip(), port))
        .collect())
}

fn parse_bursts(text: &str) -> Result<Bursts, String> {
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

/// Options from the command line.
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
        retries_max: retries_max(matches),
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

fn retries_max(matches: &ArgMatches) -> usize {
    let default = match matches.get_flag("obey-retry-after") {
        true => DEFAULT_RETRIES_MAX,
        false => 0,
    };
    get(matches, "ask-again").unwrap_or(default)
}

fn get<T: Clone + Send + Sync + 'static>(matches: &ArgMatches, name: &str) -> Option<T> {
    matches.get_one::<T>(name).cloned()
}
