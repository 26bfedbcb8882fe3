//! HTTP APIs for callers and operators.

pub mod body_budget;
pub mod caller;
pub mod connections;
pub mod operator;
pub mod problem;
