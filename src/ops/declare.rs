//! Resource files, read and checked against the schema's form.

use std::collections::HashSet;
use std::fs;
use std::path::{Path, PathBuf};

use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use trefoil_core::config::validation::validate;
use trefoil_schema::resources::{BackendServerSpec, Kind, Resource, ServiceSpec, TeamSpec};

use super::error::{FormError, OpsError, WrongField};

/// Reads files, and the `.json` files directly in directories, in the order in
/// which resources are applied: teams, services, backend servers.
pub fn load(paths: &[PathBuf]) -> Result<Vec<Resource>, OpsError> {
    let mut resources = Vec::new();
    let mut seen = HashSet::new();
    let files = paths.iter().map(|path| files(path));
    for file in files.collect::<Result<Vec<_>, _>>()?.into_iter().flatten() {
        for resource in read_file(&file)? {
            if !seen.insert((resource.kind, resource.name.clone())) {
                let source = FormError::Twice {
                    kind: resource.kind.to_string(),
                    name: resource.name,
                };
                return Err(OpsError::Form { path: file, source });
            }
            resources.push(resource);
        }
    }
    resources.sort_by(|a, b| (a.kind, &a.name).cmp(&(b.kind, &b.name)));
    Ok(resources)
}

/// Reads any JSON file as `T`.
pub fn read_json<T: DeserializeOwned>(path: &Path) -> Result<T, OpsError> {
    let text = read(path)?;
    parse(&text).map_err(|source| OpsError::Form {
        path: path.to_owned(),
        source,
    })
}

/// The spec with every default written out; refuses a spec of the wrong form.
pub fn complete_spec(kind: Kind, spec: &Value) -> Result<Value, FormError> {
    match kind {
        Kind::Team => complete::<TeamSpec>(spec),
        Kind::Service => complete::<ServiceSpec>(spec),
        Kind::BackendServer => complete::<BackendServerSpec>(spec),
    }
}

fn files(path: &Path) -> Result<Vec<PathBuf>, OpsError> {
    let failed = |source| OpsError::Read {
        path: path.to_owned(),
        source,
    };
    if !path.is_dir() {
        return Ok(vec![path.to_owned()]);
    }
    let mut files = Vec::new();
    for entry in fs::read_dir(path).map_err(failed)? {
        let file = entry.map_err(failed)?.path();
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
    parse_resources(&text).map_err(|source| OpsError::Form {
        path: path.to_owned(),
        source,
    })
}

/// Reads one resource or an array of them, and finds every wrong field.
pub fn parse_resources(text: &str) -> Result<Vec<Resource>, FormError> {
    let declared = match parse(text)? {
        Value::Array(declared) => declared,
        single => vec![single],
    };
    let mut resources = Vec::new();
    let mut wrong = Vec::new();
    for (position, declared) in declared.iter().enumerate() {
        match validate(declared) {
            Ok(resource) => resources.push(resource),
            Err(errors) => {
                let title = title(position, declared);
                wrong.extend(errors.into_iter().map(|error| WrongField {
                    resource: title.clone(),
                    error,
                }));
            }
        }
    }
    if wrong.is_empty() {
        return Ok(resources);
    }
    Err(FormError::Fields { wrong })
}

fn parse<T: DeserializeOwned>(text: &str) -> Result<T, FormError> {
    let mut reader = serde_json::Deserializer::from_str(text);
    let value = serde_path_to_error::deserialize(&mut reader).map_err(json_error)?;
    reader.end().map_err(|source| FormError::Json {
        at: "after the end".to_owned(),
        source,
    })?;
    Ok(value)
}

fn complete<T: DeserializeOwned + Serialize>(spec: &Value) -> Result<Value, FormError> {
    let typed: T = serde_path_to_error::deserialize(spec).map_err(json_error)?;
    serde_json::to_value(typed).map_err(|source| FormError::Json {
        at: ".".to_owned(),
        source,
    })
}

fn json_error(error: serde_path_to_error::Error<serde_json::Error>) -> FormError {
    FormError::Json {
        at: error.path().to_string(),
        source: error.into_inner(),
    }
}

/// How errors call a declaration whose fields may be wrong.
fn title(position: usize, declared: &Value) -> String {
    let text = |field: &str| declared.get(field).and_then(Value::as_str);
    match (text("kind"), text("name")) {
        (Some(kind), Some(name)) => format!("{kind}/{name}"),
        _ => format!("resource {}", position + 1),
    }
}
