//! Metrics and traces by OpenTelemetry.

use std::time::Duration;

use derive_more::{Display, Error};
use opentelemetry_sdk::Resource;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};
use trefoil_schema::settings::Settings;

/// Longest wait for what is pending at the stop.
const STOP_MAX: Duration = Duration::from_millis(1000);
const SERVICE_NAME: &str = "trefoild";

/// Why telemetry cannot start or report.
#[derive(Debug, Display, Error)]
pub enum TelemetryError {
    /// The Prometheus exporter refused the registry.
    #[display("cannot start the metrics page: {source}")]
    Page {
        /// What the exporter said.
        source: opentelemetry_sdk::error::OTelSdkError,
    },
    /// The registry could not be written as text.
    #[display("cannot write the metrics page: {source}")]
    Encode {
        /// What the encoder said.
        source: prometheus::Error,
    },
}

/// The providers of one instance.
#[derive(Clone, Debug)]
pub struct Telemetry {
    registry: Registry,
    meters: SdkMeterProvider,
}

impl Telemetry {
    /// Starts the providers that `settings` ask for.
    pub fn start(settings: &Settings) -> Result<Self, TelemetryError> {
        let registry = Registry::new();
        let page = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .map_err(|source| TelemetryError::Page { source })?;
        let meters = SdkMeterProvider::builder()
            .with_resource(resource(settings))
            .with_reader(page)
            .build();
        Ok(Self { registry, meters })
    }

    /// The metrics as a Prometheus text page.
    pub fn page(&self) -> Result<String, TelemetryError> {
        let mut text = Vec::new();
        TextEncoder::new()
            .encode(&self.registry.gather(), &mut text)
            .map_err(|source| TelemetryError::Encode { source })?;
        Ok(String::from_utf8_lossy(&text).into_owned())
    }

    /// Sends what is pending, within `limit`; called once, last.
    pub async fn stop(&self, limit: Duration) {
        let meters = self.meters.clone();
        let sent = tokio::task::spawn_blocking(move || meters.shutdown());
        drop(tokio::time::timeout(STOP_MAX.min(limit), sent).await);
    }
}

fn resource(settings: &Settings) -> Resource {
    use opentelemetry::KeyValue;
    Resource::builder()
        .with_service_name(SERVICE_NAME)
        .with_attribute(KeyValue::new(
            "service.instance.id",
            settings.instance.clone(),
        ))
        .with_attribute(KeyValue::new(
            "failure_domain",
            settings.failure_domain.clone(),
        ))
        .build()
}
