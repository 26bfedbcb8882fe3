//! `trefoilctl get`.

use clap::{Arg, ArgMatches, Command};
use serde_json::Value;
use trefoil_schema::resources::{Kind, StoredResource};
use trefoilbay::ops::error::ExitStatus;
use trefoilbay::ops::{apply, resources};

use super::CommandResult;
use crate::table::Table;
use crate::{cli, output};

pub fn cli() -> Command {
    Command::new("get")
        .about("Lists resources")
        .arg(cli::kind())
        .arg(
            Arg::new("name")
                .value_name("NAME")
                .help("Name of a single resource"),
        )
        .arg(
            Arg::new("output")
                .short('o')
                .long("output")
                .value_parser(["table", "json"])
                .default_value("table")
                .help("Output format"),
        )
}

pub async fn exec(args: &ArgMatches) -> CommandResult {
    let client = cli::client(args)?;
    let kind = cli::get_kind(args);
    let found = match args.get_one::<String>("name") {
        Some(name) => vec![resources::get(&client, kind, name).await?],
        None => resources::list(&client, kind).await?,
    };
    match cli::get_text(args, "output") {
        "json" => output::json(&found),
        _ => print_table(kind, &found),
    }
    Ok(ExitStatus::Ok)
}

fn print_table(kind: Kind, found: &[StoredResource]) {
    let mut table = Table::new(headings(kind));
    for resource in found {
        let status = &resource.status;
        let mut cells = vec![
            resource.name.clone(),
            status.revision.to_string(),
            format!("{}/{}", status.instances_in_force, status.instances_live),
        ];
        cells.extend(spec_cells(resource));
        table.add_row(cells);
    }
    table.print();
}

fn headings(kind: Kind) -> Vec<&'static str> {
    let spec_headings = columns(kind).iter().map(|(heading, _)| *heading);
    ["NAME", "REVISION", "IN FORCE"]
        .into_iter()
        .chain(spec_headings)
        .collect()
}

fn spec_cells(resource: &StoredResource) -> Vec<String> {
    let spec = apply::normalized_spec(resource.kind, &resource.spec);
    columns(resource.kind)
        .iter()
        .map(|(_, pointer)| match spec.pointer(pointer) {
            Some(Value::String(text)) => text.clone(),
            Some(other) => other.to_string(),
            None => "-".to_owned(),
        })
        .collect()
}

/// Columns of a kind: the heading and the JSON pointer to the value in the spec.
fn columns(kind: Kind) -> &'static [(&'static str, &'static str)] {
    match kind {
        Kind::Team => &[
            ("WEIGHT", "/weight"),
            ("SLOTS MAX", "/slots_max"),
            ("QUEUED TASKS MAX", "/queued_tasks_max"),
        ],
        Kind::Service => &[
            ("IDEMPOTENT", "/idempotent"),
            ("PATH", "/path"),
            ("DECLARED RUN MS", "/declared_run_ms"),
            ("RESPONSE P99 MS", "/targets/response_p99_ms"),
        ],
        Kind::BackendServer => &[
            ("SERVICE", "/service"),
            ("FAILURE DOMAIN", "/failure_domain"),
            ("ADDRESS", "/address"),
            ("SLOTS", "/slots"),
            ("STATE", "/state"),
        ],
    }
}
