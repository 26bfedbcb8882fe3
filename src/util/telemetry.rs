//! Metrics and traces by OpenTelemetry.
//!
//! Metrics are always collected and shown as a Prometheus page; with a
//! collector's address they are pushed as well, and traces are taken.

pub mod metrics;
mod otlp;
pub mod totals;
pub mod trace;

use std::time::Duration;

use derive_more::{Display, Error};
use opentelemetry::KeyValue;
use opentelemetry::metrics::MeterProvider;
use opentelemetry_otlp::ExporterBuildError;
use opentelemetry_sdk::Resource;
use opentelemetry_sdk::error::OTelSdkError;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};
use trefoil_schema::settings::Settings;

use metrics::Metrics;
use trace::{Hop, HopSpan, TraceParent, Traces};

/// Longest wait for what is pending at the stop.
const STOP_MAX: Duration = Duration::from_millis(1000);
const SERVICE_NAME: &str = "trefoild";
/// Names the origin of instruments and spans.
const SCOPE: &str = "trefoilbay";

/// Why telemetry cannot start or report.
#[derive(Debug, Display, Error)]
pub enum TelemetryError {
    /// The Prometheus exporter refused the registry.
    #[display("cannot start the metrics page: {source}")]
    Page {
        /// What the exporter said.
        source: OTelSdkError,
    },
    /// The registry could not be written as text.
    #[display("cannot write the metrics page: {source}")]
    Encode {
        /// What the encoder said.
        source: prometheus::Error,
    },
    /// The collector's address does not work.
    #[display("cannot export to {endpoint}: {source}; hint: check telemetry.otlp_endpoint")]
    Export {
        /// The address asked for.
        endpoint: String,
        /// What the exporter said.
        source: ExporterBuildError,
    },
}

/// Metrics and traces of one instance.
#[derive(Clone, Debug)]
pub struct Telemetry {
    registry: Registry,
    meters: SdkMeterProvider,
    metrics: Metrics,
    traces: Traces,
}

impl Telemetry {
    /// Starts what `settings` ask for; with a collector's address this must be
    /// called on a tokio runtime.
    pub fn start(settings: &Settings) -> Result<Self, TelemetryError> {
        let traces = match settings.telemetry.otlp_endpoint.as_str() {
            "" => Traces::disabled(),
            _ => Traces::new(
                otlp::tracer_provider(settings, resource(settings))?,
                settings.telemetry.trace_sample_percent,
            ),
        };
        Self::with_traces(settings, traces)
    }

    /// As [`Self::start`], with spans handled by `traces`.
    pub fn with_traces(settings: &Settings, traces: Traces) -> Result<Self, TelemetryError> {
        let registry = Registry::new();
        let page = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .map_err(|source| TelemetryError::Page { source })?;
        let meters = SdkMeterProvider::builder()
            .with_resource(resource(settings))
            .with_reader(page);
        let meters = match settings.telemetry.otlp_endpoint.as_str() {
            "" => meters.build(),
            _ => meters.with_reader(otlp::metric_reader(settings)?).build(),
        };
        let metrics = Metrics::new(&meters.meter(SCOPE));
        Ok(Self {
            registry,
            meters,
            metrics,
            traces,
        })
    }

    /// The instance's counters.
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// A span for one hop; see [`Traces::span`].
    pub fn span(&self, hop: Hop, parent: Option<TraceParent>) -> HopSpan {
        self.traces.span(hop, parent)
    }

    /// A span for a hop whose parent is in a header; see [`Traces::span`].
    ///
    /// The header is read only if there is one.
    pub fn span_from_header(&self, hop: Hop, header: Option<&str>) -> HopSpan {
        self.span(hop, header.and_then(TraceParent::parse))
    }

    /// The metrics as a Prometheus text page.
    pub fn metrics_page(&self) -> Result<String, TelemetryError> {
        let mut text = Vec::new();
        TextEncoder::new()
            .encode(&self.registry.gather(), &mut text)
            .map_err(|source| TelemetryError::Encode { source })?;
        Ok(String::from_utf8_lossy(&text).into_owned())
    }

    /// Sends what is pending, within `limit`; called once, last.
    pub async fn shutdown(&self, limit: Duration) {
        let (meters, traces) = (self.meters.clone(), self.traces.clone());
        // The providers block while they send, which must not hold up tasks.
        let sent = tokio::task::spawn_blocking(move || {
            traces.shutdown();
            meters.shutdown()
        });
        drop(tokio::time::timeout(STOP_MAX.min(limit), sent).await);
    }
}

fn resource(settings: &Settings) -> Resource {
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
