//! Watches: one task each, which follows the store's history by revision.

use std::sync::Arc;

use bytes::Bytes;
use tokio::sync::mpsc;

use super::{
    Shared, defaults,
    messages::{Int64, StreamItem, WatchRequest, WatchResponse},
    store::KeyRange,
};
use crate::http::{self, Answer, CloseConnection, Piece};

const PIECES_MAX: usize = 64;

struct Watch {
    shared: Arc<Shared>,
    range: KeyRange,
    /// First revision not yet sent.
    next_revision: i64,
    instance: Option<String>,
    pieces: mpsc::Sender<Piece>,
}

/// Counts a waiting watch until dropped.
struct Waiting(Arc<Shared>);

impl Waiting {
    fn new(shared: &Arc<Shared>) -> Self {
        shared.counters().watches_waiting += 1;
        Self(Arc::clone(shared))
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.0.counters().watches_waiting -= 1;
    }
}

/// Starts a watch and gives its stream.
pub(super) fn start(
    shared: &Arc<Shared>,
    request: WatchRequest,
    instance: Option<String>,
) -> Answer {
    let (sender, receiver) = mpsc::channel(PIECES_MAX);
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
        pieces: sender,
    };
    tokio::spawn(watch.run());
    http::stream(receiver)
}

impl Watch {
    async fn run(mut self) {
        let _waiting = Waiting::new(&self.shared);
        let mut changed = self.shared.changed.subscribe();
        // An error means that the other side is gone: the watch ends.
        let _ = self.follow(&mut changed).await;
    }

    async fn follow(
        &mut self,
        changed: &mut tokio::sync::watch::Receiver<u64>,
    ) -> Result<(), CloseConnection> {
        self.send(WatchResponse {
            created: true,
            ..self.empty()
        })
        .await?;
        loop {
            self.check_cut().await?;
            self.send_news().await?;
            tokio::select! {
                raised = changed.changed() => raised.map_err(|_| CloseConnection)?,
                () = self.pieces.closed() => return Err(CloseConnection),
            }
        }
    }

    fn empty(&self) -> WatchResponse {
        WatchResponse {
            header: self.shared.store().header(),
            ..WatchResponse::default()
        }
    }

    /// Closes the connection where the platform is down or cut off.
    async fn check_cut(&self) -> Result<(), CloseConnection> {
        let cut = self.shared.faults().refuses(self.instance.as_deref());
        if cut {
            let _ = self.pieces.send(Err(CloseConnection)).await;
            return Err(CloseConnection);
        }
        Ok(())
    }

    async fn send_news(&mut self) -> Result<(), CloseConnection> {
        let response = self.news();
        let ended = response.canceled;
        if ended || !response.events.is_empty() {
            self.send(response).await?;
        }
        match ended {
            true => Err(CloseConnection),
            false => Ok(()),
        }
    }

    fn news(&mut self) -> WatchResponse {
        let store = self.shared.store();
        let header = store.header();
        if self.next_revision <= store.compacted() {
            return WatchResponse {
                header,
                canceled: true,
                compact_revision: Some(Int64(store.compacted() + 1)),
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
        self.pieces
            .send(Ok(Bytes::from(line)))
            .await
            .map_err(|_| CloseConnection)
    }
}
