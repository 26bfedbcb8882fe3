//! Requests and news from other instances.

use std::sync::Arc;
use std::time::Instant;

use tokio::sync::mpsc;
use trefoil_core::engine::JobAnswer;
use trefoil_core::key::JobKey;
use trefoil_core::membership::{Event, Route};
use trefoil_core::view::Member;
use trefoil_schema::peer::message::Body;
use trefoil_schema::peer::{ForwardJob, InstanceRef};

use super::{Peers, convert, forward};
use crate::links::Incoming;
use crate::runtime::RequestContext;
use crate::util::telemetry::trace::{Hop, record_answer};

/// When an entry should ask again that came to the wrong owner.
const WRONG_OWNER_RETRY_MS: u64 = 250;

impl Peers {
    /// Takes messages until the links close.
    pub(super) async fn receive(self: Arc<Self>, mut incoming: mpsc::Receiver<Incoming>) {
        while let Some(Incoming { from, message }) = incoming.recv().await {
            self.take(&from, message);
        }
    }

    fn take(self: &Arc<Self>, from: &InstanceRef, body: Body) {
        match body {
            Body::ForwardJob(job) => self.serve_job(from.clone(), job),
            Body::FetchJob(request) => {
                let serve = move |peers: Arc<Self>, key: JobKey| async move {
                    peers.serve_fetch(&key, request.wait_ms).await
                };
                self.serve_key(from.clone(), request.request_id, &request.key, serve);
            }
            Body::CancelJob(request) => {
                let serve =
                    |peers: Arc<Self>, key: JobKey| async move { peers.serve_cancel(&key).await };
                self.serve_key(from.clone(), request.request_id, &request.key, serve);
            }
            Body::JobAnswer(answer) => {
                // An answer to a request that is closed is late or doubled.
                if !self.pending.answer(answer) {
                    self.counters.count_stale_answer();
                }
            }
            Body::KeyHandover(part) => self.take_part(from, part),
            Body::KeyHandoverAck(ack) => self.take_ack(from, ack),
            Body::ConfigRequest(request) => {
                let changes = self.context.config.changes_after(request.after_revision);
                self.reply(from, Body::ConfigChanges(changes));
            }
            Body::ConfigChanges(changes) => {
                if let Some(request) = self.context.config.apply_from_peer(&changes) {
                    self.reply(from, Body::ConfigRequest(request));
                }
            }
            Body::Heartbeat(heartbeat) => {
                if let Some(request) = self
                    .context
                    .config
                    .request_if_behind(heartbeat.config_revision)
                {
                    self.reply(from, Body::ConfigRequest(request));
                }
                self.tell(from, Body::Heartbeat(heartbeat));
            }
            Body::SlotRequest(request) => self.serve_slot_request(from, request),
            Body::SlotGrant(grant) => self.take_slot_grant(from, grant),
            other => self.tell(from, other),
        }
    }

    fn tell(self: &Arc<Self>, from: &InstanceRef, body: Body) {
        self.handle(Event::Message {
            from: Member::from(from),
            body,
        });
    }

    /// Sends an answer that may be lost: whoever asked asks again.
    fn reply(&self, to: &InstanceRef, body: Body) {
        let _ = self.links.send(&to.name, body);
    }

    fn serve_job(self: &Arc<Self>, from: InstanceRef, job: ForwardJob) {
        let peers = Arc::clone(self);
        let in_flight = self.context.stop.track();
        tokio::spawn(async move {
            let (request_id, key) = (job.request_id, job.key.clone());
            let answer = peers.run_job(&from, job).await;
            peers.reply_answer(&from, request_id, &key, &answer);
            drop(in_flight);
        });
    }

    /// Runs a job, within a span below the one of the instance that sent it.
    async fn run_job(self: &Arc<Self>, from: &InstanceRef, job: ForwardJob) -> JobAnswer {
        let received_at = Some(Instant::now());
        let header = job.traceparent.as_str();
        let given = (!header.is_empty()).then(|| Arc::<str>::from(header));
        let mut span = self.context.runtime.span(Hop::PeerServer, given.as_deref());
        if span.is_recording() {
            span.set_attribute("peer", from.name.clone());
        }
        let request = RequestContext {
            traceparent: span.outgoing_traceparent(given),
            received_at,
        };
        let answer = self.admit_job(job, request).await;
        record_answer(&mut span, &answer);
        answer
    }

    async fn admit_job(self: &Arc<Self>, job: ForwardJob, request: RequestContext) -> JobAnswer {
        let wait = job.wait;
        let Ok(submission) = convert::submission(job) else {
            return JobAnswer::Refused(forward::unknown_owner(0));
        };
        match self.route(&submission.key) {
            Route::Local => self.context.runtime.submit(submission, wait, request).await,
            Route::OwnerLost => {
                let fingerprint = Some(submission.fingerprint);
                self.recall_here(&submission.key, fingerprint).await
            }
            // Not handed on: two instances that disagree must not play it back
            // and forth.
            Route::Peer(_) => {
                self.counters.count_misrouted();
                JobAnswer::Refused(forward::unknown_owner(WRONG_OWNER_RETRY_MS))
            }
            Route::Unknown { retry_after_ms } => {
                JobAnswer::Refused(forward::unknown_owner(retry_after_ms))
            }
        }
    }

    async fn serve_fetch(&self, key: &JobKey, wait_ms: u64) -> JobAnswer {
        let answer = match self.route(key) {
            Route::OwnerLost => return self.recall_here(key, None).await,
            Route::Local | Route::Peer(_) | Route::Unknown { .. } => {
                self.context.runtime.fetch(key, wait_ms).await
            }
        };
        self.unless_owner_unsettled(key, answer)
    }

    async fn serve_cancel(&self, key: &JobKey) -> JobAnswer {
        let answer = match self.route(key) {
            Route::OwnerLost => return self.recall_here(key, None).await,
            Route::Local | Route::Peer(_) | Route::Unknown { .. } => {
                self.context.runtime.cancel(key).await
            }
        };
        self.unless_owner_unsettled(key, answer)
    }

    /// Only the owner can say that it does not know a job.
    fn unless_owner_unsettled(&self, key: &JobKey, answer: JobAnswer) -> JobAnswer {
        match self.route(key) {
            Route::Local => answer,
            _ if !forward::is_unknown_job(&answer) => answer,
            _ => JobAnswer::Refused(forward::unknown_owner(WRONG_OWNER_RETRY_MS)),
        }
    }

    fn serve_key<F>(
        self: &Arc<Self>,
        from: InstanceRef,
        request_id: u64,
        text: &str,
        serve: impl FnOnce(Arc<Self>, JobKey) -> F,
    ) where
        F: Future<Output = JobAnswer> + Send + 'static,
    {
        let Ok(key) = JobKey::parse(text) else {
            return;
        };
        let answer = serve(Arc::clone(self), key.clone());
        let peers = Arc::clone(self);
        tokio::spawn(async move {
            let answer = answer.await;
            peers.reply_answer(&from, request_id, key.as_str(), &answer);
        });
    }

    fn reply_answer(&self, to: &InstanceRef, request_id: u64, key: &str, answer: &JobAnswer) {
        let message = convert::answer_message(request_id, key, answer);
        if self.links.send(&to.name, Body::JobAnswer(message)).is_err() {
            // Too large, or too much queued: say at least how the job ended.
            let message =
                convert::answer_message(request_id, key, &convert::without_results(answer));
            let _ = self.links.send(&to.name, Body::JobAnswer(message));
        }
    }
}
