//! `trefoilctl get`.

use clap::{Arg, ArgMatches, Command};
use trefoil_schema::resources::StoredResource;
use trefoilbay::ops::error::ExitStatus;
use trefoilbay::ops::resources;

use super::CommandResult;
use crate::table::Table;
use crate::{cli, output};

/// Its arguments.
pub fn cli() -> Command {
    Command::new("get")
        .about("Lists resources")
        .arg(cli::kind())
        .arg(Arg::new("name").value_name("NAME").help("Only this one"))
        .arg(
            Arg::new("output")
                .short('o')
                .long("output")
                .value_parser(["table", "json"])
                .default_value("table")
                .help("Form of the output"),
        )
}

/// Carries it out.
pub async fn exec(args: &ArgMatches) -> CommandResult {
    let client = cli::client(args)?;
    let kind = cli::get_kind(args);
    let found = match args.get_one::<String>("name") {
        Some(name) => vec![resources::get(&client, kind, name).await?],
        None => resources::list(&client, kind).await?,
    };
    match cli::get_text(args, "output") {
        "json" => output::json(&found),
        _ => print_table(&found),
    }
    Ok(ExitStatus::Ok)
}

fn print_table(found: &[StoredResource]) {
    let mut table = Table::new(["NAME", "REVISION", "IN FORCE", "SPEC"]);
    for resource in found {
        let status = &resource.status;
        table.row([
            resource.name.clone(),
            status.revision.to_string(),
            format!("{}/{}", status.instances_in_force, status.instances_live),
            resource.spec.to_string(),
        ]);
    }
    table.print();
}
