//! Serves the fake of the platform's key-value service.

use std::{error::Error, net::SocketAddr};

use clap::{Arg, ArgAction, Command, value_parser};
use trefoil_fakes::platform::{self, PlatformOptions};

fn command() -> Command {
    Command::new("trefoil-fake-platform")
        .about("fake of the platform's key-value service")
        .arg(
            Arg::new("listen")
                .long("listen")
                .value_name("IP:PORT")
                .value_parser(value_parser!(SocketAddr))
                .default_value("127.0.0.1:2379"),
        )
        .arg(
            Arg::new("sync-ms")
                .long("sync-ms")
                .help("time that it takes to sync a write, in milliseconds")
                .value_parser(value_parser!(u64))
                .default_value("3"),
        )
        .arg(
            Arg::new("omit-defaults")
                .long("omit-defaults")
                .help("omit fields with default values from responses, as etcd does")
                .action(ArgAction::SetTrue),
        )
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let matches = command().get_matches();
    let listen: SocketAddr = *matches.get_one("listen").ok_or("--listen is missing")?;
    let options = PlatformOptions {
        sync_ms: *matches.get_one("sync-ms").ok_or("--sync-ms is missing")?,
        omit_defaults: matches.get_flag("omit-defaults"),
        ..PlatformOptions::default()
    };
    let mut platform = platform::start(listen, options)
        .await
        .map_err(|error| format!("cannot listen on {listen}: {error}; is the port in use?"))?;
    println!("{}", platform.address);
    platform.wait().await;
    Ok(())
}
