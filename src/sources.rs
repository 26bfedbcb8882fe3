//! External sources of the configuration and of the list of instances.

mod backoff;
pub mod config;
pub mod instances;
pub mod platform;
