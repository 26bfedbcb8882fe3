//! Validates a value against the subset of JSON Schema that the resources use:
//! types, required and unknown fields, enums, integer formats.

use serde_json::{Map, Value};
use trefoil_schema::api::FieldError;

use super::field_error;

const REFERENCE_PREFIX: &str = "#/definitions/";
/// Maximum length of the excerpt of an invalid value in an error, in characters.
const EXCERPT_CHARS_MAX: usize = 60;

/// Every violation of `schema` in `value`, which is at `path`.
pub(super) fn check(root: &Value, schema: &Value, path: &str, value: &Value) -> Vec<FieldError> {
    let schema = resolve(root, schema);
    if let Some(allowed) = schema.get("enum").and_then(Value::as_array) {
        return check_enum(allowed, path, value);
    }
    match schema.get("type").and_then(Value::as_str) {
        Some("object") => check_object(root, schema, path, value),
        Some("integer") => check_integer(schema, path, value),
        Some("boolean") => expect(value.is_boolean(), path, value, "true or false"),
        Some("string") => expect(value.is_string(), path, value, "a string"),
        _ => Vec::new(),
    }
}

/// Adds to `paths` the paths at which `before` and `after` differ.
pub(super) fn compare(path: &str, before: &Value, after: &Value, paths: &mut Vec<String>) {
    if before == after {
        return;
    }
    let (Value::Object(old), Value::Object(new)) = (before, after) else {
        paths.push(path.to_owned());
        return;
    };
    let added = new.keys().filter(|name| !old.contains_key(*name));
    for name in old.keys().chain(added) {
        let old_value = old.get(name).unwrap_or(&Value::Null);
        let new_value = new.get(name).unwrap_or(&Value::Null);
        compare(&join(path, name), old_value, new_value, paths);
    }
}

/// The start of a value's JSON text, for error messages.
pub(super) fn excerpt(value: &Value) -> String {
    let text = value.to_string();
    match text.char_indices().nth(EXCERPT_CHARS_MAX) {
        Some((end, _)) => format!("{}...", &text[..end]),
        None => text,
    }
}

fn resolve<'a>(root: &'a Value, schema: &'a Value) -> &'a Value {
    let wrapped = schema.get("allOf").and_then(|all| all.get(0));
    let schema = wrapped.unwrap_or(schema);
    let reference = schema.get("$ref").and_then(Value::as_str);
    let name = reference.and_then(|text| text.strip_prefix(REFERENCE_PREFIX));
    name.and_then(|name| root.get("definitions")?.get(name))
        .unwrap_or(schema)
}

fn check_object(root: &Value, schema: &Value, path: &str, value: &Value) -> Vec<FieldError> {
    let Value::Object(fields) = value else {
        return vec![field_error(path, excerpt(value), "an object")];
    };
    let none = Map::new();
    let known = schema.get("properties").and_then(Value::as_object);
    let known = known.unwrap_or(&none);
    let mut errors = missing_fields(schema, path, fields);
    for (name, value) in fields {
        let path = join(path, name);
        match known.get(name).or(schema.get("additionalProperties")) {
            Some(Value::Object(_)) => {
                let schema = known.get(name).unwrap_or(&schema["additionalProperties"]);
                errors.extend(check(root, schema, &path, value));
            }
            _ => errors.push(unknown_field(&path, known)),
        }
    }
    errors
}

fn missing_fields(schema: &Value, path: &str, fields: &Map<String, Value>) -> Vec<FieldError> {
    let required = schema.get("required").and_then(Value::as_array);
    required
        .into_iter()
        .flatten()
        .filter_map(Value::as_str)
        .filter(|name| !fields.contains_key(*name))
        .map(|name| {
            field_error(
                join(path, name),
                "nothing".to_owned(),
                "a value; it is required",
            )
        })
        .collect()
}

fn unknown_field(path: &str, known: &Map<String, Value>) -> FieldError {
    let names: Vec<&str> = known.keys().map(String::as_str).collect();
    let allowed = format!("one of the fields {}", names.join(", "));
    field_error(path, "an unknown field".to_owned(), allowed)
}

fn check_enum(allowed: &[Value], path: &str, value: &Value) -> Vec<FieldError> {
    let names: Vec<String> = allowed.iter().map(Value::to_string).collect();
    let allowed_text = format!("one of {}", names.join(", "));
    expect(allowed.contains(value), path, value, &allowed_text)
}

fn check_integer(schema: &Value, path: &str, value: &Value) -> Vec<FieldError> {
    let max = match schema.get("format").and_then(Value::as_str) {
        Some("uint32") => u64::from(u32::MAX),
        _ => u64::MAX,
    };
    let is_valid = value.as_u64().is_some_and(|number| number <= max);
    expect(
        is_valid,
        path,
        value,
        &format!("a whole number from 0 to {max}"),
    )
}

fn expect(is_valid: bool, path: &str, value: &Value, allowed: &str) -> Vec<FieldError> {
    if is_valid {
        return Vec::new();
    }
    vec![field_error(path, excerpt(value), allowed)]
}

fn join(path: &str, name: &str) -> String {
    if path.is_empty() {
        return name.to_owned();
    }
    format!("{path}.{name}")
}
