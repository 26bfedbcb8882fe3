//! Dispatch of jobs to workers that are protected by fencing tokens.
//!
//! The workers of a failure domain are partitioned into *pools* ([`pool`]). A pool
//! has one *owner*, the only instance that sends orders to its workers. Callers
//! submit jobs to any instance, which as their *entry* delegates each job to an owner
//! and returns the answer. Safety does not depend on agreement between owners: a
//! worker obeys only the highest fencing token that it has seen.
//!
//! * [`fence`]: fencing tokens, ordered by term of ownership, then by a counter.
//! * [`ownership`]: claims on pools, and which instances to link with.
//! * [`link`]: what belongs to a link, and what to a peer.
//! * [`declaration_transfer`]: transfer of declarations between instances.
//! * [`retirement`]: closing links that neither side needs.
//! * [`entry`]: callers' jobs and their delegation.
//! * [`owner`]: jobs, tasks and workers of one owner.
//! * [`worker`]: an owner's state of one worker.
//! * [`footprint`]: memory that jobs occupy.
//! * [`job`]: a job's tasks and phases.
//! * [`order`]: orders to workers and their outcomes.
//! * [`store_reads`]: when an instance reads the store.
//! * [`limits`]: timeouts and other limits.
//!
//! The modules do no I/O and read no clock: methods take the current time, in
//! milliseconds of a monotonic clock, and append commands to a vector.

pub mod declaration_transfer;
pub mod entry;
pub mod fence;
pub mod footprint;
pub mod job;
pub mod limits;
pub mod link;
pub mod order;
pub mod owner;
pub mod ownership;
pub mod pool;
pub mod retirement;
pub mod store_reads;
pub mod worker;
