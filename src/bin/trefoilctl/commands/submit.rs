//! `trefoilctl submit`.

use std::path::PathBuf;

use clap::{Arg, ArgMatches, Command, value_parser};
use serde_json::Value;
use trefoil_schema::api::{JobRequest, TaskRequest};
use trefoilbay::ops::error::{ExitStatus, OpsError};
use trefoilbay::ops::job::SubmissionKey;
use trefoilbay::ops::{declare, job};

use super::CommandResult;
use crate::{cli, output};

pub fn cli() -> Command {
    Command::new("submit")
        .about("Submits a job and prints its result; prints the key to stderr first")
        .arg(
            Arg::new("file")
                .short('f')
                .long("file")
                .value_name("JOB.json")
                .value_parser(value_parser!(PathBuf))
                .help("A JSON file with the job"),
        )
        .arg(
            text("service", "NAME", "Service that runs the tasks")
                .required_unless_present("file")
                .conflicts_with("file"),
        )
        .arg(text(
            "team",
            "NAME",
            "Team whose quota the job counts against",
        ))
        .arg(
            cli::number("tasks", "Number of tasks")
                .default_value("1")
                .conflicts_with("file"),
        )
        .arg(
            text("payload", "JSON", "Payload of each task")
                .default_value("{}")
                .conflicts_with("file"),
        )
        .arg(text("key", "KEY", "Idempotency key; a new one by default"))
        .arg(cli::number(
            "deadline-ms",
            "Time limit of the job, in milliseconds",
        ))
        .arg(cli::flag("no-wait", "Do not wait for the result"))
        .arg(
            cli::number(
                "repeat",
                "Number of further submissions with the same key, each at the next entry",
            )
            .default_value("0"),
        )
}

pub async fn exec(args: &ArgMatches) -> CommandResult {
    let client = cli::client(args)?;
    let request = request(args)?;
    let mut key = match args.get_one::<String>("key") {
        Some(text) => SubmissionKey {
            text: text.clone(),
            newly_minted: false,
        },
        None => job::mint_key(&client).await?,
    };
    output::note(format_args!("key {}", key.text));
    for round in 0..=cli::get_number(args, "repeat") {
        let client = client.rotated(round as usize);
        let answer = job::submit(&client, &key, &request).await?;
        output::json(&answer);
        key.newly_minted = false;
    }
    Ok(ExitStatus::Ok)
}

fn request(args: &ArgMatches) -> Result<JobRequest, OpsError> {
    let mut request = match args.get_one::<PathBuf>("file") {
        Some(path) => declare::read_json(path)?,
        None => from_options(args)?,
    };
    if let Some(team) = args.get_one::<String>("team") {
        request.team = team.clone();
    }
    if let Some(deadline_ms) = args.get_one::<u64>("deadline-ms") {
        request.deadline_ms = *deadline_ms;
    }
    if args.get_flag("no-wait") {
        request.wait = false;
    }
    Ok(request)
}

fn from_options(args: &ArgMatches) -> Result<JobRequest, OpsError> {
    let payload: Value =
        serde_json::from_str(cli::get_text(args, "payload")).map_err(|error| OpsError::Usage {
            message: format!("--payload is not valid JSON: {error}"),
        })?;
    let task = TaskRequest {
        payload,
        declared_run_ms: 0,
    };
    let count = cli::get_number(args, "tasks") as usize;
    Ok(JobRequest {
        service: cli::get_text(args, "service").to_owned(),
        team: "default".to_owned(),
        deadline_ms: 0,
        wait: true,
        tasks: vec![task; count],
    })
}

fn text(name: &'static str, value_name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_name(value_name).help(help)
}
