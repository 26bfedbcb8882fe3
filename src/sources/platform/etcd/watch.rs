//! A watch: a call whose response has one line of JSON for each message.
//!
//! A broken connection cannot be told from one without changes, so a watch is
//! closed after [`WATCH_IDLE_TIMEOUT`] without data, and its reader opens another.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::sync::mpsc;

use super::super::wire::{
    Base64, Event, EventKind, Int64, WatchCreate, WatchMessage, WatchRequest, WatchResponse,
    prefix_end,
};
use super::super::{StoreError, WatchChange, WatchEvent};
use super::{CallKind, Shared, base64, key_text, may_have_applied};

/// Time without data after which a watch is closed. Shorter values detect broken
/// connections earlier, but cost more calls.
const WATCH_IDLE_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum length of a line; larger than the store's largest value in base64.
const LINE_BYTES_MAX: usize = 8 << 20;

/// Returns the request that opens a watch.
pub(super) fn request(prefix: &str, from_revision: u64) -> WatchRequest {
    let create_request = WatchCreate {
        key: base64(prefix),
        range_end: Base64(prefix_end(prefix)),
        start_revision: Int64(from_revision),
        progress_notify: true,
    };
    WatchRequest { create_request }
}

/// Runs a watch until it ends or its receiver is dropped.
pub(super) async fn run(
    shared: Arc<Shared>,
    request: WatchRequest,
    events: mpsc::Sender<WatchEvent>,
) {
    let last = tokio::select! {
        last = read_events(&shared, &request, &events) => last,
        () = events.closed() => return,
    };
    let last = last.unwrap_or_else(|error| {
        shared.set_reachable(false);
        shared.calls.count_failure();
        closed(error.to_string())
    });
    // Fails if the receiver was dropped in the meantime.
    let _ = events.send(last).await;
}

// Returns the event that ends the watch.
async fn read_events(
    shared: &Shared,
    request: &WatchRequest,
    events: &mpsc::Sender<WatchEvent>,
) -> Result<WatchEvent, StoreError> {
    let mut body = open(shared, request).await?;
    let mut buffer = BytesMut::new();
    loop {
        let frame = tokio::time::timeout(WATCH_IDLE_TIMEOUT, body.frame()).await;
        let Ok(frame) = frame else {
            return Ok(closed("no data within the idle timeout".to_owned()));
        };
        let Some(frame) = frame else {
            return Ok(closed("the store ended the watch".to_owned()));
        };
        let data = frame.map_err(may_have_applied)?.into_data();
        buffer.extend_from_slice(&data.unwrap_or_default());
        while let Some(line) = take_line(&mut buffer) {
            let response = parse_line(&line)?;
            shared.set_reachable(true);
            let event = event(response);
            if is_last(&event) {
                return Ok(event);
            }
            // `run` ends the watch when the receiver is dropped.
            let _ = events.send(event).await;
        }
        if buffer.len() > LINE_BYTES_MAX {
            return Err(may_have_applied("a line of the watch is too long"));
        }
    }
}

async fn open(shared: &Shared, request: &WatchRequest) -> Result<Incoming, StoreError> {
    shared.calls.count(CallKind::Watch);
    let sent = shared.send(CallKind::Watch, request);
    let response = tokio::time::timeout(shared.call_timeout, sent)
        .await
        .map_err(may_have_applied)??;
    Ok(response.into_body())
}

fn take_line(buffer: &mut BytesMut) -> Option<Bytes> {
    let end = buffer.iter().position(|&byte| byte == b'\n')?;
    let line = buffer.split_to(end + 1);
    Some(line.freeze())
}

fn parse_line(line: &[u8]) -> Result<WatchResponse, StoreError> {
    let message: WatchMessage = serde_json::from_slice(line).map_err(may_have_applied)?;
    Ok(message.result)
}

fn event(response: WatchResponse) -> WatchEvent {
    if response.compact_revision.0 > 0 {
        return WatchEvent::Compacted;
    }
    if response.canceled {
        return closed(format!(
            "the store cancelled the watch: {}",
            response.cancel_reason
        ));
    }
    if response.events.is_empty() {
        return WatchEvent::Opened;
    }
    let changes: Vec<WatchChange> = response.events.into_iter().map(change).collect();
    let newest = changes.iter().map(|change| change.revision).max();
    WatchEvent::Changes {
        revision: newest.unwrap_or_default(),
        changes,
    }
}

fn change(event: Event) -> WatchChange {
    let value = match event.kind {
        EventKind::Put => Some(event.kv.value.0),
        EventKind::Delete => None,
    };
    WatchChange {
        key: key_text(&event.kv.key),
        value,
        revision: event.kv.mod_revision.0,
    }
}

fn is_last(event: &WatchEvent) -> bool {
    matches!(event, WatchEvent::Closed { .. } | WatchEvent::Compacted)
}

fn closed(reason: String) -> WatchEvent {
    WatchEvent::Closed { reason }
}
