//! A span for each hop of a request.
//!
//! Only the caller's hop starts a trace, and whether it does is drawn before
//! anything is built: a request that is not traced costs one random number and
//! no allocation. Later hops follow their parent.

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

/// HTTP header that carries a [`TraceParent`].
pub const TRACEPARENT: &str = "traceparent";
/// Bytes of a version 0 header; later versions may only be longer.
const TRACEPARENT_BYTES: usize = 55;
const PERCENT: u32 = 100;

/// Where a span is taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Hop {
    /// A caller's request, from its arrival to its answer.
    Caller,
    /// A checked submission on its way through the instance that took it, up
    /// to the job's answer.
    Entry,
    /// A request to another instance, from its sending to its answer.
    Peer,
    /// The same at the other instance, from its arrival to the answer's sending.
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

/// What one hop hands to the next, the `traceparent` of W3C Trace Context.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TraceParent {
    trace: TraceId,
    span: SpanId,
    is_sampled: bool,
}

impl TraceParent {
    /// Reads a header; `None` where it is not valid, as the standard asks.
    pub fn parse(text: &str) -> Option<Self> {
        if text.len() < TRACEPARENT_BYTES {
            return None;
        }
        let propagator = TraceContextPropagator::new();
        let context = propagator.extract_with_context(&Context::new(), &Header(text));
        let span = context.span();
        let found = span.span_context();
        found.is_valid().then(|| Self::of(found))
    }

    fn of(context: &SpanContext) -> Self {
        Self {
            trace: context.trace_id(),
            span: context.span_id(),
            is_sampled: context.is_sampled(),
        }
    }

    /// Whether spans are taken for this trace.
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

/// One header value, for the propagator.
struct Header<'a>(&'a str);

impl Extractor for Header<'_> {
    fn get(&self, key: &str) -> Option<&str> {
        (key == TRACEPARENT).then_some(self.0)
    }

    fn keys(&self) -> Vec<&str> {
        vec![TRACEPARENT]
    }
}

/// Takes spans, or none.
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
    /// Takes no spans; a caller's `traceparent` is still passed on.
    pub fn disabled() -> Self {
        Self { source: None }
    }

    /// Takes spans for `sample_percent` of the requests that come without a
    /// trace, and for those whose caller samples.
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

    /// A span for one hop, ended when it is dropped.
    ///
    /// Without a parent, [`Hop::Caller`] draws whether to start a trace, and
    /// other hops take no span.
    pub fn span(&self, hop: Hop, parent: Option<TraceParent>) -> HopSpan {
        let Some(source) = &self.source else {
            return HopSpan::not_recording(parent);
        };
        let is_recording = match parent {
            Some(parent) => parent.is_sampled,
            None => hop == Hop::Caller && source.draw(),
        };
        match is_recording {
            true => HopSpan::recording(source, hop, parent),
            false => HopSpan::not_recording(parent),
        }
    }

    /// Sends what is pending; blocks.
    pub(super) fn shutdown(&self) {
        if let Some(source) = &self.source {
            // A collector that is away costs the last spans, nothing else.
            drop(source.provider.shutdown());
        }
    }
}

impl Source {
    fn draw(&self) -> bool {
        match self.sample_percent {
            0 => false,
            PERCENT.. => true,
            percent => rand::random_range(0..PERCENT) < percent,
        }
    }
}

/// The span of one hop; costs nothing where it is not taken.
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
            parent: Some(TraceParent::of(span.span_context())),
            span: Some(Box::new(span)),
        }
    }

    /// What the next hop takes as its parent.
    pub fn trace_parent(&self) -> Option<TraceParent> {
        self.parent
    }

    /// The header for the next hop; `incoming` is passed on untouched where this
    /// span is not taken.
    pub fn outgoing_traceparent(&self, incoming: Option<Arc<str>>) -> Option<Arc<str>> {
        match self.parent.filter(|_| self.is_recording()) {
            Some(parent) => Some(parent.to_string().into()),
            None => incoming,
        }
    }

    /// Whether attributes are kept; skip work for them otherwise.
    pub fn is_recording(&self) -> bool {
        self.span.is_some()
    }

    /// Adds an attribute.
    pub fn set_attribute(&mut self, name: &'static str, value: impl Into<Value>) {
        if let Some(span) = &mut self.span {
            span.set_attribute(KeyValue::new(name, value));
        }
    }

    /// Marks the hop as failed.
    pub fn set_error(&mut self, detail: &str) {
        if let Some(span) = &mut self.span {
            span.set_status(Status::error(detail.to_owned()));
        }
    }
}

/// Marks a hop whose request was refused or whose job did not complete.
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
