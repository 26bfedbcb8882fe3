//! Transfer of declarations over links; [`declaration_transfer`] decides.
//!
//! [`declaration_transfer`]: trefoil_core::dispatch::declaration_transfer

use trefoil_core::dispatch::declaration_transfer::{FirstSource, ReceivedPart};
use trefoil_schema::dispatch::frame::Body;
use trefoil_schema::dispatch::{ConfigPush, ConfigRequest};

use super::peers::encode;
use super::*;

impl<P: Store + WorkerClient + 'static> Instance<P> {
    /// Handles a heartbeat of a peer that has newer declarations.
    pub(super) fn on_newer_declarations_announced(&self, state: &mut State, id: u64, now_ms: u64) {
        let revision = state.declared.revision();
        let first = match state.ownership.is_full_mesh() {
            true => FirstSource::Store,
            false => FirstSource::Peers,
        };
        let receiver = &mut state.declared.receiver;
        let response = receiver.on_announced(now_ms, id, revision, first);
        if response.reads_store {
            self.store_read_requested.notify_waiters();
        }
        let (Some(request), Some(link)) = (response.request, state.peers.links.get(&id)) else {
            return;
        };
        self.metrics.declaration_requests.inc();
        info!(self.log, "declarations requested"; "peer" => &link.peer.name,
            "revision" => revision, "offset" => request.offset,
            "behind_ms" => receiver.behind_ms(now_ms));
        link.sender.send(encode(Body::ConfigRequest(request)));
    }

    /// Sends a part of the declarations in force to a peer.
    pub(super) fn on_declaration_request(
        &self,
        state: &mut State,
        id: u64,
        request: &ConfigRequest,
        now_ms: u64,
    ) {
        let newest = match state.declared.encoded() {
            Ok(Some(newest)) => newest,
            Ok(None) => return,
            Err(error) => {
                return warn!(self.log, "cannot encode declarations"; "error" => %error);
            }
        };
        let sender = &mut state.declared.sender;
        let part = sender.on_request(now_ms, id, request, &newest);
        let (Some(part), Some(link)) = (part, state.peers.links.get(&id)) else {
            return;
        };
        let sent_bytes = part.body.len() as u64;
        self.metrics.declaration_bytes_sent.inc_by(sent_bytes);
        if part.offset + sent_bytes >= part.total_bytes {
            info!(self.log, "declarations sent"; "peer" => &link.peer.name,
                "revision" => part.revision, "bytes" => part.offset + sent_bytes);
        }
        link.sender.send(encode(Body::Config(part)));
    }

    /// Handles a part of a peer's declarations, and puts them in force once they are complete.
    pub(super) fn on_declaration_part(self: &Rc<Self>, id: u64, push: &ConfigPush) {
        let received = self.update(|state, now_ms, _| {
            let revision = state.declared.revision();
            let link = state.peers.links.get_mut(&id)?;
            link.last_heard_ms = now_ms;
            let receiver = &mut state.declared.receiver;
            match receiver.on_part(now_ms, id, push, revision) {
                ReceivedPart::Complete(body) => Some(body),
                ReceivedPart::Incomplete(requests) => {
                    for request in requests {
                        link.sender.send(encode(Body::ConfigRequest(request)));
                    }
                    None
                }
            }
        });
        let Some(body) = received else {
            return;
        };
        match serde_json::from_slice(&body) {
            Ok(declarations) => self.apply_peer_declarations(id, declarations),
            Err(error) => warn!(self.log, "cannot decode a peer's declarations";
                "revision" => push.revision, "error" => %error),
        }
    }
}
