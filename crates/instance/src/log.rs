//! Lines on standard output, as JSON, bounded and never blocking.
//!
//! Lines gather in a buffer that a thread of its own writes out; while it
//! cannot keep up, further lines are dropped and counted, and the count is in
//! the next line that passes.

use std::io::{self, Write};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use slog::{Drain, Logger, o};

/// Bytes that wait to be written; beyond them lines are dropped. A second of
/// a busy instance's lines.
const BUFFER_BYTES_MAX: usize = 128 * 1024;
/// Lines wait so long for others, to share a write.
const GATHER: Duration = Duration::from_millis(200);
/// Stack of the writing thread.
const STACK_BYTES: usize = 64 * 1024;

#[derive(Debug, Default)]
struct Waiting {
    bytes: Vec<u8>,
    dropped: u64,
    closed: bool,
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
}

impl Write for Appender {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    /// Comes at the end of each line.
    fn flush(&mut self) -> io::Result<()> {
        let mut waiting = self.buffer.lock();
        if waiting.bytes.len() + self.line.len() > BUFFER_BYTES_MAX {
            waiting.dropped += 1;
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

impl Waiting {
    fn tell_dropped(&mut self) {
        if self.dropped > 0 {
            let line = format!("{{\"msg\":\"lines dropped\",\"count\":{}}}\n", self.dropped);
            self.bytes.extend_from_slice(line.as_bytes());
            self.dropped = 0;
        }
    }
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

/// The root logger; each line carries the instance and its failure domain.
///
/// # Errors
///
/// When the writing thread cannot be started.
pub fn root(instance: &str, failure_domain: &str) -> io::Result<(Logger, LogGuard)> {
    let buffer = Arc::new(Buffer::default());
    let shared = buffer.clone();
    let writer = thread::Builder::new()
        .name("log".to_owned())
        .stack_size(STACK_BYTES)
        .spawn(move || write_out(&shared))?;
    let appender = Appender {
        buffer: buffer.clone(),
        line: Vec::new(),
    };
    let json = slog_json::Json::new(appender)
        .set_newlines(true)
        .set_flush(true)
        .add_key_value(o!(
            "ts_ms" => slog::FnValue(|_| unix_ms()),
            "level" => slog::FnValue(|record| record.level().as_short_str()),
            "msg" => slog::PushFnValue(|record, serializer| serializer.emit(record.msg())),
        ))
        .build();
    let fields = o!(
        "instance" => instance.to_owned(),
        "failure_domain" => failure_domain.to_owned(),
    );
    let guard = LogGuard {
        buffer,
        writer: Some(writer),
    };
    Ok((Logger::root(Mutex::new(json).ignore_res(), fields), guard))
}

/// Milliseconds since 1970, by the machine's time of day.
pub fn unix_ms() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

fn write_out(buffer: &Buffer) {
    let mut out = io::stdout();
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
            thread::sleep(GATHER);
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
