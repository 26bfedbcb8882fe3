//! Changes of declared resources, and the keys of resources.

use bytes::Bytes;
use derive_more::Display;
use trefoil_schema::peer;
use trefoil_schema::resources::Kind;

/// Key of a resource; its text form is `KIND/NAME`.
#[derive(Clone, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[display("{kind}/{name}")]
pub struct ResourceKey {
    /// Kind of the resource.
    pub kind: Kind,
    /// Name, unique within the kind.
    pub name: String,
}

impl ResourceKey {
    /// Creates a key.
    pub fn new(kind: Kind, name: impl Into<String>) -> Self {
        let name = name.into();
        Self { kind, name }
    }

    /// Parses `KIND/NAME`; `None` if the text has another form or the kind is unknown.
    pub fn parse(text: &str) -> Option<Self> {
        let (kind, name) = text.split_once('/')?;
        let kind = kind.parse().ok()?;
        Some(Self::new(kind, name))
    }
}

/// The creation, update or removal of a declaration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Key of the changed resource.
    pub key: ResourceKey,
    /// JSON text of the declaration; `None` for a removal.
    pub value: Option<Bytes>,
    /// Store revision of the change.
    pub revision: u64,
}

impl Change {
    /// Converts the change to its wire message; a removal has an empty value.
    pub fn to_message(&self) -> peer::ConfigChange {
        peer::ConfigChange {
            key: self.key.to_string(),
            value: self.value.clone().unwrap_or_default(),
            revision: self.revision,
        }
    }

    /// Converts a wire message; `None` if its key is not a resource key.
    pub fn from_message(message: &peer::ConfigChange) -> Option<Self> {
        let value = Some(message.value.clone()).filter(|value| !value.is_empty());
        Some(Self {
            key: ResourceKey::parse(&message.key)?,
            value,
            revision: message.revision,
        })
    }
}
