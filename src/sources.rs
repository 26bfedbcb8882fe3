//! Outside systems that configuration and membership come from.

pub mod backoff;
pub mod config;
pub mod instances;
pub mod platform;
