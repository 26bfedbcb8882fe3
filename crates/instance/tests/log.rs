//! Records on the instance's own state are kept while those on jobs are dropped.

use std::io::{self, Write};
use std::sync::{Arc, Condvar, Mutex};

use slog::info;
use trefoil_instance::log::{WORK_TAG, root_logger_to};

/// Twice as many records as the buffer holds.
const RECORDS: usize = 3000;

/// A writer that blocks until it is opened.
#[derive(Clone, Default)]
struct BlockingWriter(Arc<(Mutex<State>, Condvar)>);

#[derive(Default)]
struct State {
    open: bool,
    written: Vec<u8>,
}

impl BlockingWriter {
    fn open(&self) {
        self.0.0.lock().unwrap().open = true;
        self.0.1.notify_all();
    }

    fn lines(&self) -> Vec<serde_json::Value> {
        let written = self.0.0.lock().unwrap().written.clone();
        let lines = written.split(|byte| *byte == b'\n');
        let lines = lines.filter(|line| !line.is_empty());
        lines
            .map(|line| serde_json::from_slice(line).unwrap())
            .collect()
    }
}

impl Write for BlockingWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let state = self.0.0.lock().unwrap();
        let mut state = self.0.1.wait_while(state, |state| !state.open).unwrap();
        state.written.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn ownership_changes_are_logged_when_job_records_fill_the_buffer() {
    // When an owner is lost, each of its jobs is logged before the ownership change.
    let writer = BlockingWriter::default();
    let (log, guard) = root_logger_to(writer.clone(), "forde-1", "forde").unwrap();
    for job in 0..RECORDS {
        info!(log, #WORK_TAG, "delegation revoked"; "job" => job);
    }
    info!(log, "ownership released"; "pool" => "forde/0");
    writer.open();
    drop(guard);
    let lines = writer.lines();
    let count = |msg: &str| lines.iter().filter(|line| line["msg"] == msg).count();
    assert_eq!(count("ownership released"), 1);
    let dropped = lines.iter().find(|line| line["msg"] == "lines dropped");
    let dropped = dropped.expect("dropped records are counted");
    assert_eq!(dropped["others"], 0);
    let kept = count("delegation revoked") as u64;
    assert_eq!(kept + dropped["on_work"].as_u64().unwrap(), RECORDS as u64);
    assert!(kept > 0);
}
