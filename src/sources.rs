//! External sources of the configuration and of the list of instances.

pub mod backoff;
pub mod config;
pub mod instances;
pub mod platform;
