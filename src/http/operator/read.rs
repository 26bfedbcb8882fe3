//! Reads of resources.

use std::time::Duration;

use poem::web::{Data, Path};
use poem::{IntoResponse, Response, handler};
use trefoil_core::config::{ResourceKey, StoredValue};
use trefoil_schema::resources::StoredResource;

use super::render::{Renderer, Source, Stored, json, tagged};
use super::{Collection, OperatorContext, problems};
use crate::sources::platform::KeyValue;

/// Longest wait for the store before what is in force here is shown.
const STORE_WAIT: Duration = Duration::from_millis(500);

#[handler]
pub(super) async fn list(collection: Data<&Collection>) -> Response {
    let (stored, source) = read_all(&collection).await;
    let renderer = Renderer::new(&collection.context);
    let rendered: Vec<StoredResource> = stored
        .into_iter()
        .map(|stored| renderer.render(stored, source))
        .collect();
    json(&rendered)
}

#[handler]
pub(super) async fn one(collection: Data<&Collection>, Path(name): Path<String>) -> Response {
    let key = collection.key(&name);
    let (found, source) = read_one(&collection.context, &key).await;
    let Some(found) = found else {
        return problems::unknown(&key).into_response();
    };
    let Some(stored) = read_value(&found.value, found.revision) else {
        return problems::not_a_resource(&key, found.revision).into_response();
    };
    tagged(&Renderer::new(&collection.context).render(stored, source))
}

async fn read_one(context: &OperatorContext, key: &ResourceKey) -> (Option<StoredValue>, Source) {
    let store_key = context.config.store_key(key);
    let read = context.store.get(&store_key);
    match tokio::time::timeout(STORE_WAIT, read).await {
        Ok(Ok(found)) => (found.map(stored_value), Source::Store),
        Ok(Err(_)) | Err(_) => (context.config.value(key), Source::Memory),
    }
}

fn stored_value(kv: KeyValue) -> StoredValue {
    StoredValue {
        value: kv.value,
        revision: kv.revision,
    }
}

async fn read_all(collection: &Collection) -> (Vec<Stored>, Source) {
    let config = &collection.context.config;
    let prefix = config.store_key(&collection.key(""));
    let read = collection.context.store.range(&prefix);
    if let Ok(Ok(listing)) = tokio::time::timeout(STORE_WAIT, read).await {
        let found = listing.keys.iter();
        let stored = found.filter_map(|kv| read_value(&kv.value, kv.revision));
        return (stored.collect(), Source::Store);
    }
    let known = config.values(collection.kind);
    let stored = known
        .iter()
        .filter_map(|(_, known)| read_value(&known.value, known.revision));
    (stored.collect(), Source::Memory)
}

fn read_value(value: &[u8], revision: u64) -> Option<Stored> {
    let resource = serde_json::from_slice(value).ok()?;
    Some(Stored { resource, revision })
}
