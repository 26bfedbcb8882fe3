//! Messages between instances, operators' resources, settings and the HTTP
//! API's bodies.
//!
//! [`peer`] and [`dispatch`] come from the files under `proto/` by prost; the rest
//! comes from the JSON Schemas under `schema/` by typify. The generated code
//! is committed; `cargo xtask codegen` renews it.

/// Messages between instances.
#[allow(missing_docs, clippy::all)]
#[rustfmt::skip]
#[path = "generated/peer.rs"]
pub mod peer;

/// Messages between the instances of a deployment with fenced workers.
#[allow(missing_docs, clippy::all)]
#[rustfmt::skip]
#[path = "generated/dispatch.rs"]
pub mod dispatch;

/// Settings of an instance.
#[allow(missing_docs, clippy::all)]
#[rustfmt::skip]
#[path = "generated/settings.rs"]
pub mod settings;

/// Resources that operators declare.
#[allow(missing_docs, clippy::all)]
#[rustfmt::skip]
#[path = "generated/resources.rs"]
pub mod resources;

/// Bodies of the HTTP API.
#[allow(missing_docs, clippy::all)]
#[rustfmt::skip]
#[path = "generated/api.rs"]
pub mod api;

/// JSON Schema of the settings file, as text.
pub const SETTINGS_SCHEMA: &str = include_str!("../schema/settings.schema.json");
/// JSON Schema of resource files, as text.
pub const RESOURCES_SCHEMA: &str = include_str!("../schema/resources.schema.json");
/// JSON Schema of the HTTP API's bodies, as text.
pub const API_SCHEMA: &str = include_str!("../schema/api.schema.json");
