//! `trefoilctl status`.

use clap::{ArgMatches, Command};
use trefoilbay::ops::error::ExitStatus;
use trefoilbay::ops::rollout::{self, DeploymentStatus};

use super::CommandResult;
use crate::table::Table;
use crate::{cli, output};

pub fn cli() -> Command {
    Command::new("status").about("Shows all instances with the revision in force at each")
}

pub async fn exec(args: &ArgMatches) -> CommandResult {
    let client = cli::client(args)?;
    let deployment = rollout::fetch_status(&client).await?;
    print_table(&deployment);
    for entry in &deployment.entries_failed {
        output::note(format_args!("entry {entry} did not respond"));
    }
    for instance in &deployment.store_unreachable {
        output::note(format_args!("{instance} cannot reach the platform's store"));
    }
    Ok(ExitStatus::Ok)
}

fn print_table(deployment: &DeploymentStatus) {
    let mut table = Table::new(vec![
        "INSTANCE",
        "START",
        "FAILURE DOMAIN",
        "STATE",
        "REVISION",
        "HEARD MS AGO",
    ]);
    for instance in deployment.instances.values() {
        table.add_row(vec![
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
