//! Runtime of one instance on a platform with fenced workers.
//!
//! The scheduling decisions are made in [`trefoil_core::dispatch`], which does no
//! I/O. This crate provides the clock, the timers and the links between instances,
//! and carries out the decisions. Platforms are accessed through the traits of
//! [`platform`].
//!
//! * [`accept`]: accepts connections, with a delay after each failure.
//! * [`clock`]: monotonic clock that includes suspensions.
//! * [`platform`]: interfaces to the platform's store and workers.
//! * [`connections`]: limits on callers' connections.
//! * [`declarations`]: routes and services in force.
//! * [`settings`]: loading and validation of instance settings.
//! * [`instance`]: state and event handling of one instance.
//! * [`links`]: connections between instances.
//! * [`store_polling`]: periodic reads of the store, and registration.
//! * [`log`]: structured logging through a bounded buffer.
//! * [`memory_budget`]: limit on the memory in use for one purpose.
//! * [`metrics`]: Prometheus metrics.
//! * [`resource_limits`]: division of memory and descriptors among their uses.

pub mod accept;
pub mod clock;
pub mod connections;
pub mod declarations;
pub mod instance;
pub(crate) mod links;
pub mod log;
pub(crate) mod memory_budget;
pub mod metrics;
pub mod platform;
pub mod resource_limits;
pub mod settings;
pub mod store_polling;
