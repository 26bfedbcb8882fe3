//! The task that lists and watches the store's resources.

use std::sync::{Arc, Weak};

use slog::{Logger, info, warn};
use tokio::sync::watch;
use trefoil_core::config::Change;
use trefoil_schema::settings::PlatformSettings;

use super::Shared;
use crate::sources::backoff::Backoff;
use crate::sources::platform::{KeyValue, PlatformStore, StoreError, WatchChange, WatchEvent};

/// Follows the store while it is told to watch.
pub(super) struct Task {
    // Weak, so that the task ends with the last handle.
    shared: Weak<Shared>,
    store: Arc<dyn PlatformStore>,
    prefix: String,
    watching: watch::Receiver<bool>,
    backoff: Backoff,
    log: Logger,
    // The last state that was logged.
    connected: Option<bool>,
}

/// How a watch ended.
enum End {
    /// It stood for a while: open another at once.
    Reopen,
    /// Changes in between are no longer kept: list again.
    List,
    /// It could not be opened.
    Failed(String),
    /// No handle is left.
    Stop,
}

impl Task {
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
            // An error means that the last handle is gone.
            if watching.wait_for(|held| *held).await.is_err() {
                return;
            }
            let stopped = tokio::select! {
                () = self.follow() => true,
                changed = watching.wait_for(|held| !held) => changed.is_err(),
            };
            if stopped {
                return;
            }
        }
    }

    // Returns when no handle is left.
    async fn follow(&mut self) {
        let mut must_list = self.revision() == Some(0);
        loop {
            let end = match must_list {
                true => self.list().await,
                false => self.watch().await,
            };
            let failure = match end {
                End::Stop => return,
                End::Reopen => {
                    must_list = false;
                    continue;
                }
                End::List => {
                    must_list = true;
                    continue;
                }
                End::Failed(reason) => reason,
            };
            self.note(false, &failure);
            tokio::time::sleep(self.backoff.next_pause()).await;
        }
    }

    async fn list(&mut self) -> End {
        let listing = match self.store.range(&self.prefix).await {
            Ok(listing) => listing,
            Err(error) => return failed(&error),
        };
        let Some(shared) = self.shared.upgrade() else {
            return End::Stop;
        };
        let changes: Vec<Change> = listing
            .keys
            .iter()
            .filter_map(|kv| declared(&shared, kv))
            .collect();
        shared.update(|log| log.replace(listing.revision, &changes));
        drop(shared);
        self.note(true, "listed");
        End::Reopen
    }

    async fn watch(&mut self) -> End {
        let Some(mut position) = self.revision() else {
            return End::Stop;
        };
        let mut events = self.store.watch(&self.prefix, position + 1);
        let mut opened = false;
        while let Some(event) = events.recv().await {
            match event {
                WatchEvent::Opened => {}
                WatchEvent::Changes { revision, changes } => {
                    let Some(shared) = self.shared.upgrade() else {
                        return End::Stop;
                    };
                    apply(&shared, position, revision, &changes);
                    position = revision;
                }
                WatchEvent::Compacted => return End::List,
                WatchEvent::Closed { .. } if opened => return End::Reopen,
                WatchEvent::Closed { reason } => return End::Failed(reason),
            }
            opened = true;
            self.note(true, "watching");
        }
        End::Failed("the watch ended without a reason".to_owned())
    }

    // `None` where no handle is left.
    fn revision(&self) -> Option<u64> {
        let shared = self.shared.upgrade()?;
        let revision = shared.log().revision();
        Some(revision)
    }

    fn note(&mut self, connected: bool, reason: &str) {
        if connected {
            self.backoff.reset();
        }
        if self.connected.replace(connected) == Some(connected) {
            return;
        }
        match connected {
            true => info!(self.log, "following the platform's store"; "state" => reason),
            false => {
                warn!(self.log, "cannot follow the platform's store; the last configuration stays in force";
                "reason" => reason)
            }
        }
    }
}

fn failed(error: &StoreError) -> End {
    End::Failed(error.to_string())
}

fn declared(shared: &Shared, kv: &KeyValue) -> Option<Change> {
    Some(Change {
        key: shared.resource_key(&kv.key)?,
        value: Some(kv.value.clone()),
        revision: kv.revision,
    })
}

fn apply(shared: &Shared, from_revision: u64, to_revision: u64, changes: &[WatchChange]) {
    let changes: Vec<Change> = changes
        .iter()
        .filter_map(|change| changed(shared, change))
        .collect();
    shared.update(|log| log.apply(from_revision, to_revision, &changes));
}

fn changed(shared: &Shared, change: &WatchChange) -> Option<Change> {
    Some(Change {
        key: shared.resource_key(&change.key)?,
        value: change.value.clone(),
        revision: change.revision,
    })
}
