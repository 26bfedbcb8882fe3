//! End-to-end tests by feature, each a small project of real processes.

mod caller;
mod caller_overhead;
mod support;
mod workers;
