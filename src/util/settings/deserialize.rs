//! Deserializes settings from JSON, continuing past invalid fields.

use serde_json::{Map, Value};
use serde_path_to_error::{Path, Segment};
use trefoil_schema::settings::Settings;

use super::{InvalidSetting, SECTIONS};

/// Largest edit distance at which a known name is suggested.
const HINT_DISTANCE_MAX: usize = 3;
const EXPECTED: &str = ", expected ";
const MISSING: &str = "missing field ";

/// Applies `dotted.path=VALUE` to `base`; a value that is not JSON is taken as a string.
pub(super) fn apply_override(base: &mut Value, item: &str) -> Result<(), InvalidSetting> {
    let Some((path, text)) = item.split_once('=') else {
        return Err(InvalidSetting {
            path: item.to_owned(),
            found: "an override without a value".to_owned(),
            allowed: "--set dotted.path=VALUE".to_owned(),
        });
    };
    let value = serde_json::from_str(text).unwrap_or_else(|_| Value::from(text));
    let target = path
        .split('.')
        .try_fold(base, |parent, name| child_mut(parent, name));
    let Some(target) = target else {
        return Err(InvalidSetting {
            path: path.to_owned(),
            found: "a path into a scalar or past the end of a list".to_owned(),
            allowed: "the dotted path of a field, with list items by index".to_owned(),
        });
    };
    *target = value;
    Ok(())
}

fn child_mut<'a>(parent: &'a mut Value, name: &str) -> Option<&'a mut Value> {
    match parent {
        Value::Object(fields) => Some(
            fields
                .entry(name)
                .or_insert_with(|| Value::Object(Map::new())),
        ),
        Value::Array(items) => items.get_mut(name.parse::<usize>().ok()?),
        _ => None,
    }
}

/// Deserializes `value`; each invalid field is added to `invalid` and takes its
/// default.
pub(super) fn deserialize(mut value: Value, invalid: &mut Vec<InvalidSetting>) -> Settings {
    loop {
        fill_sections(&mut value);
        let error = match serde_path_to_error::deserialize::<_, Settings>(&value) {
            Ok(settings) => return settings,
            Err(error) => error,
        };
        let path = error.path().clone();
        let message = error.into_inner().to_string();
        invalid.push(invalid_setting(&path, &message));
        if !remove_invalid(&mut value, &path, &message) {
            value = Value::Object(Map::new());
        }
    }
}

/// Inserts absent sections as empty objects, so that their fields take their own defaults.
fn fill_sections(value: &mut Value) {
    let Some(fields) = value.as_object_mut() else {
        return;
    };
    for name in SECTIONS {
        fields
            .entry(name)
            .or_insert_with(|| Value::Object(Map::new()));
    }
}

fn invalid_setting(path: &Path, message: &str) -> InvalidSetting {
    if let Some(name) = message.strip_prefix(MISSING) {
        return InvalidSetting {
            path: join(&dotted(path), name.trim_matches('`')),
            found: "nothing".to_owned(),
            allowed: "a value; the field is required".to_owned(),
        };
    }
    let (found, allowed) = message.split_once(EXPECTED).unwrap_or((message, "?"));
    let hint = match found.starts_with("unknown ") {
        true => nearest(found, allowed),
        false => None,
    };
    let hint = hint.map_or_else(String::new, |name| format!("; hint: did you mean {name}?"));
    InvalidSetting {
        path: dotted(path),
        found: found.to_owned(),
        allowed: format!("{}{hint}", allowed.replace('`', "")),
    }
}

/// Returns the allowed name closest to the quoted name in `found`.
fn nearest(found: &str, allowed: &str) -> Option<String> {
    let name = found.split('`').nth(1)?;
    let known = allowed.split('`').skip(1).step_by(2);
    known
        .map(|other| (distance(name, other), other))
        .filter(|(distance, _)| *distance <= HINT_DISTANCE_MAX)
        .min()
        .map(|(_, other)| other.to_owned())
}

/// Levenshtein distance between two names.
fn distance(left: &str, right: &str) -> usize {
    let mut row: Vec<usize> = (0..=right.chars().count()).collect();
    for (line, from) in left.chars().enumerate() {
        let mut diagonal = line;
        row[0] = line + 1;
        for (column, to) in right.chars().enumerate() {
            let replaced = diagonal + usize::from(from != to);
            diagonal = row[column + 1];
            row[column + 1] = replaced.min(diagonal + 1).min(row[column] + 1);
        }
    }
    row.last().copied().unwrap_or_default()
}

/// Removes the invalid field, or inserts the missing one, so that deserialization can
/// continue. Returns false if the path does not exist in `value`.
fn remove_invalid(value: &mut Value, path: &Path, message: &str) -> bool {
    let segments: Vec<_> = path.iter().collect();
    if let Some(name) = message.strip_prefix(MISSING) {
        let Some(Value::Object(fields)) = descend(value, &segments) else {
            return false;
        };
        fields.insert(name.trim_matches('`').to_owned(), Value::from(""));
        return true;
    }
    let Some((last, parents)) = segments.split_last() else {
        return false;
    };
    match (descend(value, parents), last) {
        (Some(Value::Object(fields)), Segment::Map { key }) => fields.remove(key).is_some(),
        (Some(Value::Array(items)), Segment::Seq { index }) if *index < items.len() => {
            items.remove(*index);
            true
        }
        _ => false,
    }
}

fn descend<'a>(value: &'a mut Value, segments: &[&Segment]) -> Option<&'a mut Value> {
    segments
        .iter()
        .try_fold(value, |parent, segment| match (parent, segment) {
            (Value::Object(fields), Segment::Map { key }) => fields.get_mut(key),
            (Value::Array(items), Segment::Seq { index }) => items.get_mut(*index),
            _ => None,
        })
}

/// Formats the path with dots and list indices, such as `peers.0.instance`.
fn dotted(path: &Path) -> String {
    let names = path.iter().map(|segment| match segment {
        Segment::Seq { index } => index.to_string(),
        Segment::Map { key } => key.clone(),
        Segment::Enum { variant } => variant.clone(),
        Segment::Unknown => "?".to_owned(),
    });
    names.collect::<Vec<_>>().join(".")
}

fn join(path: &str, name: &str) -> String {
    match path {
        "" => name.to_owned(),
        _ => format!("{path}.{name}"),
    }
}
