//! End-to-end tests by feature, each a small project of real processes.

mod caller;
mod ctl;
mod ctl_rollout;
mod links;
mod operator;
mod operator_sources;
mod support;
mod workers;
mod daemon;
mod settings;
mod support;
mod telemetry;
