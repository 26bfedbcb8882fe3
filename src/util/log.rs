//! Logging with slog: JSON or terminal format, written by a separate thread.

use std::io;
use std::sync::Mutex;

use slog::{Drain, Level, Logger, OwnedKVList, Record, o};
pub use slog_async::AsyncGuard;
use trefoil_schema::settings::{LogFormat, LogLevel, LogSettings, Settings};

/// Capacity of the queue to the writer thread; records beyond it are dropped and counted.
const QUEUE_CAPACITY: usize = 4096;

/// Creates the root logger; each record carries the instance and its failure domain.
///
/// Records go to standard error. Dropping the guard flushes the queue, even while
/// clones of the logger are alive.
pub fn root(settings: &Settings) -> (Logger, AsyncGuard) {
    let fields = o!(
        "instance" => settings.instance.clone(),
        "failure_domain" => settings.failure_domain.clone(),
    );
    let (writer, guard) = slog_async::Async::new(output(&settings.log).ignore_res())
        .chan_size(QUEUE_CAPACITY)
        .build_with_guard();
    let filter = writer.filter_level(level(settings.log.level)).ignore_res();
    (Logger::root(filter, fields), guard)
}

fn output(settings: &LogSettings) -> Output {
    match settings.format {
        LogFormat::Json => Output::Json(Mutex::new(slog_json::Json::default(io::stderr()))),
        LogFormat::Terminal => Output::Terminal(terminal()),
    }
}

fn level(level: LogLevel) -> Level {
    match level {
        LogLevel::Error => Level::Error,
        LogLevel::Warning => Level::Warning,
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
    }
}

type Terminal = slog_term::FullFormat<slog_term::TermDecorator>;

fn terminal() -> Mutex<Terminal> {
    let decorator = slog_term::TermDecorator::new().stderr().build();
    Mutex::new(slog_term::FullFormat::new(decorator).build())
}

enum Output {
    Json(Mutex<slog_json::Json<io::Stderr>>),
    Terminal(Mutex<Terminal>),
}

impl Drain for Output {
    type Ok = ();
    type Err = io::Error;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> io::Result<()> {
        let poisoned = || io::Error::other("the log writer panicked");
        match self {
            Self::Json(drain) => drain.lock().map_err(|_| poisoned())?.log(record, values),
            Self::Terminal(drain) => drain.lock().map_err(|_| poisoned())?.log(record, values),
        }
    }
}
