//! End-to-end tests by feature, each a small project of real processes.

mod caller;
mod ctl;
mod ctl_rollout;
mod links;
mod support;
mod workers;
