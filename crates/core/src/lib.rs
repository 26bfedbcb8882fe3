//! State machines of trefoilbay.
//!
//! This crate does no I/O, reads no clock, generates no random numbers and does not
//! depend on an async runtime. Its state machines take events and the current time and
//! return commands. They are deterministic, so tests can compare whole sessions with
//! golden files and simulate failures in virtual time.
//!
//! * [`key`]: idempotency keys with an issue time.
//! * [`verdict`]: whether the tasks of a request may have run.
//! * [`time`]: current time, as passed to the state machines.
//! * [`view`]: views, which determine the owner of each key.
//! * [`membership`]: membership of a failure domain, and permission to admit keys.
//! * [`config`]: the declarations in force.
//! * [`dispatch`]: dispatch of jobs to workers protected by fencing tokens.
//! * [`drain`]: planned stop of an instance, with a time limit.
//! * [`handover`]: completeness of the job memory that a leaving instance hands over.
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
