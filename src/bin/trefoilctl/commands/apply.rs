//! `trefoilctl apply`.

use clap::{ArgMatches, Command};
use trefoilbay::ops::apply::{self, Applied, Change, Step};
use trefoilbay::ops::client::Client;
use trefoilbay::ops::declare;
use trefoilbay::ops::error::ExitStatus;
use trefoilbay::ops::rollout::{self, DeploymentStatus};

use super::CommandResult;
use crate::{cli, output};

pub fn cli() -> Command {
    Command::new("apply")
        .about("Creates and updates resources; never deletes any")
        .arg(cli::files())
        .arg(cli::flag(
            "dry-run",
            "Validate at an instance without storing anything",
        ))
        .arg(
            cli::flag(
                "wait",
                "Wait until the change is in force at all live instances",
            )
            .conflicts_with("dry-run"),
        )
        .arg(cli::number("timeout-ms", "Timeout of --wait, in milliseconds").default_value("30000"))
}

pub async fn exec(args: &ArgMatches) -> CommandResult {
    let client = cli::client(args)?;
    let declared = declare::load(&cli::get_files(args))?;
    let steps = apply::plan(&client, declared).await?;
    let dry_run = args.get_flag("dry-run");
    let mut revision = 0;
    for (done, step) in steps.iter().enumerate() {
        let applied = apply::apply(&client, step, dry_run)
            .await
            .inspect_err(|_| report_failure(step, done, steps.len()))?;
        print_step(step, applied, dry_run);
        revision = revision.max(applied.revision);
    }
    if args.get_flag("wait") {
        wait(&client, revision, cli::get_number(args, "timeout-ms")).await?;
    }
    Ok(ExitStatus::Ok)
}

async fn wait(client: &Client, revision: u64, timeout_ms: u64) -> CommandResult {
    let mut last_counts = None;
    let progress = |deployment: &DeploymentStatus| {
        let counts = deployment.counts(revision);
        if last_counts.replace(counts) != Some(counts) {
            let (done, counted) = counts;
            output::note(format_args!(
                "revision {revision} in force at {done} of {counted} instances"
            ));
        }
    };
    rollout::wait(client, revision, timeout_ms, progress).await?;
    output::line(format_args!(
        "revision {revision} in force at all live instances"
    ));
    Ok(ExitStatus::Ok)
}

fn print_step(step: &Step, applied: Applied, dry_run: bool) {
    let action = match step.change {
        Change::Create => "created",
        Change::Update => "updated",
        Change::Unchanged => "unchanged",
    };
    let resource = &step.resource;
    let mut text = format!("{}/{} {action}", resource.kind, resource.name);
    if dry_run {
        text += " (dry run)";
    } else {
        text += &format!(" revision {}", applied.revision);
    }
    if applied.read_back {
        text += " (answer lost, read back)";
    }
    output::line(text);
}

fn report_failure(step: &Step, done: usize, total: usize) {
    output::note(format_args!(
        "{}/{} failed; {done} of {total} resources were applied before it",
        step.resource.kind, step.resource.name
    ));
}
