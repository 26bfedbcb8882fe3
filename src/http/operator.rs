//! The operators' API for declared resources.
//!
//! Reads query the store and fall back to the configuration in force here,
//! which the response reports as a condition. Writes require the store.
//! Declarations are validated by [`trefoil_core::config::validation`].

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

/// Returns the status of the deployment as known to this instance.
pub type StatusSource = Arc<dyn Fn() -> StatusResponse + Send + Sync>;

/// Returns additional conditions of a resource, such as `Healthy`.
pub type ConditionSource = Arc<dyn Fn(&ResourceKey) -> Vec<Condition> + Send + Sync>;

/// State shared by the handlers of the operators' API.
#[derive(Clone)]
pub struct OperatorContext {
    /// The configuration in force at this instance.
    pub config: ConfigHandle,
    /// The platform's store.
    pub store: Arc<dyn PlatformStore>,
    /// Settings of the store client, for retry delays.
    pub platform: PlatformSettings,
    /// Source of `/v1/status`.
    pub status: StatusSource,
    /// Source of conditions observed by this instance.
    pub conditions: ConditionSource,
}

/// All resources of one kind.
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

/// Creates a router with the operators' routes.
pub fn routes(context: OperatorContext) -> Route {
    add_routes(Route::new(), context)
}

/// Adds the operators' routes to `route`.
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
    let list = get(read::list).data(collection.clone());
    let one = get(read::get_one)
        .put(write::declare)
        .delete(write::remove)
        .data(collection);
    route.at(path, list).at(format!("{path}/:name"), one)
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
