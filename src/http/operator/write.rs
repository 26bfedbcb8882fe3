//! Writes of resources.

use bytes::Bytes;
use poem::http::{HeaderMap, StatusCode};
use poem::web::{Data, Path, Query};
use poem::{Body, IntoResponse, Response, handler};
use serde::Deserialize;
use serde_json::Value;
use trefoil_core::config::ResourceKey;
use trefoil_core::config::validation::validate;
use trefoil_schema::api::FieldError;
use trefoil_schema::resources::Resource;

use super::precondition::Precondition;
use super::render::{Declaration, Renderer, Source, json_with_etag};
use super::{Collection, OperatorContext, problems};
use crate::http::problem::Problem;
use crate::sources::config::write::{WriteError, write_if_unchanged};
use crate::sources::platform::KeyValue;

/// Maximum size of a declaration's body, in bytes.
const DECLARATION_BYTES_MAX: usize = 64 << 10;

#[derive(Deserialize)]
pub(super) struct WriteQuery {
    #[serde(default)]
    dry_run: bool,
}

#[handler]
pub(super) async fn declare(
    collection: Data<&Collection>,
    Path(name): Path<String>,
    Query(query): Query<WriteQuery>,
    headers: &HeaderMap,
    body: Body,
) -> Response {
    let key = collection.key(&name);
    let context = &collection.context;
    match put(context, &key, query.dry_run, headers, body).await {
        Ok(found) => json_with_etag(&Renderer::new(context).render(found, Source::Store)),
        Err(problem) => problem.into_response(),
    }
}

#[handler]
pub(super) async fn remove(
    collection: Data<&Collection>,
    Path(name): Path<String>,
    Query(query): Query<WriteQuery>,
    headers: &HeaderMap,
) -> Response {
    let key = collection.key(&name);
    match delete(&collection.context, &key, query.dry_run, headers).await {
        Ok(()) => StatusCode::NO_CONTENT.into_response(),
        Err(problem) => problem.into_response(),
    }
}

async fn put(
    context: &OperatorContext,
    key: &ResourceKey,
    dry_run: bool,
    headers: &HeaderMap,
    body: Body,
) -> Result<Declaration, Problem> {
    let condition = Precondition::from_headers(headers).map_err(problems::invalid_precondition)?;
    let declared = read_body(body).await?;
    let resource = parse_declaration(key, &declared)
        .map_err(|errors| problems::invalid_resource(key, errors))?;
    let before = read_current(context, key).await?;
    if !condition.holds(revision_of(before.as_ref())) {
        return Err(problems::precondition_failed(
            key,
            before.as_ref(),
            Some(&declared),
        ));
    }
    if dry_run || is_unchanged(before.as_ref(), &declared) {
        let revision = revision_of(before.as_ref());
        return Ok(Declaration { resource, revision });
    }
    // `Value` sorts its fields, so equal declarations serialize to equal text.
    let value = Bytes::from(declared.to_string());
    let revision = write_value(context, key, before.as_ref(), Some(value))
        .await
        .map_err(|error| problems::write_failed(key, &error, Some(&declared)))?;
    Ok(Declaration { resource, revision })
}

async fn delete(
    context: &OperatorContext,
    key: &ResourceKey,
    dry_run: bool,
    headers: &HeaderMap,
) -> Result<(), Problem> {
    let condition = Precondition::from_headers(headers).map_err(problems::invalid_precondition)?;
    let before = read_current(context, key).await?;
    if !condition.holds(revision_of(before.as_ref())) {
        return Err(problems::precondition_failed(key, before.as_ref(), None));
    }
    if before.is_none() {
        return Err(problems::not_declared(key));
    }
    if dry_run {
        return Ok(());
    }
    write_value(context, key, before.as_ref(), None)
        .await
        .map(|_| ())
        .map_err(|error| problems::write_failed(key, &error, None))
}

async fn write_value(
    context: &OperatorContext,
    key: &ResourceKey,
    before: Option<&KeyValue>,
    value: Option<Bytes>,
) -> Result<u64, WriteError> {
    let store_key = context.config.store_key(key);
    write_if_unchanged(
        context.store.as_ref(),
        &context.platform,
        &store_key,
        before,
        value,
    )
    .await
}

async fn read_current(
    context: &OperatorContext,
    key: &ResourceKey,
) -> Result<Option<KeyValue>, Problem> {
    let store_key = context.config.store_key(key);
    let found = context.store.get(&store_key).await;
    found.map_err(|error| problems::store_unreachable(&error))
}

async fn read_body(body: Body) -> Result<Value, Problem> {
    let bytes = body
        .into_bytes_limit(DECLARATION_BYTES_MAX)
        .await
        .map_err(|_| problems::too_large(DECLARATION_BYTES_MAX))?;
    serde_json::from_slice(&bytes)
        .map_err(|error| problems::malformed(format!("the body is not JSON: {error}")))
}

fn parse_declaration(key: &ResourceKey, declared: &Value) -> Result<Resource, Vec<FieldError>> {
    let resource = validate(declared)?;
    let kind = key.kind.to_string();
    let kind_error = mismatch("kind", &resource.kind.to_string(), &kind);
    let name_error = mismatch("name", &resource.name, &key.name);
    let errors: Vec<FieldError> = kind_error.into_iter().chain(name_error).collect();
    match errors.is_empty() {
        true => Ok(resource),
        false => Err(errors),
    }
}

fn mismatch(path: &str, found: &str, expected: &str) -> Option<FieldError> {
    (found != expected).then(|| FieldError {
        path: path.to_owned(),
        found: found.to_owned(),
        allowed: format!("{expected}, as in the path of the request"),
    })
}

fn revision_of(current: Option<&KeyValue>) -> u64 {
    current.map_or(0, |kv| kv.revision)
}

fn is_unchanged(current: Option<&KeyValue>, declared: &Value) -> bool {
    current.is_some_and(|kv| {
        serde_json::from_slice::<Value>(&kv.value).is_ok_and(|found| found == *declared)
    })
}
