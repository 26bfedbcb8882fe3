//! Stand-ins for the platform and the backend servers, a bounded load tool, a
//! relay that can be cut, and a checker of histories.
//!
//! Every part can be started in-process by a test and stops when its handle is
//! dropped; the programs of this package only parse arguments and start one.

pub mod check;
pub mod client;
pub mod http;
pub mod load;
pub mod platform;
pub mod relay;
pub mod worker;
