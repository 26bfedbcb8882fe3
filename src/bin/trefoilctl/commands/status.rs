//! `trefoilctl status`.

use clap::{ArgMatches, Command};
use trefoilbay::ops::error::ExitStatus;
use trefoilbay::ops::rollout::{self, Fleet};

use super::CommandResult;
use crate::table::Table;
use crate::{cli, output};

/// Its arguments.
pub fn cli() -> Command {
    Command::new("status").about("Shows all instances and the revision in force at each")
}

/// Carries it out.
pub async fn exec(args: &ArgMatches) -> CommandResult {
    let client = cli::client(args)?;
    let fleet = rollout::look(&client).await?;
    print_table(&fleet);
    for entry in &fleet.entries_silent {
        output::note(format_args!("entry {entry} did not answer"));
    }
    for instance in &fleet.store_unreachable {
        output::note(format_args!("{instance} cannot reach the platform's store"));
    }
    Ok(ExitStatus::Ok)
}

fn print_table(fleet: &Fleet) {
    let mut table = Table::new(vec![
        "INSTANCE",
        "START",
        "FAILURE DOMAIN",
        "STATE",
        "REVISION",
        "HEARD MS AGO",
    ]);
    for instance in fleet.instances.values() {
        table.row(vec![
            instance.instance.clone(),
            instance.incarnation.to_string(),
            instance.failure_domain.clone(),
            instance.state.to_string(),
            instance.config_revision.to_string(),
            instance.heard_ms.to_string(),
        ]);
    }
    table.print();
}
