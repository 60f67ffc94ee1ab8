//! Traces, a span per hop, by the opentelemetry crates (`docs/TRACES.md` shows a trace).
//!
//! A hop notes plain times while it works and records its span once it is over, so that the pure
//! decisions need no clock and nothing is held open for a trace. The spans leave by OTLP over HTTP
//! where [`open`] was called; elsewhere [`Hop::first`] and [`Hop::below`] give nothing after one
//! look at an unset cell, and a caller's `traceparent` passes through untouched.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::OnceLock;
use std::time;

use compact_str::{format_compact, CompactString};
use opentelemetry::propagation::TextMapPropagator;
use opentelemetry::trace::{
    SpanContext, SpanId, SpanKind, Status, TraceContextExt, TraceFlags, TraceId, TraceState,
};
use opentelemetry::{Context, InstrumentationScope, KeyValue, Value};
use opentelemetry_otlp::{SpanExporter, WithExportConfig};
use opentelemetry_sdk::propagation::TraceContextPropagator;
use opentelemetry_sdk::trace::{SpanData, SpanEvents, SpanExporter as _, SpanLinks};
use opentelemetry_sdk::Resource;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use xxhash_rust::xxh3;

use crate::code;

/// Header: W3C trace context.
pub const TRACEPARENT: &str = "traceparent";

/// Longest trace context that is passed on, in bytes; version 00 has 55.
pub const MAX_TRACEPARENT: usize = 128;

/// Path of traces under an OTLP receiver's address.
const PATH: &str = "/v1/traces";

/// Spans that wait for the exporter; more are dropped and counted.
const MAX_WAITING: usize = 16_384;

/// Most spans in one export.
const MAX_BATCH: usize = 512;

/// How long spans are gathered before they leave.
const GATHER: time::Duration = time::Duration::from_millis(500);

/// Longest that one export may take; a slow receiver costs spans, never answers.
const EXPORT_LIMIT: time::Duration = time::Duration::from_secs(5);

/// Where finished spans go; set once in a process that exports them.
static SINK: OnceLock<Sink> = OnceLock::new();

struct Sink {
    tx: mpsc::Sender<Message>,
    share: f64,
    dropped: AtomicU64,
}

enum Message {
    Span(Box<SpanData>),
    Flush,
}

/// What spans are exported with.
#[derive(Clone, Debug)]
pub struct Config {
    /// The OTLP receiver's address, such as `http://127.0.0.1:4318`.
    pub url: String,
    /// Which part of the system this process is.
    pub service: &'static str,
    /// Names the process among others of its service.
    pub instance: CompactString,
    /// Share of the submissions without a `traceparent` that get a trace, from 0 to 1.
    pub share: f64,
}

/// The running export of spans.
pub struct Exporter {
    tx: mpsc::Sender<Message>,
    exporting: JoinHandle<()>,
}

/// Starts exporting the spans of this process.
///
/// # Errors
///
/// Returns an error where the address can't be used, or where spans are exported already.
pub fn open(cfg: Config) -> anyhow::Result<Exporter> {
    let endpoint = format!("{}{PATH}", cfg.url.trim_end_matches('/'));
    let builder = SpanExporter::builder().with_http().with_endpoint(endpoint);
    let mut exporter = builder.with_timeout(EXPORT_LIMIT).build()?;
    let instance = KeyValue::new("service.instance.id", cfg.instance.to_string());
    let resource = Resource::builder_empty()
        .with_service_name(cfg.service)
        .with_attribute(instance)
        .build();
    exporter.set_resource(&resource);
    let (tx, rx) = mpsc::channel(MAX_WAITING);
    let sink = Sink {
        tx: tx.clone(),
        share: cfg.share,
        dropped: AtomicU64::new(0),
    };
    if SINK.set(sink).is_err() {
        anyhow::bail!("the spans of this process are exported already");
    }
    let exporting = tokio::spawn(export(exporter, rx));
    Ok(Exporter { tx, exporting })
}

impl Exporter {
    /// Sends what waits and ends the export.
    pub async fn stop(self) {
        if self.tx.send(Message::Flush).await.is_ok() {
            let _ = tokio::time::timeout(2 * EXPORT_LIMIT, self.exporting).await;
        }
    }
}

async fn export(exporter: SpanExporter, mut rx: mpsc::Receiver<Message>) {
    let mut batch = Vec::new();
    while let Some(first) = rx.recv().await {
        let more = gather(first, &mut rx, &mut batch).await;
        let spans = std::mem::take(&mut batch);
        if !spans.is_empty() {
            if let Err(e) = exporter.export(spans).await {
                log::warn!("spans can't be exported: {e}");
            }
        }
        if !more {
            return;
        }
    }
}

/// Gathers a batch. Tells whether there will be another.
async fn gather(
    first: Message,
    rx: &mut mpsc::Receiver<Message>,
    batch: &mut Vec<SpanData>,
) -> bool {
    let until = tokio::time::Instant::now() + GATHER;
    let mut next = Some(first);
    while let Some(message) = next {
        match message {
            Message::Span(span) => batch.push(*span),
            Message::Flush => return false,
        }
        if batch.len() >= MAX_BATCH {
            return true;
        }
        next = tokio::time::timeout_at(until, rx.recv())
            .await
            .ok()
            .flatten();
    }
    true
}

/// Tells whether spans of this process are exported.
pub fn is_on() -> bool {
    SINK.get().is_some()
}

/// Spans of this process that were dropped because their receiver was behind.
pub fn dropped() -> u64 {
    SINK.get()
        .map_or(0, |sink| sink.dropped.load(Ordering::Relaxed))
}

/// What a span is seen from outside.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// It answers a request that came from another process.
    Server,
    /// It waits for an answer of another process.
    Client,
    /// It stays inside the process.
    Internal,
}

/// A span that is over.
#[derive(Clone, Debug)]
pub struct Span {
    /// Which hop or wait it is.
    pub name: &'static str,
    /// What it is seen from outside.
    pub kind: Kind,
    /// When it began.
    pub begun: time::Instant,
    /// When it ended.
    pub ended: time::Instant,
    /// What tells it from others.
    pub attributes: Vec<(&'static str, CompactString)>,
    /// The code with which it failed, if it did.
    pub failure: Option<code::Code>,
}

/// One hop of a trace that is recorded here: its span's ids and its parent's.
#[derive(Clone, Copy, Debug)]
pub struct Hop {
    trace: TraceId,
    span: SpanId,
    parent: SpanId,
    remote: bool,
}

impl Hop {
    /// The first hop of the system, below the caller's span if the caller sent one.
    ///
    /// Nothing where spans aren't exported, or where the caller's trace isn't recorded.
    pub fn first(traceparent: Option<&str>) -> Option<Hop> {
        let sink = SINK.get()?;
        match traceparent.and_then(read) {
            Some(parent) => Hop::of(&parent, rand::random()),
            None if rand::random::<f64>() < sink.share => Some(Hop::root()),
            None => None,
        }
    }

    /// A hop below the one that a `traceparent` names; nothing where spans aren't exported.
    pub fn below(traceparent: Option<&str>) -> Option<Hop> {
        SINK.get()?;
        Hop::of(&read(traceparent?)?, rand::random())
    }

    /// As [`Hop::below`], with an id that is the same whenever it is asked for with this salt, so
    /// that nobody has to keep it until the span is recorded.
    pub fn derived(traceparent: Option<&str>, salt: &[u8]) -> Option<Hop> {
        SINK.get()?;
        let parent = read(traceparent?)?;
        let seed = xxh3::xxh3_64(&parent.span_id().to_bytes());
        Hop::of(&parent, xxh3::xxh3_64_with_seed(salt, seed))
    }

    fn of(parent: &SpanContext, id: u64) -> Option<Hop> {
        parent.is_sampled().then(|| Hop {
            trace: parent.trace_id(),
            span: SpanId::from(id.max(1)),
            parent: parent.span_id(),
            remote: true,
        })
    }

    fn root() -> Hop {
        Hop {
            trace: TraceId::from(rand::random::<u128>().max(1)),
            span: SpanId::from(rand::random::<u64>().max(1)),
            parent: SpanId::INVALID,
            remote: false,
        }
    }

    /// A span inside this one, in the same process.
    pub fn child(&self) -> Hop {
        Hop {
            trace: self.trace,
            span: SpanId::from(rand::random::<u64>().max(1)),
            parent: self.span,
            remote: false,
        }
    }

    /// What the next hop is sent, so that its span stands below this one.
    pub fn traceparent(&self) -> CompactString {
        format_compact!("00-{}-{}-01", self.trace, self.span)
    }

    /// Records the span. One for which there is no room is dropped and counted.
    pub fn record(self, span: Span) {
        let Some(sink) = SINK.get() else {
            return;
        };
        let message = Message::Span(Box::new(self.data(span)));
        if sink.tx.try_send(message).is_err() {
            sink.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn data(self, span: Span) -> SpanData {
        let (wall, now) = (time::SystemTime::now(), time::Instant::now());
        let at = |moment| wall - now.saturating_duration_since(moment);
        let attribute = |(key, value): (&'static str, CompactString)| {
            KeyValue::new(key, Value::from(value.into_string()))
        };
        let mut attributes: Vec<_> = span.attributes.into_iter().map(attribute).collect();
        let status = match span.failure {
            Some(code) => {
                attributes.push(KeyValue::new("code", code.to_string()));
                Status::error(code.advice())
            }
            None => Status::Unset,
        };
        let flags = TraceFlags::SAMPLED;
        let state = TraceState::default();
        SpanData {
            span_context: SpanContext::new(self.trace, self.span, flags, false, state),
            parent_span_id: self.parent,
            parent_span_is_remote: self.remote,
            span_kind: match span.kind {
                Kind::Server => SpanKind::Server,
                Kind::Client => SpanKind::Client,
                Kind::Internal => SpanKind::Internal,
            },
            name: span.name.into(),
            start_time: at(span.begun),
            end_time: at(span.ended),
            attributes,
            dropped_attributes_count: 0,
            events: SpanEvents::default(),
            links: SpanLinks::default(),
            status,
            instrumentation_scope: InstrumentationScope::builder("lovagemill").build(),
        }
    }
}

/// Reads a `traceparent`; nothing where it is malformed.
fn read(traceparent: &str) -> Option<SpanContext> {
    let carrier = HashMap::from([(TRACEPARENT.to_owned(), traceparent.to_owned())]);
    let cx = TraceContextPropagator::new().extract_with_context(&Context::new(), &carrier);
    let context = cx.span().span_context().clone();
    context.is_valid().then_some(context)
}
