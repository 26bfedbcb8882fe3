//! The changes of a plan as a unified diff.

use serde_json::{Value, json};
use similar::TextDiff;
use trefoil_schema::resources::{Kind, Resource, StoredResource};

use super::apply::{Change, Step, normalized_spec};

const CONTEXT_LINES: usize = 3;

/// Returns the unified diff of a step, empty if nothing changes.
pub fn unified(step: &Step) -> String {
    if step.change == Change::Unchanged {
        return String::new();
    }
    let resource = &step.resource;
    let old = step.live.as_ref().map(render_live).unwrap_or_default();
    let new = render_declared(resource);
    let title = format!("{}/{}", resource.kind, resource.name);
    TextDiff::from_lines(&old, &new)
        .unified_diff()
        .context_radius(CONTEXT_LINES)
        .header(&format!("live/{title}"), &format!("declared/{title}"))
        .to_string()
}

fn render_live(live: &StoredResource) -> String {
    render(live.kind, &live.spec, json!(live.labels))
}

fn render_declared(resource: &Resource) -> String {
    render(resource.kind, &resource.spec, json!(resource.labels))
}

fn render(kind: Kind, spec: &Value, labels: Value) -> String {
    let shown = json!({ "labels": labels, "spec": normalized_spec(kind, spec) });
    let mut text = serde_json::to_string_pretty(&shown).unwrap_or_default();
    text.push('\n');
    text
}
