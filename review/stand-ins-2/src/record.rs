//! The record of a case: what was sent, answered and run.

use std::cell::RefCell;
use std::fs::File;
use std::io::Write;
use std::rc::Rc;
use std::time::Instant;

/// Writes lines with the milliseconds since the start of the case.
#[derive(Clone)]
pub struct Record(Rc<RefCell<File>>, Instant);

impl Record {
    pub fn create(path: &str) -> std::io::Result<Self> {
        Ok(Self(
            Rc::new(RefCell::new(File::create(path)?)),
            Instant::now(),
        ))
    }

    pub fn now_ms(&self) -> u64 {
        self.1.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:>7} ms  {text}", self.now_ms());
        let _ = writeln!(self.0.borrow_mut(), "{line}");
    }

    /// Also shown on the terminal.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{:>7} ms  {text}", self.now_ms());
    }
}
