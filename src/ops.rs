//! What the subcommands of `trefoilctl` do, apart from parsing and printing.
//!
//! * [`client`]: requests to the entry instances, and when they may be resent.
//! * [`error`]: what can go wrong, with hints and exit codes.
//! * [`declare`]: resource files, read and checked.
//! * [`resources`]: the resource API.
//! * [`apply`]: plan and apply declarations.
//! * [`diff`]: what applying would change.
//! * [`rollout`]: whether a revision is in force at each instance.
//! * [`job`]: submit, watch and cancel jobs.
//! * [`drain`]: the planned stop of an instance.

pub mod apply;
pub mod client;
pub mod declare;
pub mod diff;
pub mod drain;
pub mod error;
pub mod job;
pub mod resources;
pub mod rollout;
