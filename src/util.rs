//! Settings, logs and telemetry.

pub mod log;
pub mod settings;
pub mod telemetry;
