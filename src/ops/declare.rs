//! Reads resource files and validates them against the schema.

use std::collections::HashSet;
use std::fs;
use std::path::{Path, PathBuf};

use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use trefoil_core::config::validation::validate;
use trefoil_schema::resources::{BackendServerSpec, Kind, Resource, ServiceSpec, TeamSpec};

use super::error::{InvalidField, OpsError, ValidationError};

/// Reads resource files. A directory stands for the `.json` files directly in it.
///
/// Resources are returned in the order in which they are applied: teams, services, backend
/// servers.
pub fn load(paths: &[PathBuf]) -> Result<Vec<Resource>, OpsError> {
    let mut resources = Vec::new();
    let mut seen = HashSet::new();
    let files = paths.iter().map(|path| files(path));
    for file in files.collect::<Result<Vec<_>, _>>()?.into_iter().flatten() {
        for resource in read_file(&file)? {
            if !seen.insert((resource.kind, resource.name.clone())) {
                let source = ValidationError::Duplicate {
                    kind: resource.kind.to_string(),
                    name: resource.name,
                };
                return Err(OpsError::InvalidFile { path: file, source });
            }
            resources.push(resource);
        }
    }
    resources.sort_by(|a, b| (a.kind, &a.name).cmp(&(b.kind, &b.name)));
    Ok(resources)
}

/// Reads and deserializes a JSON file.
pub fn read_json<T: DeserializeOwned>(path: &Path) -> Result<T, OpsError> {
    let text = read(path)?;
    parse(&text).map_err(|source| OpsError::InvalidFile {
        path: path.to_owned(),
        source,
    })
}

/// Returns the spec with its defaults filled in.
pub fn spec_with_defaults(kind: Kind, spec: &Value) -> Result<Value, ValidationError> {
    match kind {
        Kind::Team => fill_defaults::<TeamSpec>(spec),
        Kind::Service => fill_defaults::<ServiceSpec>(spec),
        Kind::BackendServer => fill_defaults::<BackendServerSpec>(spec),
    }
}

fn files(path: &Path) -> Result<Vec<PathBuf>, OpsError> {
    let read_error = |source| OpsError::Read {
        path: path.to_owned(),
        source,
    };
    if !path.is_dir() {
        return Ok(vec![path.to_owned()]);
    }
    let mut files = Vec::new();
    for entry in fs::read_dir(path).map_err(read_error)? {
        let file = entry.map_err(read_error)?.path();
        if file.is_file()
            && file
                .extension()
                .is_some_and(|extension| extension == "json")
        {
            files.push(file);
        }
    }
    files.sort();
    if files.is_empty() {
        return Err(OpsError::Usage {
            message: format!("`{}` has no .json files", path.display()),
        });
    }
    Ok(files)
}

fn read(path: &Path) -> Result<String, OpsError> {
    fs::read_to_string(path).map_err(|source| OpsError::Read {
        path: path.to_owned(),
        source,
    })
}

fn read_file(path: &Path) -> Result<Vec<Resource>, OpsError> {
    let text = read(path)?;
    parse_resources(&text).map_err(|source| OpsError::InvalidFile {
        path: path.to_owned(),
        source,
    })
}

/// Parses one resource or an array of them. An error lists all invalid fields.
pub fn parse_resources(text: &str) -> Result<Vec<Resource>, ValidationError> {
    let declared = match parse(text)? {
        Value::Array(declared) => declared,
        single => vec![single],
    };
    let mut resources = Vec::new();
    let mut invalid = Vec::new();
    for (position, declared) in declared.iter().enumerate() {
        match validate(declared) {
            Ok(resource) => resources.push(resource),
            Err(errors) => {
                let label = resource_label(position, declared);
                invalid.extend(errors.into_iter().map(|error| InvalidField {
                    resource: label.clone(),
                    error,
                }));
            }
        }
    }
    if invalid.is_empty() {
        return Ok(resources);
    }
    Err(ValidationError::InvalidFields { invalid })
}

fn parse<T: DeserializeOwned>(text: &str) -> Result<T, ValidationError> {
    let mut reader = serde_json::Deserializer::from_str(text);
    let value = serde_path_to_error::deserialize(&mut reader).map_err(json_error)?;
    reader.end().map_err(|source| ValidationError::Json {
        at: "after the end".to_owned(),
        source,
    })?;
    Ok(value)
}

fn fill_defaults<T: DeserializeOwned + Serialize>(spec: &Value) -> Result<Value, ValidationError> {
    let typed: T = serde_path_to_error::deserialize(spec).map_err(json_error)?;
    serde_json::to_value(typed).map_err(|source| ValidationError::Json {
        at: ".".to_owned(),
        source,
    })
}

fn json_error(error: serde_path_to_error::Error<serde_json::Error>) -> ValidationError {
    ValidationError::Json {
        at: error.path().to_string(),
        source: error.into_inner(),
    }
}

/// Names a declaration in errors; its kind or name may be missing.
fn resource_label(position: usize, declared: &Value) -> String {
    let text = |field: &str| declared.get(field).and_then(Value::as_str);
    match (text("kind"), text("name")) {
        (Some(kind), Some(name)) => format!("{kind}/{name}"),
        _ => format!("resource {}", position + 1),
    }
}
