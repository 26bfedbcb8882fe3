//! The task that lists and watches the resources in the store.

use std::sync::{Arc, Weak};
use std::time::Instant;

use slog::{Logger, info, warn};
use tokio::sync::watch;
use trefoil_core::config::Change;
use trefoil_schema::settings::PlatformSettings;

use super::Shared;
use crate::sources::backoff::Backoff;
use crate::sources::platform::{KeyValue, PlatformStore, StoreError, WatchChange, WatchEvent};

/// Applies the store's changes to the configuration while watching is enabled.
pub(super) struct SyncTask {
    // Weak, so that the task ends when the last handle is dropped.
    shared: Weak<Shared>,
    store: Arc<dyn PlatformStore>,
    prefix: String,
    watching: watch::Receiver<bool>,
    backoff: Backoff,
    log: Logger,
    // The last logged state.
    connected: Option<bool>,
}

/// What follows a listing or a watch.
enum NextStep {
    /// Open a watch immediately.
    Watch,
    /// List again, as the store has compacted the next changes.
    List,
    /// Retry after a delay, for this reason.
    Retry(String),
    /// End the task, as all handles are dropped.
    Stop,
}

impl SyncTask {
    pub(super) fn new(shared: &Arc<Shared>, settings: &PlatformSettings, log: Logger) -> Self {
        Self {
            shared: Arc::downgrade(shared),
            store: Arc::clone(&shared.store),
            prefix: shared.prefix.clone(),
            watching: shared.watching.subscribe(),
            backoff: Backoff::new(settings),
            log,
            connected: None,
        }
    }

    pub(super) async fn run(mut self) {
        loop {
            let mut watching = self.watching.clone();
            // Fails if all handles are dropped.
            if watching.wait_for(|enabled| *enabled).await.is_err() {
                return;
            }
            let stopped = tokio::select! {
                () = self.sync() => true,
                changed = watching.wait_for(|enabled| !enabled) => changed.is_err(),
            };
            if stopped {
                return;
            }
        }
    }

    // Returns when all handles are dropped.
    async fn sync(&mut self) {
        let mut must_list = self.revision() == Some(0);
        loop {
            let next = match must_list {
                true => self.list().await,
                false => self.watch().await,
            };
            let failure = match next {
                NextStep::Stop => return,
                NextStep::Watch => {
                    must_list = false;
                    continue;
                }
                NextStep::List => {
                    must_list = true;
                    continue;
                }
                NextStep::Retry(reason) => reason,
            };
            self.record_connected(false, &failure);
            tokio::time::sleep(self.backoff.next_delay()).await;
        }
    }

    async fn list(&mut self) -> NextStep {
        let began = Instant::now();
        let listing = match self.store.range(&self.prefix).await {
            Ok(listing) => listing,
            Err(error) => return retry(&error),
        };
        let Some(shared) = self.shared.upgrade() else {
            return NextStep::Stop;
        };
        let changes: Vec<Change> = listing
            .keys
            .iter()
            .filter_map(|kv| listed_change(&shared, kv))
            .collect();
        shared.update(|log| log.replace(listing.revision, &changes));
        *shared.confirmed() = Some(began);
        drop(shared);
        self.record_connected(true, "listed");
        NextStep::Watch
    }

    async fn watch(&mut self) -> NextStep {
        let Some(mut applied_revision) = self.revision() else {
            return NextStep::Stop;
        };
        let mut confirmed = Instant::now();
        let mut events = self.store.watch(&self.prefix, applied_revision + 1);
        let mut opened = false;
        while let Some(event) = events.recv().await {
            match event {
                WatchEvent::Opened => {}
                WatchEvent::Changes { revision, changes } => {
                    let Some(shared) = self.shared.upgrade() else {
                        return NextStep::Stop;
                    };
                    apply(&shared, applied_revision, revision, &changes);
                    applied_revision = revision;
                    confirmed = Instant::now();
                }
                WatchEvent::Compacted => return NextStep::List,
                WatchEvent::Closed { .. } if opened => return NextStep::Watch,
                WatchEvent::Closed { reason } => return NextStep::Retry(reason),
            }
            opened = true;
            if let Some(shared) = self.shared.upgrade() {
                *shared.confirmed() = Some(confirmed);
            }
            self.record_connected(true, "watching");
        }
        NextStep::Retry("the watch ended without a reason".to_owned())
    }

    // `None` if all handles are dropped.
    fn revision(&self) -> Option<u64> {
        let shared = self.shared.upgrade()?;
        let revision = shared.log().revision();
        Some(revision)
    }

    fn record_connected(&mut self, connected: bool, reason: &str) {
        if connected {
            self.backoff.reset();
        }
        if self.connected.replace(connected) == Some(connected) {
            return;
        }
        match connected {
            true => info!(self.log, "connected to the platform's store"; "state" => reason),
            false => {
                warn!(self.log, "cannot read the platform's store; keeping the last configuration";
                "reason" => reason)
            }
        }
    }
}

fn retry(error: &StoreError) -> NextStep {
    NextStep::Retry(error.to_string())
}

fn listed_change(shared: &Shared, kv: &KeyValue) -> Option<Change> {
    Some(Change {
        key: shared.resource_key(&kv.key)?,
        value: Some(kv.value.clone()),
        revision: kv.revision,
    })
}

fn apply(shared: &Shared, from_revision: u64, to_revision: u64, changes: &[WatchChange]) {
    let changes: Vec<Change> = changes
        .iter()
        .filter_map(|change| watched_change(shared, change))
        .collect();
    shared.update(|log| log.apply(from_revision, to_revision, &changes));
}

fn watched_change(shared: &Shared, change: &WatchChange) -> Option<Change> {
    Some(Change {
        key: shared.resource_key(&change.key)?,
        value: change.value.clone(),
        revision: change.revision,
    })
}
