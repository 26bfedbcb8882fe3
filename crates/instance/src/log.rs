//! Structured JSON logging to standard output.
//!
//! Records are queued in a bounded buffer that a writer thread drains; logging never
//! blocks. When the buffer is full, records are dropped and counted, and the next
//! record that passes is preceded by the count.
//!
//! Records on jobs, runs and workers are far more frequent than those on the
//! instance's own state (ownership, declarations, links). They may not use the last
//! part of the buffer, so that ownership changes are logged even under load.

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
/// Buffer level above which records tagged [`WORK_TAG`] are dropped.
const WORK_BYTES_MAX: usize = 96 * 1024;
/// Batching delay before a flush.
const FLUSH_DELAY: Duration = Duration::from_millis(200);
/// Stack size of the writer thread.
const STACK_BYTES: usize = 64 * 1024;

#[derive(Debug, Default)]
struct Queue {
    bytes: Vec<u8>,
    dropped: DroppedCounts,
    closed: bool,
}

/// Records dropped since the last one that was queued.
#[derive(Debug, Default)]
struct DroppedCounts {
    on_work: u64,
    others: u64,
}

#[derive(Debug, Default)]
struct Buffer {
    queue: Mutex<Queue>,
    changed: Condvar,
}

impl Buffer {
    fn lock(&self) -> MutexGuard<'_, Queue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Collects the parts of one line, and queues or drops it as a whole.
#[derive(Debug)]
struct Appender {
    buffer: Arc<Buffer>,
    line: Vec<u8>,
    kind: RecordKind,
}

/// What a record is about; determines how much of the buffer it may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RecordKind {
    Work,
    Other,
}

impl RecordKind {
    /// Buffer level up to which records of this kind are queued.
    fn bytes_max(self) -> usize {
        match self {
            Self::Work => WORK_BYTES_MAX,
            Self::Other => BUFFER_BYTES_MAX,
        }
    }
}

impl Write for Appender {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    /// Called by the formatter at the end of each line.
    fn flush(&mut self) -> io::Result<()> {
        let mut queue = self.buffer.lock();
        if queue.bytes.len() + self.line.len() > self.kind.bytes_max() {
            queue.dropped.count(self.kind);
        } else {
            if queue.bytes.is_empty() {
                self.buffer.changed.notify_one();
            }
            queue.push_dropped_notice();
            queue.bytes.append(&mut self.line);
        }
        self.line.clear();
        Ok(())
    }
}

impl DroppedCounts {
    fn count(&mut self, kind: RecordKind) {
        match kind {
            RecordKind::Work => self.on_work += 1,
            RecordKind::Other => self.others += 1,
        }
    }

    fn any(&self) -> bool {
        self.on_work + self.others > 0
    }
}

impl Queue {
    fn push_dropped_notice(&mut self) {
        if !self.dropped.any() {
            return;
        }
        let DroppedCounts { on_work, others } = std::mem::take(&mut self.dropped);
        let line =
            format!("{{\"msg\":\"lines dropped\",\"on_work\":{on_work},\"others\":{others}}}\n");
        self.bytes.extend_from_slice(line.as_bytes());
    }
}

/// Formats records of each kind through an appender of its own.
struct KindDrain {
    on_work: Formatter,
    others: Formatter,
}

/// Errors are ignored because writing to memory does not fail.
type Formatter = IgnoreResult<Mutex<Json<Appender>>>;

impl KindDrain {
    fn new(buffer: &Arc<Buffer>) -> Self {
        Self {
            on_work: formatter(buffer, RecordKind::Work),
            others: formatter(buffer, RecordKind::Other),
        }
    }
}

impl Drain for KindDrain {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), Never> {
        match record.tag() {
            WORK_TAG => self.on_work.log(record, values),
            _ => self.others.log(record, values),
        }
    }
}

fn formatter(buffer: &Arc<Buffer>, kind: RecordKind) -> Formatter {
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

/// Writes the queued records and joins the writer thread when dropped.
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

/// Creates the root logger, which writes to standard output; each record has the
/// instance and its failure domain.
///
/// # Errors
///
/// Fails if the writer thread cannot be spawned.
pub fn root_logger(instance: &str, failure_domain: &str) -> io::Result<(Logger, LogGuard)> {
    root_logger_to(io::stdout(), instance, failure_domain)
}

/// Creates a root logger that writes to `out`; see [`root_logger`].
///
/// # Errors
///
/// Fails if the writer thread cannot be spawned.
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
        .spawn(move || run_writer(&shared, out))?;
    let fields = o!(
        "instance" => instance.to_owned(),
        "failure_domain" => failure_domain.to_owned(),
    );
    let logger = Logger::root(KindDrain::new(&buffer), fields);
    let guard = LogGuard {
        buffer,
        writer: Some(writer),
    };
    Ok((logger, guard))
}

/// Unix time in milliseconds.
pub(crate) fn unix_ms() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

fn run_writer(buffer: &Buffer, mut out: impl Write) {
    loop {
        let mut queue = buffer.lock();
        while queue.bytes.is_empty() && !queue.closed {
            queue = buffer
                .changed
                .wait(queue)
                .unwrap_or_else(PoisonError::into_inner);
        }
        let closed = queue.closed;
        drop(queue);
        if !closed {
            thread::sleep(FLUSH_DELAY);
        }
        let bytes = std::mem::take(&mut buffer.lock().bytes);
        // A write error on the log itself cannot be reported anywhere.
        drop(out.write_all(&bytes));
        drop(out.flush());
        if closed {
            return;
        }
    }
}
