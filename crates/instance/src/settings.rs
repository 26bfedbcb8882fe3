//! The checked settings of an instance.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;

use derive_more::{Display, Error};
use serde::Deserialize;

/// Settings of one instance, from a JSON file.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InstanceSettings {
    /// Name of the instance; another start of it has the same.
    pub instance: String,
    /// Failure domain that it runs in.
    pub failure_domain: String,
    /// Where callers connect.
    pub callers_address: SocketAddr,
    /// Where the balancer asks whether it is ready.
    pub ready_address: SocketAddr,
    /// Where other instances connect.
    pub links_address: SocketAddr,
    /// Where other instances are told to connect, if that is another address.
    #[serde(default)]
    pub links_advertised_address: Option<SocketAddr>,
    /// Where metrics are served; none serves none.
    #[serde(default)]
    pub metrics_address: Option<SocketAddr>,
    /// The platform's store.
    pub store_address: SocketAddr,
    /// Link addresses of instances that may be up.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Share of its cores that the instance may use; decides what it owns.
    pub cpu_share: f64,
    /// How many times as fast its processor is.
    #[serde(default = "default_cores")]
    pub cores: f64,
    /// Time from the operator's closing of a failure domain until no task may
    /// start there.
    #[serde(default = "default_close_within_ms")]
    pub close_within_ms: u64,
    /// Time from the request to stop until the process is killed.
    #[serde(default = "default_stop_budget_ms")]
    pub stop_budget_ms: u64,
}

impl InstanceSettings {
    /// The address that other instances are told.
    pub fn links_advertised_address(&self) -> SocketAddr {
        self.links_advertised_address.unwrap_or(self.links_address)
    }

    /// Processor that the instance may use, thousandths of a core.
    pub fn weight_millicores(&self) -> u64 {
        (self.cpu_share * self.cores * 1000.0) as u64
    }
}

fn default_cores() -> f64 {
    1.0
}

/// Five seconds, which the platform grants where it grants any.
fn default_close_within_ms() -> u64 {
    5000
}

/// Six seconds, which the platform grants everywhere so far.
fn default_stop_budget_ms() -> u64 {
    6000
}

/// Why settings cannot be used.
#[derive(Debug, Display, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[display("cannot read settings from {path}: {source}; hint: check --settings")]
    File {
        /// The file.
        path: String,
        /// What the system said.
        source: std::io::Error,
    },
    /// A field is wrong, or the file is no JSON.
    #[display("settings in {path} are wrong at {field}: {source}")]
    Field {
        /// The file.
        path: String,
        /// Dotted path of the field; a dot for the whole.
        field: String,
        /// What is wrong.
        source: serde_json::Error,
    },
    /// A value is outside its limits.
    #[display("settings in {path} are wrong at {field}: {expected}")]
    Value {
        /// The file.
        path: String,
        /// The field.
        field: &'static str,
        /// What may stand there.
        expected: &'static str,
    },
}

/// Loads and checks settings.
pub fn load(path: &Path) -> Result<InstanceSettings, SettingsError> {
    let name = path.display().to_string();
    let text = fs::read_to_string(path).map_err(|source| SettingsError::File {
        path: name.clone(),
        source,
    })?;
    parse(&name, &text)
}

/// Checks settings that were read from `path`.
pub fn parse(path: &str, text: &str) -> Result<InstanceSettings, SettingsError> {
    let mut json = serde_json::Deserializer::from_str(text);
    let settings: InstanceSettings =
        serde_path_to_error::deserialize(&mut json).map_err(|error| SettingsError::Field {
            path: path.to_owned(),
            field: error.path().to_string(),
            source: error.into_inner(),
        })?;
    let value = |field, expected| SettingsError::Value {
        path: path.to_owned(),
        field,
        expected,
    };
    if settings.instance.is_empty() {
        return Err(value("instance", "a name"));
    }
    if settings.failure_domain.is_empty() {
        return Err(value("failure_domain", "a name"));
    }
    if settings.weight_millicores() == 0 {
        return Err(value("cpu_share", "at least a thousandth"));
    }
    if settings.close_within_ms == 0 {
        return Err(value("close_within_ms", "more than 0"));
    }
    if settings.stop_budget_ms == 0 {
        return Err(value("stop_budget_ms", "more than 0"));
    }
    Ok(settings)
}
