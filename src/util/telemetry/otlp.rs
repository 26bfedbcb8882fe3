//! Export to a collector with OTLP over HTTP, on the tokio runtime.

use std::time::Duration;

use opentelemetry_otlp::{MetricExporter, SpanExporter, WithExportConfig};
use opentelemetry_sdk::Resource;
use opentelemetry_sdk::metrics::periodic_reader_with_async_runtime::PeriodicReader;
use opentelemetry_sdk::runtime::Tokio;
use opentelemetry_sdk::trace::span_processor_with_async_runtime::BatchSpanProcessor;
use opentelemetry_sdk::trace::{Sampler, SdkTracerProvider};
use trefoil_schema::settings::Settings;

use super::TelemetryError;

const TRACES_PATH: &str = "/v1/traces";
const METRICS_PATH: &str = "/v1/metrics";
const EXPORT_TIMEOUT: Duration = Duration::from_secs(5);

/// Builds a tracer provider that exports spans in batches.
pub(super) fn tracer_provider(
    settings: &Settings,
    resource: Resource,
) -> Result<SdkTracerProvider, TelemetryError> {
    let exporter = SpanExporter::builder()
        .with_http()
        .with_endpoint(url(settings, TRACES_PATH))
        .with_timeout(EXPORT_TIMEOUT)
        .build()
        .map_err(|source| export_error(settings, source))?;
    let processor = BatchSpanProcessor::builder(exporter, Tokio).build();
    Ok(SdkTracerProvider::builder()
        .with_resource(resource)
        .with_sampler(sampler())
        .with_span_processor(processor)
        .build())
}

/// Samples children as their parent. New traces are sampled before a span is built: see [`super::trace::Traces::span`].
fn sampler() -> Sampler {
    Sampler::ParentBased(Box::new(Sampler::AlwaysOn))
}

/// Builds a reader that exports metrics periodically.
pub(super) fn metric_reader(
    settings: &Settings,
) -> Result<PeriodicReader<MetricExporter>, TelemetryError> {
    let exporter = MetricExporter::builder()
        .with_http()
        .with_endpoint(url(settings, METRICS_PATH))
        .with_timeout(EXPORT_TIMEOUT)
        .build()
        .map_err(|source| export_error(settings, source))?;
    let period = Duration::from_millis(settings.telemetry.export_period_ms);
    Ok(PeriodicReader::builder(exporter, Tokio)
        .with_interval(period)
        .build())
}

fn url(settings: &Settings, path: &str) -> String {
    let base = settings.telemetry.otlp_endpoint.trim_end_matches('/');
    format!("{base}{path}")
}

fn export_error(
    settings: &Settings,
    source: opentelemetry_otlp::ExporterBuildError,
) -> TelemetryError {
    TelemetryError::Export {
        endpoint: settings.telemetry.otlp_endpoint.clone(),
        source,
    }
}
