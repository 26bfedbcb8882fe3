//! The operations behind the subcommands of `trefoilctl`, without parsing and printing.
//!
//! * [`client`]: requests to entry instances, with failover between them.
//! * [`error`]: errors, with hints and exit statuses.
//! * [`declare`]: reads and validates resource files.
//! * [`resources`]: the resource API.
//! * [`apply`]: plans and applies declarations.
//! * [`diff`]: the diff of a plan.
//! * [`rollout`]: which revision is in force at each instance.
//! * [`job`]: submits, queries and cancels jobs.
//! * [`drain`]: drains an instance.

pub mod apply;
pub mod client;
pub mod declare;
pub mod diff;
pub mod drain;
pub mod error;
pub mod job;
pub mod resources;
pub mod rollout;
