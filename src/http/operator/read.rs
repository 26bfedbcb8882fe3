//! Reads of resources.

use std::time::Duration;

use poem::web::{Data, Path};
use poem::{IntoResponse, Response, handler};
use trefoil_core::config::{ResourceKey, StoredValue};
use trefoil_schema::resources::StoredResource;

use super::render::{Declaration, Renderer, Source, json, json_with_etag};
use super::{Collection, OperatorContext, problems};
use crate::sources::platform::KeyValue;

/// Timeout of a store read, after which the configuration in force is returned.
const STORE_TIMEOUT: Duration = Duration::from_millis(500);

#[handler]
pub(super) async fn list(collection: Data<&Collection>) -> Response {
    let (declarations, source) = read_all(&collection).await;
    let renderer = Renderer::new(&collection.context);
    let rendered: Vec<StoredResource> = declarations
        .into_iter()
        .map(|declaration| renderer.render(declaration, source))
        .collect();
    json(&rendered)
}

#[handler]
pub(super) async fn get_one(collection: Data<&Collection>, Path(name): Path<String>) -> Response {
    let key = collection.key(&name);
    let (found, source) = read_one(&collection.context, &key).await;
    let Some(found) = found else {
        return problems::not_declared(&key).into_response();
    };
    let Some(declaration) = read_value(&found.value, found.revision) else {
        return problems::unreadable_resource(&key, found.revision).into_response();
    };
    json_with_etag(&Renderer::new(&collection.context).render(declaration, source))
}

async fn read_one(context: &OperatorContext, key: &ResourceKey) -> (Option<StoredValue>, Source) {
    let store_key = context.config.store_key(key);
    let read = context.store.get(&store_key);
    match tokio::time::timeout(STORE_TIMEOUT, read).await {
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

async fn read_all(collection: &Collection) -> (Vec<Declaration>, Source) {
    let config = &collection.context.config;
    let prefix = config.store_key(&collection.key(""));
    let read = collection.context.store.range(&prefix);
    if let Ok(Ok(listing)) = tokio::time::timeout(STORE_TIMEOUT, read).await {
        let found = listing.keys.iter();
        let declarations = found.filter_map(|kv| read_value(&kv.value, kv.revision));
        return (declarations.collect(), Source::Store);
    }
    let known = config.values(collection.kind);
    let declarations = known
        .iter()
        .filter_map(|(_, known)| read_value(&known.value, known.revision));
    (declarations.collect(), Source::Memory)
}

fn read_value(value: &[u8], revision: u64) -> Option<Declaration> {
    let resource = serde_json::from_slice(value).ok()?;
    Some(Declaration { resource, revision })
}
