//! End-to-end tests by feature, each a small project of real processes.

mod daemon;
mod settings;
mod support;
mod telemetry;
