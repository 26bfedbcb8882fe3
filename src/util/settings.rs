//! Settings from a JSON file and overrides, checked before anything starts.
//!
//! All wrong fields are reported together: reading goes on past a wrong field
//! with its default in place, then the limits between fields are checked.

mod limits;
mod read;

use std::fs;
use std::path::Path;

use derive_more::{Display, Error};
use serde_json::{Map, Value};
pub use trefoil_schema::settings::Settings;

/// Fields of [`Settings`] that hold an object with defaults of its own.
const SECTIONS: [&str; 8] = [
    "drain",
    "jobs",
    "log",
    "membership",
    "placement",
    "platform",
    "telemetry",
    "workers",
];

/// One wrong field.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("{path}: found {found}; allowed: {allowed}")]
pub struct Finding {
    /// Dotted path of the field.
    pub path: String,
    /// What stands there.
    pub found: String,
    /// What may stand there.
    pub allowed: String,
}

/// Why settings cannot be used.
#[derive(Debug, Display, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[display("cannot read settings from {path}: {source}; hint: check --settings")]
    File {
        /// The file named on the command line.
        path: String,
        /// What the system said.
        source: std::io::Error,
    },
    /// The file is no JSON.
    #[display("settings in {path} are not JSON: {source}")]
    Json {
        /// The file named on the command line.
        path: String,
        /// Where parsing stopped.
        source: serde_json::Error,
    },
    /// Fields are wrong.
    #[display("{}", describe(findings))]
    Fields {
        /// Each wrong field, in order of its path.
        #[error(not(source))]
        findings: Vec<Finding>,
    },
}

impl SettingsError {
    /// The wrong fields; empty for other errors.
    pub fn findings(&self) -> &[Finding] {
        match self {
            Self::Fields { findings } => findings,
            Self::File { .. } | Self::Json { .. } => &[],
        }
    }
}

fn describe(findings: &[Finding]) -> String {
    let mut lines = vec![format!("{} wrong setting(s)", findings.len())];
    lines.extend(findings.iter().map(|finding| format!("  {finding}")));
    lines.join("\n")
}

/// Loads the settings of `file`, with each of `overrides` (`dotted.path=VALUE`)
/// on top, and checks them.
pub fn load(file: Option<&Path>, overrides: &[String]) -> Result<Settings, SettingsError> {
    let base = file.map_or_else(|| Ok(Value::Object(Map::new())), read_file)?;
    from_value(base, overrides)
}

/// Checks settings that are already JSON, with `overrides` on top.
pub fn from_value(mut base: Value, overrides: &[String]) -> Result<Settings, SettingsError> {
    let mut findings = Vec::new();
    for item in overrides {
        findings.extend(read::apply_override(&mut base, item).err());
    }
    let settings = read::typed(base, &mut findings);
    let read_paths: Vec<_> = findings.iter().map(|item| item.path.clone()).collect();
    let limits = limits::check(&settings).into_iter();
    findings.extend(limits.filter(|item| !read_paths.contains(&item.path)));
    if findings.is_empty() {
        return Ok(settings);
    }
    findings.sort_by(|left, right| left.path.cmp(&right.path));
    Err(SettingsError::Fields { findings })
}

/// The settings of an empty file.
///
/// Unlike `Settings::default()` this gives each section its own defaults.
pub fn defaults() -> Settings {
    read::typed(Value::Object(Map::new()), &mut Vec::new())
}

fn read_file(path: &Path) -> Result<Value, SettingsError> {
    let name = path.display().to_string();
    let text = fs::read_to_string(path).map_err(|source| SettingsError::File {
        path: name.clone(),
        source,
    })?;
    serde_json::from_str(&text).map_err(|source| SettingsError::Json { path: name, source })
}
