//! Constraints on single fields that the JSON Schema does not express.

use std::net::SocketAddr;

use serde_json::Value;
use trefoil_schema::api::FieldError;
use trefoil_schema::resources::Kind;

use super::schema::excerpt;
use super::{NAME_BYTES_MAX, field_error};

const PERCENT_MAX: u64 = 100;
const TASK_TIMEOUT_MS_MAX: u64 = 3_600_000;
const SLOTS_MAX: u64 = 10_000;
const WEIGHT_MAX: u64 = 1_000_000;

/// Constraint on a field's value.
#[derive(Clone, Copy)]
enum Rule {
    Name,
    Label,
    Address,
    Path,
    Range(u64, u64),
}

const COMMON: &[(&str, Rule)] = &[("name", Rule::Name)];
const TEAM: &[(&str, Rule)] = &[("spec.weight", Rule::Range(1, WEIGHT_MAX))];
const SERVICE: &[(&str, Rule)] = &[
    ("spec.path", Rule::Path),
    ("spec.declared_run_ms", Rule::Range(1, TASK_TIMEOUT_MS_MAX)),
    ("spec.task_timeout_ms", Rule::Range(1, TASK_TIMEOUT_MS_MAX)),
    ("spec.payload_bytes_max", Rule::Range(1, u64::MAX)),
    (
        "spec.targets.refused_percent_max",
        Rule::Range(0, PERCENT_MAX),
    ),
];
const BACKEND_SERVER: &[(&str, Rule)] = &[
    ("spec.service", Rule::Name),
    ("spec.failure_domain", Rule::Label),
    ("spec.address", Rule::Address),
    ("spec.slots", Rule::Range(1, SLOTS_MAX)),
];

/// Violated rules; absent fields are skipped.
pub(super) fn check(declared: &Value) -> Vec<FieldError> {
    let kind = declared.get("kind").and_then(Value::as_str);
    let of_kind = match kind.and_then(|kind| kind.parse().ok()) {
        Some(Kind::Team) => TEAM,
        Some(Kind::Service) => SERVICE,
        Some(Kind::BackendServer) => BACKEND_SERVER,
        None => &[],
    };
    COMMON
        .iter()
        .chain(of_kind)
        .filter_map(|(path, rule)| violation(path, *rule, find(declared, path)?))
        .collect()
}

fn find<'a>(declared: &'a Value, path: &str) -> Option<&'a Value> {
    path.split('.')
        .try_fold(declared, |value, name| value.get(name))
}

fn violation(path: &str, rule: Rule, value: &Value) -> Option<FieldError> {
    let is_valid = match rule {
        Rule::Name => value.as_str().is_some_and(is_name),
        Rule::Label => value.as_str().is_some_and(is_label),
        Rule::Address => value.as_str().is_some_and(is_address),
        Rule::Path => value.as_str().is_some_and(is_path),
        Rule::Range(min, max) => value.as_u64().is_some_and(|n| (min..=max).contains(&n)),
    };
    (!is_valid).then(|| field_error(path, excerpt(value), rule.allowed()))
}

impl Rule {
    fn allowed(self) -> String {
        match self {
            Self::Name => format!(
                "1 to {NAME_BYTES_MAX} of a-z, 0-9 and '-', starting and ending with a letter or digit"
            ),
            Self::Label => format!("1 to {NAME_BYTES_MAX} of letters, digits, '-', '_' and '.'"),
            Self::Address => "IP:PORT with a port above 0, such as 10.0.0.7:8080".to_owned(),
            Self::Path => "an absolute path of visible ASCII, such as /run".to_owned(),
            Self::Range(min, max) => format!("a whole number from {min} to {max}"),
        }
    }
}

fn is_name(text: &str) -> bool {
    let alphanumeric = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit();
    let bytes = text.as_bytes();
    let (Some(&first), Some(&last)) = (bytes.first(), bytes.last()) else {
        return false;
    };
    bytes.len() <= NAME_BYTES_MAX
        && alphanumeric(first)
        && alphanumeric(last)
        && bytes.iter().all(|&byte| alphanumeric(byte) || byte == b'-')
}

fn is_label(text: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    (1..=NAME_BYTES_MAX).contains(&text.len()) && text.bytes().all(allowed)
}

fn is_address(text: &str) -> bool {
    text.parse::<SocketAddr>()
        .is_ok_and(|address| address.port() > 0)
}

fn is_path(text: &str) -> bool {
    text.starts_with('/') && text.bytes().all(|byte| byte.is_ascii_graphic())
}
