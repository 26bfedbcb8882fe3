//! Lines to the terminal. A closed pipe ends the output, not the command.

use std::error::Error;
use std::fmt::Display;
use std::io::{self, Write};

use serde::Serialize;
use trefoilbay::ops::error::OpsError;

/// A line of result.
pub fn line(text: impl Display) {
    let _ = writeln!(io::stdout(), "{text}");
}

/// A line about progress, apart from results.
pub fn note(text: impl Display) {
    let _ = writeln!(io::stderr(), "{text}");
}

/// A value as JSON.
pub fn json(value: &impl Serialize) {
    line(serde_json::to_string_pretty(value).unwrap_or_default());
}

/// An error with its causes and a hint.
pub fn error(error: &OpsError) {
    note(format_args!("error: {error}"));
    let mut cause = error.source();
    while let Some(error) = cause {
        note(format_args!("  caused by: {error}"));
        cause = error.source();
    }
    if let Some(hint) = error.hint() {
        note(format_args!("  hint: {hint}"));
    }
}
