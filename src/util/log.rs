//! Log lines by slog: JSON or terminal, written by a thread of their own.

use std::io;
use std::sync::Mutex;

use slog::{Drain, Level, Logger, OwnedKVList, Record, o};
use trefoil_schema::settings::{LogFormat, LogLevel, LogSettings, Settings};

/// Lines that wait for the writer; further ones are dropped and counted.
const LINES_WAITING_MAX: usize = 4096;

/// The root logger; each line carries the instance and its failure domain.
///
/// Lines go to standard error. The last clone flushes when it is dropped.
pub fn root(settings: &Settings) -> Logger {
    let fields = o!(
        "instance" => settings.instance.clone(),
        "failure_domain" => settings.failure_domain.clone(),
    );
    Logger::root(writer(&settings.log), fields)
}

fn writer(settings: &LogSettings) -> impl Drain<Ok = (), Err = slog::Never> + Send + Sync + use<> {
    let form = match settings.format {
        LogFormat::Json => Form::Json(Mutex::new(slog_json::Json::default(io::stderr()))),
        LogFormat::Terminal => Form::Terminal(terminal()),
    };
    let level = match settings.level {
        LogLevel::Error => Level::Error,
        LogLevel::Warning => Level::Warning,
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
    };
    let writer = slog_async::Async::new(form.ignore_res())
        .chan_size(LINES_WAITING_MAX)
        .build();
    writer.filter_level(level).ignore_res()
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
