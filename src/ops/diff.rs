//! What applying would change, as a unified diff.

use serde_json::{Value, json};
use similar::TextDiff;
use trefoil_schema::resources::{Kind, Resource, StoredResource};

use super::apply::{Change, Step, completed};

/// Unchanged lines shown round a change.
const CONTEXT_LINES: usize = 3;

/// The unified diff of a step; empty where nothing changes.
pub fn unified(step: &Step) -> String {
    if step.change == Change::Unchanged {
        return String::new();
    }
    let resource = &step.resource;
    let old = step.live.as_ref().map(live_text).unwrap_or_default();
    let new = declared_text(resource);
    let title = format!("{}/{}", resource.kind, resource.name);
    TextDiff::from_lines(&old, &new)
        .unified_diff()
        .context_radius(CONTEXT_LINES)
        .header(&format!("live/{title}"), &format!("declared/{title}"))
        .to_string()
}

fn live_text(live: &StoredResource) -> String {
    text(live.kind, &live.spec, json!(live.labels))
}

fn declared_text(resource: &Resource) -> String {
    text(resource.kind, &resource.spec, json!(resource.labels))
}

fn text(kind: Kind, spec: &Value, labels: Value) -> String {
    let shown = json!({ "labels": labels, "spec": completed(kind, spec) });
    let mut text = serde_json::to_string_pretty(&shown).unwrap_or_default();
    text.push('\n');
    text
}
