//! Loading and validation of instance settings.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;

use derive_more::{Display, Error};
use serde::Deserialize;
use trefoil_core::dispatch::owner;

/// Lower bound of `memory_mb`: an idle instance uses 6 MiB, and declarations more.
const MEMORY_MB_MIN: u64 = 32;
/// Lower bound of `descriptors_max`.
const DESCRIPTORS_MIN: u64 = 300;

/// Settings of one instance, read from a JSON file.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InstanceSettings {
    /// Name of the instance, stable across restarts.
    pub instance: String,
    /// Failure domain that the instance runs in.
    pub failure_domain: String,
    /// Listen address for callers.
    pub callers_address: SocketAddr,
    /// Listen address for the load balancer's readiness checks.
    pub ready_address: SocketAddr,
    /// Listen address for links from other instances.
    pub links_address: SocketAddr,
    /// Address advertised to other instances; defaults to `links_address`.
    #[serde(default)]
    pub links_advertised_address: Option<SocketAddr>,
    /// Listen address for metrics; metrics are not served if it is unset.
    #[serde(default)]
    pub metrics_address: Option<SocketAddr>,
    /// Address of the platform's store.
    pub store_address: SocketAddr,
    /// Link addresses of instances to dial while the store gives no peers.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Share of its cores that the instance may use; determines which pools it owns.
    pub cpu_share: f64,
    /// Speed factor of its processor; multiplies `cpu_share`.
    #[serde(default = "default_cores")]
    pub cores: f64,
    /// Memory that the process may use, in MiB.
    #[serde(default = "default_memory_mb")]
    pub memory_mb: u64,
    /// Number of file descriptors that the process may open.
    #[serde(default = "default_descriptors_max")]
    pub descriptors_max: u64,
    /// Time after the operator closes a failure domain by which no task may start
    /// there any more.
    #[serde(default = "default_close_within_ms")]
    pub close_within_ms: u64,
    /// Time from the stop request until the platform kills the process.
    #[serde(default = "default_stop_budget_ms")]
    pub stop_budget_ms: u64,
    /// Factor on the run time of a task away from its data.
    #[serde(default = "default_remote_penalty")]
    pub remote_penalty: f64,
}

impl InstanceSettings {
    /// Address advertised to other instances.
    pub(crate) fn links_advertised_address(&self) -> SocketAddr {
        self.links_advertised_address.unwrap_or(self.links_address)
    }

    /// CPU available to the instance, in thousandths of a core.
    pub(crate) fn weight_millicores(&self) -> u64 {
        (self.cpu_share * self.cores * 1000.0) as u64
    }

    /// Settings of the owners of pools.
    pub(crate) fn owner_settings(&self) -> owner::Settings {
        owner::Settings {
            remote_penalty: self.remote_penalty,
            ..owner::Settings::default()
        }
    }
}

fn default_cores() -> f64 {
    1.0
}

/// Memory of the smallest instances.
fn default_memory_mb() -> u64 {
    120
}

/// Descriptors of the smallest instances.
fn default_descriptors_max() -> u64 {
    3075
}

fn default_close_within_ms() -> u64 {
    5000
}

fn default_remote_penalty() -> f64 {
    owner::Settings::default().remote_penalty
}

/// The platform's stop timeout.
fn default_stop_budget_ms() -> u64 {
    6000
}

/// Error from loading or validating settings.
#[derive(Debug, Display, Error)]
#[expect(missing_docs, reason = "fields explain themselves")]
pub enum SettingsError {
    /// The file could not be read.
    #[display("cannot read settings from {path}: {source}; hint: check --settings")]
    File {
        path: String,
        source: std::io::Error,
    },
    /// The file is not valid JSON, or a field is missing, unknown or of the wrong type.
    #[display("invalid settings in {path} at {field}: {source}")]
    Field {
        path: String,
        /// Dotted path of the field; `.` for the whole file.
        field: String,
        source: serde_json::Error,
    },
    /// A value is out of range.
    #[display("invalid settings in {path} at {field}: expected {expected}")]
    Value {
        path: String,
        field: &'static str,
        /// Description of the accepted values.
        expected: &'static str,
    },
}

/// Reads settings from a file and validates them.
///
/// # Errors
///
/// Fails if the file cannot be read or parsed, or a value is out of range.
pub fn load(path: &Path) -> Result<InstanceSettings, SettingsError> {
    let name = path.display().to_string();
    let text = fs::read_to_string(path).map_err(|source| SettingsError::File {
        path: name.clone(),
        source,
    })?;
    parse(&name, &text)
}

/// Parses and validates settings; `path` is used in error messages only.
///
/// # Errors
///
/// Fails if `text` cannot be parsed or a value is out of range.
pub(crate) fn parse(path: &str, text: &str) -> Result<InstanceSettings, SettingsError> {
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
        return Err(value("instance", "a non-empty name"));
    }
    if settings.failure_domain.is_empty() {
        return Err(value("failure_domain", "a non-empty name"));
    }
    if settings.weight_millicores() == 0 {
        return Err(value("cpu_share", "at least 0.001"));
    }
    if settings.memory_mb < MEMORY_MB_MIN {
        return Err(value("memory_mb", "at least 32"));
    }
    if settings.descriptors_max < DESCRIPTORS_MIN {
        return Err(value("descriptors_max", "at least 300"));
    }
    if settings.close_within_ms == 0 {
        return Err(value("close_within_ms", "a number greater than 0"));
    }
    if settings.stop_budget_ms == 0 {
        return Err(value("stop_budget_ms", "a number greater than 0"));
    }
    if !(settings.remote_penalty.is_finite() && settings.remote_penalty >= 1.0) {
        return Err(value("remote_penalty", "a number of at least 1"));
    }
    Ok(settings)
}
