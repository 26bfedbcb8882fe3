//! Settings, logging, telemetry and clocks.

pub mod clock;
pub mod log;
pub mod settings;
pub mod telemetry;
