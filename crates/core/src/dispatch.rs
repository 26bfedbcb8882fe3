//! Dispatch onto fenced workers: who owns a worker, and what runs on it.
//!
//! Each failure domain's workers are laid out in *pools* ([`pool`]). A pool has
//! one *owner*, the only instance that orders its workers. Callers reach any
//! instance; as an *entry* it delegates whole jobs to an owner and carries the
//! answers. What makes this safe is not that owners agree but that a worker
//! obeys only the highest fence it has seen:
//!
//! * [`fence`]: fencing tokens, ordered by term of ownership, then by a counter.
//! * [`ownership`]: claims on pools, when to make one, and whom to link with.
//! * [`retirement`]: closing a link that neither side needs.
//! * [`entry`]: callers' jobs, delegated and delegated anew.
//! * [`owner`]: jobs, tasks and workers of one owner.
//! * [`worker`]: what an owner knows of one worker.
//! * [`job`]: a job's tasks and their order.
//! * [`limits`]: each time limit, and where it comes from.
//!
//! Everything takes the current instant in milliseconds of a steady clock and
//! pushes commands; nothing here opens a socket or reads a clock.

pub mod entry;
pub mod fence;
pub mod job;
pub mod limits;
pub mod order;
pub mod owner;
pub mod ownership;
pub mod pool;
pub mod retirement;
pub mod worker;
