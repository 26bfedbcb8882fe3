//! Fakes of the platform and of backend servers, a load generator, a TCP relay that injects link
//! faults, and a checker of request histories.
//!
//! Tests start each part in-process; it stops when its handle is dropped. The binaries of this
//! package only parse arguments and start one part.

pub mod check;
pub mod client;
pub mod http;
pub mod load;
pub mod platform;
pub mod process_usage;
pub mod relay;
pub mod worker;
