//! Output to the terminal. Write errors, such as a closed pipe, are ignored.

use std::error::Error;
use std::fmt::Display;
use std::io::{self, Write};

use serde::Serialize;
use trefoilbay::ops::error::OpsError;

/// Prints a line of the result to standard output.
pub fn line(text: impl Display) {
    let _ = writeln!(io::stdout(), "{text}");
}

/// Prints a line of progress or diagnostics to standard error.
pub fn note(text: impl Display) {
    let _ = writeln!(io::stderr(), "{text}");
}

/// Prints a value as JSON to standard output.
pub fn json(value: &impl Serialize) {
    line(serde_json::to_string_pretty(value).unwrap_or_default());
}

/// Prints an error with its causes and its hint.
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
