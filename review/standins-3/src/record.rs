//! What was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

use serde_json::Value;

/// A run of a task on one life of a worker. Times are in milliseconds of the record.
#[derive(Clone, Debug)]
pub struct RunRecord {
    pub task: String,
    pub run_id: u64,
    pub worker: String,
    pub life: u32,
    /// Resources that the task requests.
    pub cpu: u64,
    pub started_ms: u64,
    pub ended: Option<(u64, &'static str)>,
}

pub struct Record {
    began: Instant,
    file: Mutex<File>,
    pub runs: Mutex<Vec<RunRecord>>,
    /// Broken rules.
    breaks: Mutex<Vec<String>>,
}

impl Record {
    pub fn new(path: &Path) -> std::io::Result<Self> {
        Ok(Self {
            began: Instant::now(),
            file: Mutex::new(File::create(path)?),
            runs: Mutex::new(Vec::new()),
            breaks: Mutex::new(Vec::new()),
        })
    }

    pub fn now_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    pub fn note(&self, line: &str) {
        let now_ms = self.now_ms();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:>8.3} {line}", now_ms as f64 / 1000.0);
    }

    pub fn note_break(&self, line: String) {
        self.note(&format!("BROKEN {line}"));
        println!("{line}");
        self.breaks.lock().unwrap().push(line);
    }

    pub fn breaks(&self) -> usize {
        self.breaks.lock().unwrap().len()
    }
}

/// Number in a field of a body; 0 if it is absent.
pub fn number(body: &Value, field: &str) -> u64 {
    body[field].as_u64().unwrap_or(0)
}
