//! Metrics and traces with OpenTelemetry.
//!
//! Metrics are always collected and served in the Prometheus text format. If an
//! OTLP endpoint is configured, metrics and traces are exported to it.

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

/// Upper bound of the final export at shutdown.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(1000);
const SERVICE_NAME: &str = "trefoild";
/// Instrumentation scope of instruments and spans.
const SCOPE: &str = "trefoilbay";

/// An error at the start of telemetry or when metrics are rendered.
#[expect(missing_docs, reason = "most fields explain themselves")]
#[derive(Debug, Display, Error)]
pub enum TelemetryError {
    /// The Prometheus exporter could not be registered.
    #[display("cannot set up the Prometheus exporter: {source}")]
    Prometheus { source: OTelSdkError },
    /// Metrics could not be encoded as text.
    #[display("cannot encode metrics: {source}")]
    Encode { source: prometheus::Error },
    /// The OTLP exporter could not be built.
    #[display("cannot export to {endpoint}: {source}; hint: check telemetry.otlp_endpoint")]
    Export {
        endpoint: String,
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
    /// Starts telemetry as configured. With an OTLP endpoint, this must be called
    /// within a tokio runtime.
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

    /// Like [`Self::start`], with spans created by `traces`.
    pub fn with_traces(settings: &Settings, traces: Traces) -> Result<Self, TelemetryError> {
        let registry = Registry::new();
        let prometheus = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .map_err(|source| TelemetryError::Prometheus { source })?;
        let meters = SdkMeterProvider::builder()
            .with_resource(resource(settings))
            .with_reader(prometheus);
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

    /// The metric instruments.
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Starts a span for a hop; see [`Traces::span`].
    pub fn span(&self, hop: Hop, parent: Option<TraceParent>) -> HopSpan {
        self.traces.span(hop, parent)
    }

    /// Starts a span whose parent is in a `traceparent` header; see [`Traces::span`].
    pub fn span_from_header(&self, hop: Hop, header: Option<&str>) -> HopSpan {
        self.span(hop, header.and_then(TraceParent::parse))
    }

    /// Renders the metrics in the Prometheus text format.
    pub fn metrics_page(&self) -> Result<String, TelemetryError> {
        let mut text = Vec::new();
        TextEncoder::new()
            .encode(&self.registry.gather(), &mut text)
            .map_err(|source| TelemetryError::Encode { source })?;
        Ok(String::from_utf8_lossy(&text).into_owned())
    }

    /// Exports pending metrics and spans within `limit`. To be called once, at the end.
    pub async fn shutdown(&self, limit: Duration) {
        let (meters, traces) = (self.meters.clone(), self.traces.clone());
        // The providers block while they export.
        let export = tokio::task::spawn_blocking(move || {
            traces.shutdown();
            meters.shutdown()
        });
        drop(tokio::time::timeout(SHUTDOWN_TIMEOUT.min(limit), export).await);
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
