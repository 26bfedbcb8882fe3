//! What callers sent and got, one JSON line a request.

use std::{
    fs::File,
    io::{self, BufRead, BufReader},
    path::Path,
};

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::worker::record::TaskStart;

/// Reason that the caller's side gives where no connection could be made:
/// nothing was sent.
pub const UNREACHABLE: &str = "unreachable";

/// What a request asked for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestKind {
    /// Submit a job.
    #[default]
    Submit,
    /// Read a job.
    Fetch,
    /// Cancel a job.
    Cancel,
}

/// One request as its caller saw it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct HistoryEntry {
    /// What it asked for.
    pub kind: RequestKind,
    /// Idempotency key.
    pub key: String,
    /// Hash of the body, in hexadecimal.
    pub body_hash: String,
    /// Where it was sent.
    pub entry: String,
    /// Unix time of sending, in milliseconds.
    pub sent_ms: f64,
    /// Unix time of the answer or of the connection's end, in milliseconds.
    pub answered_ms: f64,
    /// Status; 0 where there was no answer.
    pub status: u16,
    /// Verdict answered; empty where there was none.
    pub verdict: String,
    /// Reason of a refusal or failure.
    pub reason: String,
    /// State of the job as answered.
    pub state: String,
    /// Tokens of the tasks sent, in order; each is unique to its task.
    pub tokens: Vec<String>,
    /// Results answered, in order.
    pub results: Vec<Value>,
}

/// Reads a history of JSON lines.
pub fn read_history(path: &Path) -> io::Result<Vec<HistoryEntry>> {
    let lines = BufReader::new(File::open(path)?).lines();
    lines
        .map(|line| Ok(serde_json::from_str(&line?)?))
        .collect()
}

/// Reads starts as backend servers answer them: a JSON array.
pub fn read_starts(path: &Path) -> io::Result<Vec<TaskStart>> {
    let reader = BufReader::new(File::open(path)?);
    Ok(serde_json::from_reader(reader)?)
}
