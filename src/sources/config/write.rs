//! Conditional writes of resources. If a response is lost, the key is read to
//! determine the outcome.

use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error};
use tokio::time::Instant;
use trefoil_core::config::write_outcome::{
    ConditionalWrite, StoredKey, WriteOutcome, determine_outcome,
};
use trefoil_schema::settings::PlatformSettings;

use crate::sources::backoff::Backoff;
use crate::sources::platform::{CasResult, KeyValue, PlatformStore, StoreError};

/// Time limit for determining the outcome of a write, as a multiple of the call
/// timeout. A call in progress is not interrupted.
const RESOLVE_CALL_TIMEOUTS: u64 = 2;

/// Error of a conditional write.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub(crate) enum WriteError {
    /// The key was changed by another write; nothing was written.
    #[display("another change came first")]
    Conflict {
        /// The current key; `None` if it is absent.
        current: Option<KeyValue>,
    },
    /// The call failed; nothing was written.
    #[display("nothing was written: {reason}")]
    NotApplied {
        /// Description of the failure.
        reason: String,
    },
    /// The outcome could not be determined; the write may have taken effect.
    #[display("the write may have taken effect: {reason}")]
    MayHaveApplied {
        /// Description of the failure.
        reason: String,
    },
}

/// Writes `value` to the key, or removes the key if `value` is `None`, unless the
/// key has changed since it was read as `before`. Returns the revision of the value,
/// or 0 for a removal.
pub(crate) async fn write_if_unchanged(
    store: &dyn PlatformStore,
    settings: &PlatformSettings,
    key: &str,
    before: Option<&KeyValue>,
    value: Option<Bytes>,
) -> Result<u64, WriteError> {
    let write = ConditionalWrite {
        value,
        replaces_revision: before.map_or(0, |kv| kv.revision),
        replaces_version: before.map_or(0, |kv| kv.version),
    };
    match send(store, key, &write).await {
        Ok(CasResult::Applied { revision }) => Ok(revision),
        Ok(CasResult::Conflict { current }) => Err(WriteError::Conflict { current }),
        Err(StoreError::NotApplied { reason }) => Err(WriteError::NotApplied { reason }),
        Err(StoreError::MayHaveApplied { reason }) => {
            let budget = Duration::from_millis(RESOLVE_CALL_TIMEOUTS * settings.call_timeout_ms);
            let resolver = OutcomeResolver {
                store,
                key,
                write: &write,
                backoff: Backoff::new(settings),
                deadline: Instant::now() + budget,
            };
            resolver.run(reason).await
        }
    }
}

async fn send(
    store: &dyn PlatformStore,
    key: &str,
    write: &ConditionalWrite,
) -> Result<CasResult, StoreError> {
    match &write.value {
        Some(value) => store.put_if(key, value.clone(), write.replaces_revision),
        None => store.delete_if(key, write.replaces_revision),
    }
    .await
}

/// Determines the outcome of a write whose response was lost.
struct OutcomeResolver<'a> {
    store: &'a dyn PlatformStore,
    key: &'a str,
    write: &'a ConditionalWrite,
    backoff: Backoff,
    deadline: Instant,
}

impl OutcomeResolver<'_> {
    async fn run(mut self, mut reason: String) -> Result<u64, WriteError> {
        while Instant::now() < self.deadline {
            match self.try_resolve().await {
                Ok(Some(outcome)) => return outcome,
                Ok(None) => {}
                Err(StoreError::NotApplied { reason: latest })
                | Err(StoreError::MayHaveApplied { reason: latest }) => reason = latest,
            }
            tokio::time::sleep(self.backoff.next_delay()).await;
        }
        Err(WriteError::MayHaveApplied { reason })
    }

    // Reads the key, and repeats the write if it can still take effect. `None` if
    // the outcome is not known yet.
    async fn try_resolve(&self) -> Result<Option<Result<u64, WriteError>>, StoreError> {
        let found = self.store.get(self.key).await?;
        if let Some(outcome) = self.outcome(found) {
            return Ok(Some(outcome));
        }
        match send(self.store, self.key, self.write).await? {
            CasResult::Applied { revision } => Ok(Some(Ok(revision))),
            CasResult::Conflict { current } => Ok(self.outcome(current)),
        }
    }

    fn outcome(&self, current: Option<KeyValue>) -> Option<Result<u64, WriteError>> {
        match determine_outcome(self.write, current.as_ref().map(stored_key).as_ref()) {
            WriteOutcome::Pending => None,
            WriteOutcome::Applied { revision } => Some(Ok(revision)),
            WriteOutcome::Lost { .. } => Some(Err(WriteError::Conflict { current })),
            WriteOutcome::Unknown => {
                let reason =
                    "the key was changed again before the write could be confirmed".to_owned();
                Some(Err(WriteError::MayHaveApplied { reason }))
            }
        }
    }
}

fn stored_key(kv: &KeyValue) -> StoredKey {
    StoredKey {
        value: kv.value.clone(),
        revision: kv.revision,
        created_revision: kv.created_revision,
        version: kv.version,
    }
}
