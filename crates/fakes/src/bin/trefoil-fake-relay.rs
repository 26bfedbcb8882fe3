//! Relays TCP connections until told to cut them.

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
        .about("a TCP relay that can be cut and restored")
        .arg(address_arg("listen", "address relayed from").required(true))
        .arg(address_arg("to", "address relayed to").required(true))
        .arg(address_arg("control", "address of orders, POST /fake/cut"))
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let matches = command().get_matches();
    let listen: SocketAddr = *matches.get_one("listen").ok_or("no address to listen on")?;
    let to: SocketAddr = *matches.get_one("to").ok_or("no address to relay to")?;
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
