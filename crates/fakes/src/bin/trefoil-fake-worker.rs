//! Serves fake backend servers on consecutive ports.

use std::{error::Error, net::SocketAddr};

use clap::{Arg, Command, value_parser};
use trefoil_fakes::worker::{self, WorkerOptions};

fn command() -> Command {
    Command::new("trefoil-fake-worker")
        .about("fake backend servers on consecutive ports")
        .arg(
            Arg::new("listen")
                .long("listen")
                .value_name("IP:PORT")
                .help("address of the first backend server")
                .value_parser(value_parser!(SocketAddr))
                .default_value("127.0.0.1:9000"),
        )
        .arg(
            Arg::new("count")
                .long("count")
                .value_parser(value_parser!(usize))
                .default_value("1"),
        )
        .arg(
            Arg::new("slots")
                .long("slots")
                .help("tasks that each backend server runs concurrently")
                .value_parser(value_parser!(usize))
                .default_value("8"),
        )
        .arg(
            Arg::new("faults")
                .long("faults")
                .value_name("JSON")
                .help("initial faults of all backend servers")
                .default_value("{}"),
        )
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let matches = command().get_matches();
    let listen: SocketAddr = *matches.get_one("listen").ok_or("--listen is missing")?;
    let faults: &String = matches.get_one("faults").ok_or("--faults is missing")?;
    let options = WorkerOptions {
        count: *matches.get_one("count").ok_or("--count is missing")?,
        slots: *matches.get_one("slots").ok_or("--slots is missing")?,
        faults: serde_json::from_str(faults)
            .map_err(|error| format!("invalid --faults: {error}"))?,
    };
    let mut workers = worker::start(listen, options)
        .await
        .map_err(|error| format!("cannot listen on {listen} and the following ports: {error}"))?;
    for address in &workers.addresses {
        println!("{address}");
    }
    workers.wait().await;
    Ok(())
}
