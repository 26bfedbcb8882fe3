//! End-to-end tests by feature, each a small project of real processes.

mod caller;
mod support;
mod workers;
