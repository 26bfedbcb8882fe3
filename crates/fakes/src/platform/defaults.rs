//! The mapping's habit of leaving out fields that have their default value.

use serde::Serialize;
use serde_json::Value;

/// Kind of an event that is the default of its enumeration.
const DEFAULT_EVENT: &str = "PUT";

/// A message as JSON, without fields of default value where `omit` is set.
pub(super) fn to_value<T: Serialize>(message: &T, omit: bool) -> serde_json::Result<Value> {
    let value = serde_json::to_value(message)?;
    match omit {
        true => Ok(without_defaults(value)),
        false => Ok(value),
    }
}

fn without_defaults(value: Value) -> Value {
    match value {
        Value::Object(fields) => fields
            .into_iter()
            .filter(|(name, value)| !is_default(name, value))
            .map(|(name, value)| (name, without_defaults(value)))
            .collect(),
        Value::Array(items) => items.into_iter().map(without_defaults).collect(),
        Value::Null | Value::Bool(_) | Value::Number(_) | Value::String(_) => value,
    }
}

fn is_default(name: &str, value: &Value) -> bool {
    match value {
        Value::Null => true,
        Value::Bool(flag) => !flag,
        Value::String(text) => is_default_text(name, text),
        Value::Array(items) => items.is_empty(),
        Value::Number(_) | Value::Object(_) => false,
    }
}

/// Text holds integers, bytes and the names of enumerations. Base64 has no
/// text "0", so an integer's zero cannot be taken for bytes.
fn is_default_text(name: &str, text: &str) -> bool {
    match name {
        "type" => text == DEFAULT_EVENT,
        _ => text.is_empty() || text == "0",
    }
}
