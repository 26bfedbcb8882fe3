//! Validates declarations and reports every invalid field.
//!
//! Types, required fields, unknown fields and enum values are checked against
//! the resources' JSON Schema. Constraints that the schema does not express
//! (names, addresses, ranges) are in [`rules`].

use std::sync::LazyLock;

use serde_json::Value;
use trefoil_schema::RESOURCES_SCHEMA;
use trefoil_schema::api::FieldError;
use trefoil_schema::resources::{Kind, Resource};

mod rules;
mod schema;

/// Maximum length of a resource's name, in bytes.
pub const NAME_BYTES_MAX: usize = 63;

static SCHEMA: LazyLock<Value> =
    LazyLock::new(|| serde_json::from_str(RESOURCES_SCHEMA).expect("the schema is JSON"));

/// Validates and parses a declaration.
///
/// # Errors
///
/// Returns one error for each invalid field, with the value found and what is
/// allowed.
pub fn validate(declared: &Value) -> Result<Resource, Vec<FieldError>> {
    let mut errors = schema::check(&SCHEMA, &SCHEMA, "", declared);
    if let Some(spec_schema) = spec_schema(declared) {
        let spec = declared.get("spec").unwrap_or(&Value::Null);
        errors.extend(schema::check(&SCHEMA, spec_schema, "spec", spec));
    }
    // A rule is more specific than the field's type, so its error replaces the
    // schema's error for the same field.
    let rule_errors = rules::check(declared);
    errors.retain(|error| rule_errors.iter().all(|rule| rule.path != error.path));
    errors.extend(rule_errors);
    if !errors.is_empty() {
        return Err(errors);
    }
    serde_json::from_value(declared.clone()).map_err(|error| {
        let allowed = "a resource".to_owned();
        vec![field_error("", error.to_string(), allowed)]
    })
}

/// Dotted paths of the fields in which two declarations differ.
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

fn field_error(path: impl Into<String>, found: String, allowed: impl Into<String>) -> FieldError {
    FieldError {
        path: path.into(),
        found,
        allowed: allowed.into(),
    }
}
