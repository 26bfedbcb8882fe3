//! One instance on a platform with fenced workers.
//!
//! The decisions are in [`trefoil_core::dispatch`]; this crate gives them
//! clocks, timers and links between instances. What differs between platforms
//! comes in by the traits of [`edge`].
//!
//! * [`clock`]: the clock by which the age of what is known is judged.
//! * [`edge`]: the platform's store and its workers, as the product sees them.
//! * [`declarations`]: routes and services in force.
//! * [`settings`]: the checked settings of an instance.
//! * [`instance`]: the state of one instance and what changes it.
//! * [`links`]: connections between instances.
//! * [`feeds`]: what is read from the store, and when.
//! * [`log`]: lines on standard output, bounded.
//! * [`metrics`]: counters and latency histograms.

pub mod clock;
pub mod declarations;
pub mod instance;
pub mod links;
pub mod log;
pub mod metrics;
pub mod platform;
pub mod settings;
pub mod store_polling;
