//! The operators' resource API.
//!
//! Reads of one resource ask the store first and fall back to what is in
//! force here, and say so; writes need the store. Nothing here decides what a
//! declaration may be: that is [`trefoil_core::config::check`].

use std::sync::Arc;

use poem::web::Json;
use poem::{EndpointExt, Route, get, handler};
use trefoil_core::config::ResourceKey;
use trefoil_schema::api::StatusResponse;
use trefoil_schema::resources::{Condition, Kind};
use trefoil_schema::settings::PlatformSettings;

use crate::sources::config::ConfigHandle;
use crate::sources::platform::PlatformStore;

mod precondition;
mod problems;
mod read;
mod render;
mod write;

/// Gives the deployment as this instance sees it.
pub type StatusSource = Arc<dyn Fn() -> StatusResponse + Send + Sync>;

/// Gives further conditions of a resource, such as `Healthy`.
pub type ConditionSource = Arc<dyn Fn(&ResourceKey) -> Vec<Condition> + Send + Sync>;

/// What the operators' API works with.
#[derive(Clone)]
pub struct OperatorContext {
    /// The configuration in force here.
    pub config: ConfigHandle,
    /// The platform's store.
    pub store: Arc<dyn PlatformStore>,
    /// Settings of the store, for pauses between repeats.
    pub platform: PlatformSettings,
    /// The deployment as this instance sees it.
    pub status: StatusSource,
    /// Further conditions of a resource.
    pub conditions: ConditionSource,
}

/// The resources of one kind.
#[derive(Clone)]
struct Collection {
    context: OperatorContext,
    kind: Kind,
}

const COLLECTIONS: [(&str, Kind); 3] = [
    ("/v1/teams", Kind::Team),
    ("/v1/services", Kind::Service),
    ("/v1/backend-servers", Kind::BackendServer),
];

/// The operators' routes alone.
pub fn routes(context: OperatorContext) -> Route {
    add_routes(Route::new(), context)
}

/// `route` with the operators' routes added.
pub fn add_routes(route: Route, context: OperatorContext) -> Route {
    let status_route = get(status).data(context.status.clone());
    let route = route.at("/v1/status", status_route);
    COLLECTIONS.iter().fold(route, |route, &(path, kind)| {
        add_collection(route, path, &context, kind)
    })
}

fn add_collection(route: Route, path: &str, context: &OperatorContext, kind: Kind) -> Route {
    let collection = Collection {
        context: context.clone(),
        kind,
    };
    let all = get(read::list).data(collection.clone());
    let one = get(read::one)
        .put(write::declare)
        .delete(write::remove)
        .data(collection);
    route.at(path, all).at(format!("{path}/:name"), one)
}

impl Collection {
    fn key(&self, name: &str) -> ResourceKey {
        ResourceKey::new(self.kind, name)
    }
}

#[handler]
fn status(source: poem::web::Data<&StatusSource>) -> Json<StatusResponse> {
    Json(source())
}
