//! Requests for keys whose owner is gone, answered from the jobs that it handed over.
//!
//! A job with such a key is never started.

use std::time::{Duration, Instant};

use slog::info;
use trefoil_core::engine::JobAnswer;
use trefoil_core::handover::Absence;
use trefoil_core::key::JobKey;
use trefoil_core::view::Succession;

use super::forward::{OwnerRequest, answer_lost, owner_left, owner_lost, refused, unknown_owner};
use super::{Peers, convert};

/// Time limit for a successor's answer.
const SUCCESSOR_TIMEOUT: Duration = Duration::from_millis(750);
/// Time after which a request to a successor is repeated.
const RESEND_INTERVAL: Duration = Duration::from_millis(250);
/// Retry delay for the caller if instances disagree on the successor.
const UNSETTLED_RETRY_MS: u64 = 250;
/// Retry delay for the caller if the successor does not answer.
const NO_ANSWER_RETRY_MS: u64 = 500;

impl Peers {
    /// Answers a request for a key whose owner is gone, locally or by its successor.
    pub(super) async fn recall(
        &self,
        key: &JobKey,
        fingerprint: Option<u64>,
        request: &OwnerRequest<'_>,
    ) -> JobAnswer {
        let succession = self.membership().succession(key);
        match succession {
            Some((succession, _)) if succession.holder != self.local_member => {
                self.ask_successor(&succession, key, request).await
            }
            Some(_) | None => self.recall_here(key, fingerprint).await,
        }
    }

    async fn ask_successor(
        &self,
        succession: &Succession,
        key: &JobKey,
        request: &OwnerRequest<'_>,
    ) -> JobAnswer {
        let successor = &succession.holder;
        let started = Instant::now();
        let mut sent = false;
        let mut pending = self.pending.open(key, successor);
        while started.elapsed() < SUCCESSOR_TIMEOUT {
            let body = request.body(pending.id(), key, started);
            if self.send_request(successor, body).is_err() {
                break;
            }
            sent = true;
            let answer = tokio::time::timeout(RESEND_INTERVAL, pending.next()).await;
            if let Ok(Some(message)) = answer {
                return convert::answer(message);
            }
        }
        if sent && request.is_submission() && !succession.stored {
            // The successor may know a view in which it owns the key.
            return refused(answer_lost(successor));
        }
        let mut refusal = owner_lost();
        refusal.retry_after_ms = NO_ANSWER_RETRY_MS;
        refused(refusal)
    }

    /// Answers from the jobs handed over to this instance, if it is the successor.
    pub(super) async fn recall_here(&self, key: &JobKey, fingerprint: Option<u64>) -> JobAnswer {
        let succession = self.membership().succession(key);
        let answer_if_absent = match &succession {
            Some((succession, version)) if succession.holder == self.local_member => {
                let scopes = self.scopes();
                match scopes.absence(key, succession, *version) {
                    Absence::NeverStarted => owner_left(),
                    Absence::Unknown => {
                        info!(self.context.log, "nothing is proved of a key";
                            "key" => key.as_str(), "issued_ms" => key.issued_ms(),
                            "stored" => succession.stored, "view" => version,
                            "scope" => ?scopes.scope_of(&succession.path));
                        owner_lost()
                    }
                }
            }
            Some(_) => unknown_owner(UNSETTLED_RETRY_MS),
            None => owner_lost(),
        };
        let runtime = &self.context.runtime;
        runtime
            .answer_without_admission(key, fingerprint, answer_if_absent)
            .await
    }
}
