//! The decisions of trefoilbay.
//!
//! Nothing here opens a socket, reads a clock, draws a random number or knows
//! of tokio: an event and the current instant go in, commands come out. The
//! same history therefore gives the same commands, which makes golden files of
//! whole sessions exact and lets failure tests run in virtual time.
//!
//! * [`key`]: idempotency keys that carry their issue time.
//! * [`verdict`]: whether a request may have run.
//! * [`time`]: the instant handed to every decision.
//! * [`view`]: which instance owns a key.
//! * [`membership`]: who is live, and up to which key time this instance may admit.
//! * [`config`]: the declarations in force.
//! * [`dispatch`]: dispatch onto fenced workers of the platform.
//! * [`drain`]: a planned stop under one budget.
//! * [`handover`]: what the memory of an instance that left proves.
//! * [`engine`]: jobs and tasks of one instance, from submission to answer.

pub mod config;
pub mod dispatch;
pub mod drain;
pub mod engine;
pub mod handover;
pub mod key;
pub mod membership;
pub mod time;
pub mod verdict;
pub mod view;
