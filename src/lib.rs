//! trefoilbay: a dispatcher for sub-second tasks.
//!
//! The decisions are in [`trefoil_core`]; this library is the shell round
//! them: HTTP for callers and operators, links between instances, calls to
//! backend servers and to the platform.

pub mod http;
pub mod links;
pub mod ops;
pub mod peers;
pub mod runtime;
pub mod server;
pub mod sources;
pub mod util;
pub mod workers;
