//! Messages from other instances.

use std::sync::Arc;
use std::time::Instant;

use slog::warn;
use tokio::sync::mpsc;
use trefoil_core::engine::JobAnswer;
use trefoil_core::key::JobKey;
use trefoil_core::membership::{Event, Route};
use trefoil_core::view::Member;
use trefoil_schema::peer::message::Body;
use trefoil_schema::peer::{ForwardJob, InstanceRef, JobAnswer as JobAnswerMessage};

use super::pending::AnswerResult;
use super::{Peers, convert, forward};
use crate::links::Incoming;
use crate::runtime::RequestContext;
use crate::util::telemetry::trace::{Hop, record_answer};

/// Retry delay for an instance that sent a request to the wrong owner.
const WRONG_OWNER_RETRY_MS: u64 = 250;

impl Peers {
    /// Handles messages until the links are closed.
    pub(super) async fn receive(self: Arc<Self>, mut incoming: mpsc::Receiver<Incoming>) {
        while let Some(Incoming { from, message }) = incoming.recv().await {
            self.handle_message(&from, message);
        }
    }

    fn handle_message(self: &Arc<Self>, from: &InstanceRef, body: Body) {
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
            Body::JobAnswer(answer) => self.accept_answer(from, answer),
            Body::KeyHandover(part) => self.accept_part(from, part),
            Body::KeyHandoverAck(ack) => self.accept_ack(from, ack),
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
                self.handle_membership_message(from, Body::Heartbeat(heartbeat));
            }
            Body::SlotRequest(request) => self.serve_slot_request(from, request),
            Body::SlotGrant(grant) => self.accept_slot_grant(from, grant),
            other => self.handle_membership_message(from, other),
        }
    }

    fn accept_answer(&self, from: &InstanceRef, answer: JobAnswerMessage) {
        let (request_id, answered_key) = (answer.request_id, answer.key.clone());
        match self.pending.answer(&Member::from(from), answer) {
            AnswerResult::Passed => {}
            AnswerResult::Unexpected => self.counters.count_stale_answer(),
            AnswerResult::Mismatch { key, asked } => {
                self.counters.count_mismatched_answer();
                warn!(self.context.log, "answer does not belong to the request with its ID";
                    "request_id" => request_id, "key" => key.as_str(),
                    "answered_key" => answered_key,
                    "asked" => &asked.name, "asked_incarnation" => asked.incarnation,
                    "from" => &from.name, "from_incarnation" => from.incarnation);
            }
        }
    }

    fn handle_membership_message(self: &Arc<Self>, from: &InstanceRef, body: Body) {
        self.handle(Event::Message {
            from: Member::from(from),
            body,
        });
    }

    /// Sends a response, which may be lost; the requester repeats its request.
    fn reply(&self, to: &InstanceRef, body: Body) {
        let _ = self.links.send(to, body);
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

    /// Runs a job in a child span of the sending instance's span.
    async fn run_job(self: &Arc<Self>, from: &InstanceRef, job: ForwardJob) -> JobAnswer {
        let received_at = Some(Instant::now());
        let header = job.traceparent.as_str();
        let received = (!header.is_empty()).then(|| Arc::<str>::from(header));
        let mut span = self
            .context
            .runtime
            .span(Hop::PeerServer, received.as_deref());
        if span.is_recording() {
            span.set_attribute("peer", from.name.clone());
        }
        let request_context = RequestContext {
            traceparent: span.outgoing_traceparent(received),
            received_at,
        };
        let answer = self.admit_job(job, request_context).await;
        record_answer(&mut span, &answer);
        answer
    }

    async fn admit_job(
        self: &Arc<Self>,
        job: ForwardJob,
        request_context: RequestContext,
    ) -> JobAnswer {
        let wait = job.wait;
        let Ok(submission) = convert::submission(job) else {
            return JobAnswer::Refused(forward::unknown_owner(0));
        };
        match self.route(&submission.key) {
            Route::Local => {
                self.context
                    .runtime
                    .submit(submission, wait, request_context)
                    .await
            }
            Route::OwnerLost => {
                let fingerprint = Some(submission.fingerprint);
                self.recall_here(&submission.key, fingerprint).await
            }
            // Not forwarded again: instances that disagree on the owner would forward
            // it in a loop.
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
        self.check_ownership(key, answer)
    }

    async fn serve_cancel(&self, key: &JobKey) -> JobAnswer {
        let answer = match self.route(key) {
            Route::OwnerLost => return self.recall_here(key, None).await,
            Route::Local | Route::Peer(_) | Route::Unknown { .. } => {
                self.context.runtime.cancel(key).await
            }
        };
        self.check_ownership(key, answer)
    }

    /// Replaces the answer that a job is unknown, which is valid only from the owner.
    pub(super) fn check_ownership(&self, key: &JobKey, answer: JobAnswer) -> JobAnswer {
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
        if self.links.send(to, Body::JobAnswer(message)).is_err() {
            // Too large, or the queue is full: send the outcome without results.
            let message =
                convert::answer_message(request_id, key, &convert::without_results(answer));
            let _ = self.links.send(to, Body::JobAnswer(message));
        }
    }
}
