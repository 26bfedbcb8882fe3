//! Settings, logs and telemetry.

pub mod clock;
pub mod log;
pub mod settings;
pub mod telemetry;
