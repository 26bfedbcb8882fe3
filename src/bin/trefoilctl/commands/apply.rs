//! `trefoilctl apply`.

use clap::{ArgMatches, Command};
use trefoilbay::ops::apply::{self, Applied, Change, Step};
use trefoilbay::ops::client::Client;
use trefoilbay::ops::declare;
use trefoilbay::ops::error::ExitStatus;
use trefoilbay::ops::rollout::{self, Fleet};

use super::CommandResult;
use crate::{cli, output};

/// Its arguments.
pub fn cli() -> Command {
    Command::new("apply")
        .about("Declares resources: creates and updates, never removes")
        .arg(cli::files())
        .arg(cli::flag(
            "dry-run",
            "Have an instance check, store nothing",
        ))
        .arg(
            cli::flag("wait", "Wait until all live instances have it in force")
                .conflicts_with("dry-run"),
        )
        .arg(cli::number("timeout-ms", "Longest time that --wait takes").default_value("30000"))
}

/// Carries it out.
pub async fn exec(args: &ArgMatches) -> CommandResult {
    let client = cli::client(args)?;
    let declared = declare::load(&cli::get_files(args))?;
    let steps = apply::plan(&client, declared).await?;
    let dry_run = args.get_flag("dry-run");
    let mut revision = 0;
    for (done, step) in steps.iter().enumerate() {
        let applied = apply::apply(&client, step, dry_run)
            .await
            .inspect_err(|_| note_failure(step, done, steps.len()))?;
        print_step(step, applied, dry_run);
        revision = revision.max(applied.revision);
    }
    if args.get_flag("wait") {
        wait(&client, revision, cli::get_number(args, "timeout-ms")).await?;
    }
    Ok(ExitStatus::Ok)
}

async fn wait(client: &Client, revision: u64, timeout_ms: u64) -> CommandResult {
    let mut shown = None;
    let show = |fleet: &Fleet| {
        let counts = fleet.counts(revision);
        if shown.replace(counts) != Some(counts) {
            let (done, counted) = counts;
            output::note(format_args!(
                "revision {revision} in force at {done} of {counted} instances"
            ));
        }
    };
    rollout::wait(client, revision, timeout_ms, show).await?;
    output::line(format_args!("revision {revision} in force at all"));
    Ok(ExitStatus::Ok)
}

fn print_step(step: &Step, applied: Applied, dry_run: bool) {
    let what = match step.change {
        Change::Create => "created",
        Change::Update => "updated",
        Change::Unchanged => "unchanged",
    };
    let resource = &step.resource;
    let mut text = format!("{}/{} {what}", resource.kind, resource.name);
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

fn note_failure(step: &Step, done: usize, total: usize) {
    output::note(format_args!(
        "{}/{} failed; {done} of {total} done before it",
        step.resource.kind, step.resource.name
    ));
}
