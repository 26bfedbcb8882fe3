//! Trace spans for the hops of a request.
//!
//! Only the caller's hop starts a trace. The sampling decision precedes building a
//! span, so that a request that is not sampled costs one random number and no
//! allocation. Later hops follow their parent's decision.

use std::fmt;
use std::sync::Arc;

use opentelemetry::propagation::{Extractor, TextMapPropagator};
use opentelemetry::trace::{
    Span, SpanContext, SpanId, SpanKind, Status, TraceContextExt, TraceFlags, TraceId, TraceState,
    Tracer, TracerProvider,
};
use opentelemetry::{Context, KeyValue, Value};
use opentelemetry_sdk::propagation::TraceContextPropagator;
use opentelemetry_sdk::trace::{SdkTracer, SdkTracerProvider};
use trefoil_core::engine::JobAnswer;

use super::SCOPE;

/// HTTP header with a [`TraceParent`].
pub const TRACEPARENT: &str = "traceparent";
/// Length of a version 0 header; later versions are at least as long.
const TRACEPARENT_BYTES_MIN: usize = 55;
const PERCENT: u32 = 100;

/// A hop of a request that has its own span.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Hop {
    /// A caller's request, from arrival to response.
    Caller,
    /// A validated submission at the instance that accepted it, until the job's answer.
    Entry,
    /// A request to another instance, from sending it to receiving its answer.
    Peer,
    /// A request from another instance, from receiving it to sending its answer.
    PeerServer,
    /// One placement of a task on a backend server.
    BackendServer,
}

impl Hop {
    fn name(self) -> &'static str {
        match self {
            Self::Caller => "caller",
            Self::Entry => "entry",
            Self::Peer | Self::PeerServer => "peer",
            Self::BackendServer => "backend_server",
        }
    }

    fn kind(self) -> SpanKind {
        match self {
            Self::Caller | Self::PeerServer => SpanKind::Server,
            Self::Entry => SpanKind::Internal,
            Self::Peer | Self::BackendServer => SpanKind::Client,
        }
    }
}

/// The `traceparent` of W3C Trace Context, which a hop passes to the next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TraceParent {
    trace: TraceId,
    span: SpanId,
    is_sampled: bool,
}

impl TraceParent {
    /// Parses a header; returns `None` if it is invalid.
    pub fn parse(text: &str) -> Option<Self> {
        if text.len() < TRACEPARENT_BYTES_MIN {
            return None;
        }
        let propagator = TraceContextPropagator::new();
        let context = propagator.extract_with_context(&Context::new(), &Header(text));
        let span = context.span();
        let found = span.span_context();
        found.is_valid().then(|| Self::from_context(found))
    }

    fn from_context(context: &SpanContext) -> Self {
        Self {
            trace: context.trace_id(),
            span: context.span_id(),
            is_sampled: context.is_sampled(),
        }
    }

    /// Whether the trace is sampled.
    pub fn is_sampled(self) -> bool {
        self.is_sampled
    }

    fn context(self) -> Context {
        let flags = TraceFlags::default().with_sampled(self.is_sampled);
        let state = TraceState::default();
        let remote = SpanContext::new(self.trace, self.span, flags, true, state);
        Context::new().with_remote_span_context(remote)
    }
}

impl fmt::Display for TraceParent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let flags = u8::from(self.is_sampled);
        write!(f, "00-{}-{}-{flags:02x}", self.trace, self.span)
    }
}

/// Adapts a header value to the propagator.
struct Header<'a>(&'a str);

impl Extractor for Header<'_> {
    fn get(&self, key: &str) -> Option<&str> {
        (key == TRACEPARENT).then_some(self.0)
    }

    fn keys(&self) -> Vec<&str> {
        vec![TRACEPARENT]
    }
}

/// Creates the spans of an instance, if tracing is enabled.
#[derive(Clone, Debug)]
pub struct Traces {
    source: Option<Source>,
}

#[derive(Clone, Debug)]
struct Source {
    provider: SdkTracerProvider,
    tracer: SdkTracer,
    sample_percent: u32,
}

impl Traces {
    /// Creates no spans; a caller's `traceparent` is still propagated.
    pub fn disabled() -> Self {
        Self { source: None }
    }

    /// Samples `sample_percent` of the requests that arrive without a trace, and all
    /// those whose parent is sampled.
    pub fn new(provider: SdkTracerProvider, sample_percent: u32) -> Self {
        let tracer = provider.tracer(SCOPE);
        Self {
            source: Some(Source {
                provider,
                tracer,
                sample_percent,
            }),
        }
    }

    /// Starts a span, which ends when it is dropped.
    ///
    /// Without a parent, [`Hop::Caller`] may start a trace, as sampled, and other hops
    /// record no span.
    pub fn span(&self, hop: Hop, parent: Option<TraceParent>) -> HopSpan {
        let Some(source) = &self.source else {
            return HopSpan::not_recording(parent);
        };
        let is_recording = match parent {
            Some(parent) => parent.is_sampled,
            None => hop == Hop::Caller && source.should_sample(),
        };
        match is_recording {
            true => HopSpan::recording(source, hop, parent),
            false => HopSpan::not_recording(parent),
        }
    }

    /// Exports pending spans; blocks.
    pub(super) fn shutdown(&self) {
        if let Some(source) = &self.source {
            // If the collector is unreachable, the last spans are lost.
            drop(source.provider.shutdown());
        }
    }
}

impl Source {
    fn should_sample(&self) -> bool {
        match self.sample_percent {
            0 => false,
            PERCENT.. => true,
            percent => rand::random_range(0..PERCENT) < percent,
        }
    }
}

/// The span of a hop, or a no-op if the trace is not sampled.
#[derive(Debug, Default)]
pub struct HopSpan {
    parent: Option<TraceParent>,
    span: Option<Box<opentelemetry_sdk::trace::Span>>,
}

impl HopSpan {
    fn not_recording(parent: Option<TraceParent>) -> Self {
        Self { parent, span: None }
    }

    fn recording(source: &Source, hop: Hop, parent: Option<TraceParent>) -> Self {
        let builder = source.tracer.span_builder(hop.name()).with_kind(hop.kind());
        let context = parent.map_or_else(Context::new, TraceParent::context);
        let span = source.tracer.build_with_context(builder, &context);
        Self {
            parent: Some(TraceParent::from_context(span.span_context())),
            span: Some(Box::new(span)),
        }
    }

    /// The parent of the next hop's span.
    pub fn trace_parent(&self) -> Option<TraceParent> {
        self.parent
    }

    /// The header for the next hop; `incoming` is propagated unchanged if this span is
    /// not recording.
    pub fn outgoing_traceparent(&self, incoming: Option<Arc<str>>) -> Option<Arc<str>> {
        match self.parent.filter(|_| self.is_recording()) {
            Some(parent) => Some(parent.to_string().into()),
            None => incoming,
        }
    }

    /// Whether attributes are recorded; callers can skip computing them otherwise.
    pub fn is_recording(&self) -> bool {
        self.span.is_some()
    }

    /// Sets an attribute, if the span is recording.
    pub fn set_attribute(&mut self, name: &'static str, value: impl Into<Value>) {
        if let Some(span) = &mut self.span {
            span.set_attribute(KeyValue::new(name, value));
        }
    }

    /// Sets the span's status to an error.
    pub fn set_error(&mut self, detail: &str) {
        if let Some(span) = &mut self.span {
            span.set_status(Status::error(detail.to_owned()));
        }
    }
}

/// Sets the span's status to an error if the request was refused or the job failed.
pub fn record_answer(span: &mut HopSpan, answer: &JobAnswer) {
    if !span.is_recording() {
        return;
    }
    match answer {
        JobAnswer::Refused(refusal) => span.set_error(&refusal.reason.to_string()),
        JobAnswer::Known { reason, .. } if !reason.is_empty() => span.set_error(reason),
        JobAnswer::Known { .. } => {}
    }
}
