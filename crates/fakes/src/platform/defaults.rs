//! Omission of fields with default values, as in etcd's JSON mapping.

use serde::Serialize;
use serde_json::Value;

/// Default value of an event's type.
const DEFAULT_EVENT_TYPE: &str = "PUT";

/// Converts a message to JSON, without fields with default values if `omit_defaults` is set.
pub(super) fn to_value<T: Serialize>(
    message: &T,
    omit_defaults: bool,
) -> serde_json::Result<Value> {
    let value = serde_json::to_value(message)?;
    match omit_defaults {
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

/// Strings hold 64-bit integers, base64 and enum values. "0" is not valid base64, so it is always an
/// integer.
fn is_default_text(name: &str, text: &str) -> bool {
    match name {
        "type" => text == DEFAULT_EVENT_TYPE,
        _ => text.is_empty() || text == "0",
    }
}
