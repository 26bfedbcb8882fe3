//! Histories of requests, stored as one line of JSON per request.

use std::{
    fs::File,
    io::{self, BufRead, BufReader},
    path::Path,
};

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::worker::record::TaskStart;

/// Reason recorded by the client if no connection could be made; nothing was sent.
pub const UNREACHABLE: &str = "unreachable";

/// Kind of a request.
#[expect(missing_docs, reason = "the variants explain themselves")]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestKind {
    #[default]
    Submit,
    Fetch,
    Cancel,
}

/// A request and its response, as recorded by the caller.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct HistoryEntry {
    /// Kind of the request.
    pub kind: RequestKind,
    /// Idempotency key.
    pub key: String,
    /// Hash of the request body, in hexadecimal.
    pub body_hash: String,
    /// Address that it was sent to.
    pub entry: String,
    /// Unix time of the request, in milliseconds.
    pub sent_ms: f64,
    /// Unix time of the response or of the connection's end, in milliseconds.
    pub answered_ms: f64,
    /// HTTP status; 0 without a response.
    pub status: u16,
    /// Verdict of the response; empty if it has none.
    pub verdict: String,
    /// Reason of a refusal or failure; may be set by the client.
    pub reason: String,
    /// State of the job in the response.
    pub state: String,
    /// Unique tokens of the submitted tasks, in order.
    pub tokens: Vec<String>,
    /// Results in the response, in order.
    pub results: Vec<Value>,
}

/// Reads a history file.
pub fn read_history(path: &Path) -> io::Result<Vec<HistoryEntry>> {
    let lines = BufReader::new(File::open(path)?).lines();
    lines
        .map(|line| Ok(serde_json::from_str(&line?)?))
        .collect()
}

/// Reads a file with the response of a fake backend server's `GET /fake/starts`.
pub fn read_starts(path: &Path) -> io::Result<Vec<TaskStart>> {
    let reader = BufReader::new(File::open(path)?);
    Ok(serde_json::from_reader(reader)?)
}
