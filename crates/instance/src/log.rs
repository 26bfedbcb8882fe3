//! Structured JSON logging to standard output.
//!
//! Records are queued in a bounded buffer that a writer thread drains; logging never
//! blocks. When the buffer is full, records are dropped and counted, and the next
//! record that passes is preceded by the count.
//!
//! Records on jobs, runs and workers come by the thousand a second, those on the
//! instance's own state (ownership, declarations, links) by the dozen. The former
//! never fill the buffer, so that a change of owner is logged however many jobs it
//! affects.

use std::io::{self, Write};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use slog::{Drain, IgnoreResult, Logger, Never, OwnedKVList, Record, o};
use slog_json::Json;

/// Tag of records on jobs, runs and workers, which are dropped first.
pub const WORK_TAG: &str = "work";

/// Capacity of the buffer: a second of a busy instance's records.
const BUFFER_BYTES_MAX: usize = 128 * 1024;
/// Buffer level above which records on work are dropped.
const ON_WORK_BYTES_MAX: usize = 96 * 1024;
/// Batching delay before a flush.
const FLUSH_DELAY: Duration = Duration::from_millis(200);
/// Stack of the writing thread.
const STACK_BYTES: usize = 64 * 1024;

#[derive(Debug, Default)]
struct Waiting {
    bytes: Vec<u8>,
    dropped: Dropped,
    closed: bool,
}

/// Lines dropped since the last that passed.
#[derive(Debug, Default)]
struct Dropped {
    on_work: u64,
    others: u64,
}

#[derive(Debug, Default)]
struct Buffer {
    waiting: Mutex<Waiting>,
    changed: Condvar,
}

impl Buffer {
    fn lock(&self) -> MutexGuard<'_, Waiting> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Gathers the pieces of one line, and appends it whole or drops it whole.
#[derive(Debug)]
struct Appender {
    buffer: Arc<Buffer>,
    line: Vec<u8>,
    kind: Kind,
}

/// What a line is on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    OnWork,
    Other,
}

impl Kind {
    /// Bytes that may wait together with a further line of this kind.
    fn bytes_max(self) -> usize {
        match self {
            Self::OnWork => ON_WORK_BYTES_MAX,
            Self::Other => BUFFER_BYTES_MAX,
        }
    }
}

impl Write for Appender {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    /// Comes at the end of each line.
    fn flush(&mut self) -> io::Result<()> {
        let mut waiting = self.buffer.lock();
        if waiting.bytes.len() + self.line.len() > self.kind.bytes_max() {
            waiting.dropped.count(self.kind);
        } else {
            if waiting.bytes.is_empty() {
                self.buffer.changed.notify_one();
            }
            waiting.tell_dropped();
            waiting.bytes.append(&mut self.line);
        }
        self.line.clear();
        Ok(())
    }
}

impl Dropped {
    fn count(&mut self, kind: Kind) {
        match kind {
            Kind::OnWork => self.on_work += 1,
            Kind::Other => self.others += 1,
        }
    }

    fn any(&self) -> bool {
        self.on_work + self.others > 0
    }
}

impl Waiting {
    fn tell_dropped(&mut self) {
        if !self.dropped.any() {
            return;
        }
        let Dropped { on_work, others } = std::mem::take(&mut self.dropped);
        let line =
            format!("{{\"msg\":\"lines dropped\",\"on_work\":{on_work},\"others\":{others}}}\n");
        self.bytes.extend_from_slice(line.as_bytes());
    }
}

/// Formats lines by their kind, each with a buffer for its own pieces.
struct ByKind {
    on_work: Formatter,
    others: Formatter,
}

/// Writing to a buffer in memory does not fail.
type Formatter = IgnoreResult<Mutex<Json<Appender>>>;

impl ByKind {
    fn new(buffer: &Arc<Buffer>) -> Self {
        Self {
            on_work: formatter(buffer, Kind::OnWork),
            others: formatter(buffer, Kind::Other),
        }
    }
}

impl Drain for ByKind {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), Never> {
        match record.tag() {
            WORK_TAG => self.on_work.log(record, values),
            _ => self.others.log(record, values),
        }
    }
}

fn formatter(buffer: &Arc<Buffer>, kind: Kind) -> Formatter {
    let appender = Appender {
        buffer: Arc::clone(buffer),
        line: Vec::new(),
        kind,
    };
    let json = Json::new(appender)
        .set_newlines(true)
        .set_flush(true)
        .add_key_value(o!(
            "ts_ms" => slog::FnValue(|_| unix_ms()),
            "level" => slog::FnValue(|record| record.level().as_short_str()),
            "msg" => slog::PushFnValue(|record, serializer| serializer.emit(record.msg())),
        ))
        .build();
    Mutex::new(json).ignore_res()
}

/// Writes what waits when dropped, and ends the writing thread.
#[derive(Debug)]
pub struct LogGuard {
    buffer: Arc<Buffer>,
    writer: Option<JoinHandle<()>>,
}

impl Drop for LogGuard {
    fn drop(&mut self) {
        self.buffer.lock().closed = true;
        self.buffer.changed.notify_one();
        if let Some(writer) = self.writer.take() {
            drop(writer.join());
        }
    }
}

/// The root logger, to standard output; each line carries the instance and its
/// failure domain.
///
/// # Errors
///
/// When the writing thread cannot be started.
pub fn root_logger(instance: &str, failure_domain: &str) -> io::Result<(Logger, LogGuard)> {
    root_logger_to(io::stdout(), instance, failure_domain)
}

/// The same, to `out`.
///
/// # Errors
///
/// When the writing thread cannot be started.
pub fn root_logger_to(
    out: impl Write + Send + 'static,
    instance: &str,
    failure_domain: &str,
) -> io::Result<(Logger, LogGuard)> {
    let buffer = Arc::new(Buffer::default());
    let shared = Arc::clone(&buffer);
    let writer = thread::Builder::new()
        .name("log".to_owned())
        .stack_size(STACK_BYTES)
        .spawn(move || write_out(&shared, out))?;
    let fields = o!(
        "instance" => instance.to_owned(),
        "failure_domain" => failure_domain.to_owned(),
    );
    let logger = Logger::root(ByKind::new(&buffer), fields);
    let guard = LogGuard {
        buffer,
        writer: Some(writer),
    };
    Ok((logger, guard))
}

/// Milliseconds since 1970, by the machine's time of day.
pub fn unix_ms() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

fn write_out(buffer: &Buffer, mut out: impl Write) {
    loop {
        let mut waiting = buffer.lock();
        while waiting.bytes.is_empty() && !waiting.closed {
            waiting = buffer
                .changed
                .wait(waiting)
                .unwrap_or_else(PoisonError::into_inner);
        }
        let closed = waiting.closed;
        drop(waiting);
        if !closed {
            thread::sleep(FLUSH_DELAY);
        }
        let bytes = std::mem::take(&mut buffer.lock().bytes);
        // With nobody reading there is nowhere to report the failure to.
        drop(out.write_all(&bytes));
        drop(out.flush());
        if closed {
            return;
        }
    }
}
