//! Finds every wrong field of a declaration.
//!
//! The form (types, required and unknown fields, closed sets) is read from
//! the resources' JSON Schema, so that it stands in one place; rules that the
//! schema does not express (names, addresses, ranges) follow in [`rules`].

use std::sync::LazyLock;

use serde_json::Value;
use trefoil_schema::RESOURCES_SCHEMA;
use trefoil_schema::api::FieldError;
use trefoil_schema::resources::{Kind, Resource};

mod rules;
mod schema;

/// Longest name of a resource, in bytes.
pub const NAME_BYTES_MAX: usize = 63;

static SCHEMA: LazyLock<Value> =
    LazyLock::new(|| serde_json::from_str(RESOURCES_SCHEMA).expect("the schema is JSON"));

/// Reads a declaration; on failure, every wrong field with what was found and
/// what is allowed.
pub fn check(declared: &Value) -> Result<Resource, Vec<FieldError>> {
    let mut errors = schema::check(&SCHEMA, &SCHEMA, "", declared);
    if let Some(spec_schema) = spec_schema(declared) {
        let spec = declared.get("spec").unwrap_or(&Value::Null);
        errors.extend(schema::check(&SCHEMA, spec_schema, "spec", spec));
    }
    // A rule allows less than the field's type and so says more.
    let broken = rules::check(declared);
    errors.retain(|error| broken.iter().all(|rule| rule.path != error.path));
    errors.extend(broken);
    if !errors.is_empty() {
        return Err(errors);
    }
    serde_json::from_value(declared.clone()).map_err(|error| {
        let allowed = "a resource".to_owned();
        vec![wrong("", error.to_string(), allowed)]
    })
}

/// Paths, dotted, at which two declarations differ.
pub fn changed_paths(before: &Value, after: &Value) -> Vec<String> {
    let mut paths = Vec::new();
    schema::compare("", before, after, &mut paths);
    paths
}

fn spec_schema(declared: &Value) -> Option<&'static Value> {
    declared.get("spec")?;
    let kind: Kind = declared.get("kind")?.as_str()?.parse().ok()?;
    let name = match kind {
        Kind::Team => "TeamSpec",
        Kind::Service => "ServiceSpec",
        Kind::BackendServer => "BackendServerSpec",
    };
    SCHEMA.get("definitions")?.get(name)
}

fn wrong(path: impl Into<String>, found: String, allowed: impl Into<String>) -> FieldError {
    FieldError {
        path: path.into(),
        found,
        allowed: allowed.into(),
    }
}
