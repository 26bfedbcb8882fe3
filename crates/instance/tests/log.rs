//! Lines on beliefs are kept while lines on work are dropped.

use std::io::{self, Write};
use std::sync::{Arc, Condvar, Mutex};

use slog::info;
use trefoil_instance::log::{WORK_TAG, root_logger_to};

/// Twice what the buffer holds.
const LINES: usize = 3000;

/// An output that takes nothing until it is opened.
#[derive(Clone, Default)]
struct Output(Arc<(Mutex<State>, Condvar)>);

#[derive(Default)]
struct State {
    open: bool,
    written: Vec<u8>,
}

impl Output {
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

impl Write for Output {
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
fn a_change_of_owner_is_in_the_log_however_many_jobs_it_touches() {
    // Load pattern: an owner is lost, and each of its jobs brings several lines
    // before the line that says so.
    let output = Output::default();
    let (log, guard) = root_logger_to(output.clone(), "forde-1", "forde").unwrap();
    for job in 0..LINES {
        info!(log, #WORK_TAG, "delegation revoked"; "job" => job);
    }
    info!(log, "ownership released"; "pool" => "forde/0");
    output.open();
    drop(guard);
    let lines = output.lines();
    let of = |msg: &str| lines.iter().filter(|line| line["msg"] == msg).count();
    assert_eq!(of("ownership released"), 1);
    let dropped = lines.iter().find(|line| line["msg"] == "lines dropped");
    let dropped = dropped.expect("the lines that did not fit are counted");
    assert_eq!(dropped["others"], 0);
    let kept = of("delegation revoked") as u64;
    assert_eq!(kept + dropped["on_work"].as_u64().unwrap(), LINES as u64);
    assert!(kept > 0);
}
