//! Reads of resources.

use std::time::Duration;

use poem::web::{Data, Path};
use poem::{IntoResponse, Response, handler};
use trefoil_core::config::ResourceKey;
use trefoil_schema::resources::StoredResource;

use super::render::{Renderer, Source, Stored, json, tagged};
use super::{Collection, OperatorContext, refuse};

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
    let (stored, source) = read_one(&collection.context, &key).await;
    let Some(stored) = stored else {
        return refuse::unknown(&key).into_response();
    };
    tagged(&Renderer::new(&collection.context).render(stored, source))
}

async fn read_one(context: &OperatorContext, key: &ResourceKey) -> (Option<Stored>, Source) {
    let store_key = context.config.store_key(key);
    let read = context.store.get(&store_key);
    if let Ok(Ok(found)) = tokio::time::timeout(STORE_WAIT, read).await {
        let stored = found.and_then(|kv| read_value(&kv.value, kv.revision));
        return (stored, Source::Store);
    }
    let known = context.config.value(key);
    let stored = known.and_then(|known| read_value(&known.value, known.revision));
    (stored, Source::Memory)
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
