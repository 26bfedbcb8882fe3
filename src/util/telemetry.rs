//! Metrics and traces by OpenTelemetry.
