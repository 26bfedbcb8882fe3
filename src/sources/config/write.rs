//! Conditional writes of resources, settled when an answer is lost.

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

/// Longest time spent on settling one write besides the call under way, in
/// time limits of a call.
const SETTLE_CALLS: u64 = 2;

/// Why a write was not acknowledged.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum WriteError {
    /// Another change came first; nothing was written.
    #[display("another change came first")]
    Conflict {
        /// The key as it is; `None` where it is absent.
        current: Option<KeyValue>,
    },
    /// The store did not take the write; nothing was written.
    #[display("nothing was written: {reason}")]
    NotApplied {
        /// What went wrong.
        reason: String,
    },
    /// The write may have taken effect.
    #[display("the write may have taken effect: {reason}")]
    MayHaveApplied {
        /// What went wrong.
        reason: String,
    },
}

/// Replaces `before`, the key as it was read, by `value` (`None` removes it);
/// gives the revision of the value, 0 for a removal.
pub async fn replace(
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
            let budget = Duration::from_millis(SETTLE_CALLS * settings.call_timeout_ms);
            let settling = Settling {
                store,
                key,
                write: &write,
                backoff: Backoff::new(settings),
                give_up: Instant::now() + budget,
            };
            settling.run(reason).await
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

/// Finds out what became of a write whose answer was lost.
struct Settling<'a> {
    store: &'a dyn PlatformStore,
    key: &'a str,
    write: &'a ConditionalWrite,
    backoff: Backoff,
    give_up: Instant,
}

impl Settling<'_> {
    async fn run(mut self, mut reason: String) -> Result<u64, WriteError> {
        while Instant::now() < self.give_up {
            match self.step().await {
                Ok(Some(settled)) => return settled,
                Ok(None) => {}
                Err(StoreError::NotApplied { reason: latest })
                | Err(StoreError::MayHaveApplied { reason: latest }) => reason = latest,
            }
            tokio::time::sleep(self.backoff.next_pause()).await;
        }
        Err(WriteError::MayHaveApplied { reason })
    }

    // One read and, where the write is still possible, one repeat. `None`
    // where nothing is known yet.
    async fn step(&self) -> Result<Option<Result<u64, WriteError>>, StoreError> {
        let found = self.store.get(self.key).await?;
        if let Some(settled) = self.judge(found) {
            return Ok(Some(settled));
        }
        match send(self.store, self.key, self.write).await? {
            CasResult::Applied { revision } => Ok(Some(Ok(revision))),
            CasResult::Conflict { current } => Ok(self.judge(current)),
        }
    }

    fn judge(&self, current: Option<KeyValue>) -> Option<Result<u64, WriteError>> {
        match determine_outcome(self.write, current.as_ref().map(found).as_ref()) {
            WriteOutcome::Pending => None,
            WriteOutcome::Applied { revision } => Some(Ok(revision)),
            WriteOutcome::Lost { .. } => Some(Err(WriteError::Conflict { current })),
            WriteOutcome::Unknown => {
                let reason = "another change followed before it could be read back".to_owned();
                Some(Err(WriteError::MayHaveApplied { reason }))
            }
        }
    }
}

fn found(kv: &KeyValue) -> StoredKey {
    StoredKey {
        value: kv.value.clone(),
        revision: kv.revision,
        created_revision: kv.created_revision,
        version: kv.version,
    }
}
