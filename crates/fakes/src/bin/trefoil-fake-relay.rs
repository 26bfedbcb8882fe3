//! Relays TCP connections and injects link faults.

use std::{error::Error, net::SocketAddr};

use clap::{Arg, Command, value_parser};
use trefoil_fakes::relay;

fn address_arg(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("IP:PORT")
        .help(help)
        .value_parser(value_parser!(SocketAddr))
}

fn command() -> Command {
    Command::new("trefoil-fake-relay")
        .about("a TCP relay that injects link faults")
        .arg(address_arg("listen", "address to listen on").required(true))
        .arg(address_arg("to", "address to relay connections to").required(true))
        .arg(address_arg(
            "control",
            "address of the HTTP control endpoint, POST /fake/cut",
        ))
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let matches = command().get_matches();
    let listen: SocketAddr = *matches.get_one("listen").ok_or("--listen is missing")?;
    let to: SocketAddr = *matches.get_one("to").ok_or("--to is missing")?;
    let control = matches.get_one("control").copied();
    let mut relay = relay::start(listen, to, control)
        .await
        .map_err(|error| format!("cannot listen on {listen}: {error}; is the port in use?"))?;
    println!("{}", relay.address);
    if let Some(control) = relay.control_address {
        println!("{control}");
    }
    relay.wait().await;
    Ok(())
}
