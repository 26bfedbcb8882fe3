//! One change of one resource.

use bytes::Bytes;
use derive_more::Display;
use trefoil_schema::peer;
use trefoil_schema::resources::Kind;

/// Names a resource: `KIND/NAME`.
#[derive(Clone, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[display("{kind}/{name}")]
pub struct ResourceKey {
    /// Kind of the resource.
    pub kind: Kind,
    /// Its name, unique within the kind.
    pub name: String,
}

impl ResourceKey {
    /// Names the resource `name` of `kind`.
    pub fn new(kind: Kind, name: impl Into<String>) -> Self {
        let name = name.into();
        Self { kind, name }
    }

    /// Reads `KIND/NAME`; `None` where the text has another form.
    pub fn parse(text: &str) -> Option<Self> {
        let (kind, name) = text.split_once('/')?;
        let kind = kind.parse().ok()?;
        Some(Self::new(kind, name))
    }
}

/// A resource was declared, changed or removed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The resource.
    pub key: ResourceKey,
    /// JSON text of the declaration; `None` for a removal.
    pub value: Option<Bytes>,
    /// Store revision of the change.
    pub revision: u64,
}

impl Change {
    /// The change as it is sent to peers.
    pub fn to_message(&self) -> peer::ConfigChange {
        peer::ConfigChange {
            key: self.key.to_string(),
            value: self.value.clone().unwrap_or_default(),
            revision: self.revision,
        }
    }

    /// Reads a change from a peer; `None` where its key names no resource.
    pub fn from_message(message: &peer::ConfigChange) -> Option<Self> {
        let value = Some(message.value.clone()).filter(|value| !value.is_empty());
        Some(Self {
            key: ResourceKey::parse(&message.key)?,
            value,
            revision: message.revision,
        })
    }
}
