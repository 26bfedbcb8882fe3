//! Keys whose owner is gone: answered from the memory that it handed over.
//!
//! Whoever answers here never starts such a key.

use std::time::{Duration, Instant};

use slog::info;
use trefoil_core::engine::JobAnswer;
use trefoil_core::handover::Absence;
use trefoil_core::key::JobKey;

use super::forward::{Ask, owner_left, owner_lost, refused, unknown_owner};
use super::{Peers, convert};

/// Longest wait for the answer of a successor, asked anew each period.
const SUCCESSOR_WAIT: Duration = Duration::from_millis(750);
const ASK_PERIOD: Duration = Duration::from_millis(250);
/// When to ask again where two instances disagree on the successor.
const UNSETTLED_RETRY_MS: u64 = 250;
/// When to ask again where the successor did not answer.
const SILENT_RETRY_MS: u64 = 500;

impl Peers {
    /// Answers for a key whose owner is gone, here or at its successor.
    pub(super) async fn recall(
        &self,
        key: &JobKey,
        fingerprint: Option<u64>,
        ask: &Ask<'_>,
    ) -> JobAnswer {
        let succession = self.membership().succession(key);
        match succession {
            Some((succession, _)) if succession.holder != self.me => {
                self.ask_successor(&succession.holder, key, ask).await
            }
            Some(_) | None => self.recall_here(key, fingerprint).await,
        }
    }

    async fn ask_successor(
        &self,
        holder: &trefoil_core::view::Member,
        key: &JobKey,
        ask: &Ask<'_>,
    ) -> JobAnswer {
        let started = Instant::now();
        let mut request = self.pending.open();
        while started.elapsed() < SUCCESSOR_WAIT {
            let body = ask.body(request.id(), key, started);
            if self.send_ask(holder, body).is_err() {
                break;
            }
            let answer = tokio::time::timeout(ASK_PERIOD, request.next()).await;
            if let Ok(Some(message)) = answer {
                return convert::answer(message);
            }
        }
        let mut refusal = owner_lost();
        refusal.retry_after_ms = SILENT_RETRY_MS;
        refused(refusal)
    }

    /// Answers from the memory here, if this instance is the successor.
    pub(super) async fn recall_here(&self, key: &JobKey, fingerprint: Option<u64>) -> JobAnswer {
        let succession = self.membership().succession(key);
        let absent = match &succession {
            Some((succession, version)) if succession.holder == self.me => {
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
            .answer_without_admission(key, fingerprint, absent)
            .await
    }
}
