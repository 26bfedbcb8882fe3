//! Replays load patterns over the decisions of dispatch, in virtual time.
//!
//! Entries, owners and their rules are the real ones of `trefoil_core::dispatch`;
//! links, workers and callers are events in a queue. It answers one question:
//! what do callers of each class see when more comes than the workers have room
//! for, and how much of it could any scheduler have served?
//!
//! * [`pattern`]: load patterns as data, and those that are named.
//! * [`arrivals`]: the jobs of a pattern, drawn from a seed.
//! * [`world`]: the events, and what callers are told.
//! * [`worker`]: a simulated worker.
//! * [`figures`]: what callers saw, by class.
//! * [`bound`]: what no scheduler can exceed.
//! * [`plot`]: two policies beside the bound.
//!
//! It has no network, no losses and no clocks that differ: those are what the
//! histories of `trefoil-core` and the soak are for.

pub mod arrivals;
pub mod bound;
pub mod figures;
pub mod pattern;
pub mod plot;
pub mod worker;
pub mod world;
