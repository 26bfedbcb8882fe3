//! Sends jobs by plan and measures their responses.

mod args;

use std::{
    env,
    error::Error,
    fs::{self, File},
    io::{self, BufWriter, Write},
    path::{Path, PathBuf},
};

use serde::Serialize;
use trefoil_fakes::{
    check::history::HistoryEntry,
    load::{self, LoadReport, table::Table},
};

/// Report of a run, with its arguments.
#[derive(Debug, Serialize)]
struct Output<'a> {
    arguments: Vec<String>,
    #[serde(flatten)]
    report: &'a LoadReport,
}

fn write_history(path: &Path, history: &[HistoryEntry]) -> io::Result<()> {
    let mut file = BufWriter::new(File::create(path)?);
    for entry in history {
        serde_json::to_writer(&mut file, entry)?;
        file.write_all(b"\n")?;
    }
    file.flush()
}

fn write_error(path: &Path, error: &dyn Error) -> String {
    format!("cannot write {}: {error}", path.display())
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let matches = args::command().get_matches();
    let (report, history) = load::run(&args::options(&matches)).await;
    if let Some(path) = matches.get_one::<PathBuf>("json") {
        let output = Output {
            arguments: env::args().skip(1).collect(),
            report: &report,
        };
        let text = serde_json::to_string_pretty(&output)?;
        fs::write(path, text).map_err(|error| write_error(path, &error))?;
    }
    if let Some(path) = matches.get_one::<PathBuf>("history") {
        write_history(path, &history).map_err(|error| write_error(path, &error))?;
    }
    write!(io::stdout(), "{}", Table(&report))?;
    Ok(())
}
