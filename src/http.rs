//! HTTP APIs for callers and operators.

pub mod caller;
pub mod operator;
pub mod problem;
