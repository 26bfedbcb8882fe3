//! Watches. Each one is a task that follows the store's history by revision.

use std::sync::Arc;

use bytes::Bytes;
use tokio::sync::mpsc;

use super::{
    Shared, defaults,
    messages::{Int64, StreamItem, WatchRequest, WatchResponse},
    store::KeyRange,
};
use crate::http::{self, Chunk, CloseConnection, HandlerResult};

const CHUNKS_MAX: usize = 64;

struct Watch {
    shared: Arc<Shared>,
    range: KeyRange,
    /// Next revision to send.
    next_revision: i64,
    instance: Option<String>,
    chunks: mpsc::Sender<Chunk>,
}

/// Counts an open watch until dropped.
struct OpenWatchGuard(Arc<Shared>);

impl OpenWatchGuard {
    fn new(shared: &Arc<Shared>) -> Self {
        shared.counters().watches_waiting += 1;
        Self(Arc::clone(shared))
    }
}

impl Drop for OpenWatchGuard {
    fn drop(&mut self) {
        self.0.counters().watches_waiting -= 1;
    }
}

/// Starts a watch and returns its stream as the response.
pub(super) fn start(
    shared: &Arc<Shared>,
    request: WatchRequest,
    instance: Option<String>,
) -> HandlerResult {
    let (sender, receiver) = mpsc::channel(CHUNKS_MAX);
    let create = request.create_request;
    let next_revision = match create.start_revision.0 {
        0 => shared.store().revision() + 1,
        revision => revision,
    };
    let watch = Watch {
        shared: Arc::clone(shared),
        range: KeyRange::new(&create.key, &create.range_end),
        next_revision,
        instance,
        chunks: sender,
    };
    tokio::spawn(watch.run());
    http::stream(receiver)
}

impl Watch {
    async fn run(mut self) {
        let _guard = OpenWatchGuard::new(&self.shared);
        let mut changed = self.shared.changed.subscribe();
        // An error means that the connection is closed.
        let _ = self.stream_events(&mut changed).await;
    }

    async fn stream_events(
        &mut self,
        changed: &mut tokio::sync::watch::Receiver<u64>,
    ) -> Result<(), CloseConnection> {
        self.send(WatchResponse {
            created: true,
            ..self.empty_response()
        })
        .await?;
        loop {
            self.check_refused().await?;
            self.send_events().await?;
            tokio::select! {
                notified = changed.changed() => notified.map_err(|_| CloseConnection)?,
                () = self.chunks.closed() => return Err(CloseConnection),
            }
        }
    }

    fn empty_response(&self) -> WatchResponse {
        WatchResponse {
            header: self.shared.store().header(),
            ..WatchResponse::default()
        }
    }

    /// Closes the connection if a fault refuses calls of its instance.
    async fn check_refused(&self) -> Result<(), CloseConnection> {
        let is_refused = self.shared.faults().refuses(self.instance.as_deref());
        if is_refused {
            let _ = self.chunks.send(Err(CloseConnection)).await;
            return Err(CloseConnection);
        }
        Ok(())
    }

    async fn send_events(&mut self) -> Result<(), CloseConnection> {
        let response = self.next_response();
        let is_canceled = response.canceled;
        if is_canceled || !response.events.is_empty() {
            self.send(response).await?;
        }
        match is_canceled {
            true => Err(CloseConnection),
            false => Ok(()),
        }
    }

    fn next_response(&mut self) -> WatchResponse {
        let store = self.shared.store();
        let header = store.header();
        if self.next_revision <= store.compacted_revision() {
            return WatchResponse {
                header,
                canceled: true,
                compact_revision: Some(Int64(store.compacted_revision() + 1)),
                ..WatchResponse::default()
            };
        }
        let events = store.events_from(&self.range, self.next_revision);
        self.next_revision = self.next_revision.max(store.revision() + 1);
        WatchResponse {
            header,
            events,
            ..WatchResponse::default()
        }
    }

    async fn send(&self, result: WatchResponse) -> Result<(), CloseConnection> {
        let item = StreamItem { result };
        let value = defaults::to_value(&item, self.shared.omit_defaults);
        let line = format!("{}\n", value.map_err(|_| CloseConnection)?);
        self.chunks
            .send(Ok(Bytes::from(line)))
            .await
            .map_err(|_| CloseConnection)
    }
}
