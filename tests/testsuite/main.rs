//! End-to-end tests by feature, each a small project of real processes.

mod links;
mod support;

mod ctl;
mod ctl_operator;
mod ctl_rollout;
