//! `trefoilctl describe`.

use clap::{ArgMatches, Command};
use trefoil_schema::resources::{Condition, StoredResource};
use trefoilbay::ops::error::ExitStatus;
use trefoilbay::ops::{apply, resources};

use super::CommandResult;
use crate::table::Table;
use crate::{cli, output};

pub fn cli() -> Command {
    Command::new("describe")
        .about("Shows a resource's declaration, status and conditions")
        .arg(cli::kind())
        .arg(cli::positional("name", "NAME", "Name of the resource"))
}

pub async fn exec(args: &ArgMatches) -> CommandResult {
    let client = cli::client(args)?;
    let kind = cli::get_kind(args);
    let found = resources::get(&client, kind, cli::get_text(args, "name")).await?;
    print(&found);
    Ok(ExitStatus::Ok)
}

fn print(found: &StoredResource) {
    let status = &found.status;
    output::line(format_args!("kind:     {}", found.kind));
    output::line(format_args!("name:     {}", found.name));
    output::line(format_args!("revision: {}", status.revision));
    output::line(format_args!(
        "in force: {} of {} live instances",
        status.instances_in_force, status.instances_live
    ));
    output::line("spec:");
    output::json(&apply::normalized_spec(found.kind, &found.spec));
    if !status.conditions.is_empty() {
        print_conditions(&status.conditions);
    }
}

fn print_conditions(conditions: &[Condition]) {
    let mut table = Table::new(vec!["CONDITION", "STATUS", "REASON", "MESSAGE"]);
    for condition in conditions {
        table.add_row(vec![
            condition.type_.clone(),
            condition.status.to_string(),
            condition.reason.clone(),
            condition.message.clone(),
        ]);
    }
    table.print();
}
