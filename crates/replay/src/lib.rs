//! Replays load patterns against the dispatch state machines, in virtual time.
//!
//! Entries and owners are those of `trefoil_core::dispatch`; links, workers and callers are
//! simulated by an event queue. A replay shows what callers of each job class get under overload,
//! beside an upper bound for any scheduler.
//!
//! * [`pattern`]: load patterns.
//! * [`arrivals`]: the jobs of a pattern, generated from a seed.
//! * [`simulation`]: the discrete-event simulation.
//! * [`worker`]: a simulated worker.
//! * [`stats`]: what callers got, by job class.
//! * [`bound`]: upper bound for any scheduler.
//! * [`plot`]: two admission policies relative to the bound.
//!
//! Message loss and clock skew are not simulated; the history tests of `trefoil-core` and the
//! soak test cover them.

pub mod arrivals;
pub mod bound;
pub mod pattern;
pub mod plot;
pub mod simulation;
pub mod stats;
mod worker;
