//! Loads settings from a JSON file and overrides, and validates them at startup.
//!
//! All invalid settings are reported together: deserialization continues past an
//! invalid field with its default, then ranges and constraints between fields
//! are checked.

mod deserialize;
mod validate;

use std::fs;
use std::path::Path;

use derive_more::{Display, Error};
use serde_json::{Map, Value};
pub use trefoil_schema::settings::Settings;

/// Fields of [`Settings`] that are objects whose fields have defaults.
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

/// An invalid setting.
#[expect(missing_docs, reason = "most fields explain themselves")]
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("{path}: found {found}; allowed: {allowed}")]
pub struct InvalidSetting {
    /// Dotted path of the field.
    pub path: String,
    pub found: String,
    pub allowed: String,
}

/// Why settings cannot be loaded.
#[expect(missing_docs, reason = "most fields explain themselves")]
#[derive(Debug, Display, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[display("cannot read settings from {path}: {source}; hint: check --settings")]
    File {
        path: String,
        source: std::io::Error,
    },
    #[display("settings in {path} are not valid JSON: {source}")]
    Json {
        path: String,
        source: serde_json::Error,
    },
    /// Settings have the wrong type or a value out of range.
    #[display("{}", describe(invalid))]
    Invalid {
        /// The invalid settings, sorted by path.
        #[error(not(source))]
        invalid: Vec<InvalidSetting>,
    },
}

impl SettingsError {
    /// The invalid settings; empty for other errors.
    pub fn invalid(&self) -> &[InvalidSetting] {
        match self {
            Self::Invalid { invalid } => invalid,
            Self::File { .. } | Self::Json { .. } => &[],
        }
    }
}

fn describe(invalid: &[InvalidSetting]) -> String {
    let mut lines = vec![format!("{} invalid setting(s)", invalid.len())];
    lines.extend(invalid.iter().map(|setting| format!("  {setting}")));
    lines.join("\n")
}

/// Loads the settings in `file`, applies `overrides` (`dotted.path=VALUE`) and
/// validates the result.
pub fn load(file: Option<&Path>, overrides: &[String]) -> Result<Settings, SettingsError> {
    let base = file.map_or_else(|| Ok(Value::Object(Map::new())), read_file)?;
    from_value(base, overrides)
}

/// Applies `overrides` to settings in JSON and validates the result.
pub fn from_value(mut base: Value, overrides: &[String]) -> Result<Settings, SettingsError> {
    let mut invalid = Vec::new();
    for item in overrides {
        invalid.extend(deserialize::apply_override(&mut base, item).err());
    }
    let settings = deserialize::deserialize(base, &mut invalid);
    let reported: Vec<_> = invalid.iter().map(|item| item.path.clone()).collect();
    let out_of_range = validate::validate(&settings).into_iter();
    invalid.extend(out_of_range.filter(|item| !reported.contains(&item.path)));
    if invalid.is_empty() {
        return Ok(settings);
    }
    invalid.sort_by(|left, right| left.path.cmp(&right.path));
    Err(SettingsError::Invalid { invalid })
}

/// The default settings.
///
/// Unlike `Settings::default()`, fills in the defaults of each section's fields.
pub fn defaults() -> Settings {
    deserialize::deserialize(Value::Object(Map::new()), &mut Vec::new())
}

fn read_file(path: &Path) -> Result<Value, SettingsError> {
    let name = path.display().to_string();
    let text = fs::read_to_string(path).map_err(|source| SettingsError::File {
        path: name.clone(),
        source,
    })?;
    serde_json::from_str(&text).map_err(|source| SettingsError::Json { path: name, source })
}
