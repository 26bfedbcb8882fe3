//! Log lines by slog: JSON or terminal, written by a thread of their own.

use std::io;
use std::sync::Mutex;

use slog::{Drain, Level, Logger, OwnedKVList, Record, o};
pub use slog_async::AsyncGuard;
use trefoil_schema::settings::{LogFormat, LogLevel, LogSettings, Settings};

/// Lines that wait for the writer; further ones are dropped and counted.
const LINES_WAITING_MAX: usize = 4096;

/// The root logger; each line carries the instance and its failure domain.
///
/// Lines go to standard error; those that wait are written when the guard is
/// dropped, also where clones of the logger live on.
pub fn root(settings: &Settings) -> (Logger, AsyncGuard) {
    let fields = o!(
        "instance" => settings.instance.clone(),
        "failure_domain" => settings.failure_domain.clone(),
    );
    let (writer, guard) = slog_async::Async::new(form(&settings.log).ignore_res())
        .chan_size(LINES_WAITING_MAX)
        .build_with_guard();
    let filter = writer.filter_level(level(settings.log.level)).ignore_res();
    (Logger::root(filter, fields), guard)
}

fn form(settings: &LogSettings) -> Form {
    match settings.format {
        LogFormat::Json => Form::Json(Mutex::new(slog_json::Json::default(io::stderr()))),
        LogFormat::Terminal => Form::Terminal(terminal()),
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

/// The closed set of line forms.
enum Form {
    Json(Mutex<slog_json::Json<io::Stderr>>),
    Terminal(Mutex<Terminal>),
}

impl Drain for Form {
    type Ok = ();
    type Err = io::Error;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> io::Result<()> {
        let poisoned = || io::Error::other("the log writer panicked");
        match self {
            Self::Json(form) => form.lock().map_err(|_| poisoned())?.log(record, values),
            Self::Terminal(form) => form.lock().map_err(|_| poisoned())?.log(record, values),
        }
    }
}
