//! The memory of a leaving instance, handed to those that answer for its keys.
//!
//! Parts go to each successor one after another; a part is sent again until it
//! is acknowledged. The successors are served side by side, and all of it ends
//! by a deadline that the planned stop sets.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use slog::info;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep, timeout, timeout_at};
use trefoil_core::engine::{Memory, RememberedJob};
use trefoil_core::handover::Scope;
use trefoil_core::view::Member;
use trefoil_schema::peer::message::Body;
use trefoil_schema::peer::{HandoverScope, InstanceRef, KeyHandover, KeyHandoverAck};

use super::parts::{PartLimits, parts};
use super::{Peers, convert};

/// Wait for an acknowledgement before a part is sent again.
const RESEND: Duration = Duration::from_millis(250);
/// Longest wait for the view without this instance; beyond, the memory goes
/// to where it would go, without proof that it is complete.
const VIEW_WAIT: Duration = Duration::from_secs(2);
const VIEW_POLL: Duration = Duration::from_millis(20);
/// Acknowledgements that wait to be read.
const ACKS_MAX: usize = 16;

/// Acknowledgements awaited, by the successor.
pub(super) type AckTable = HashMap<Member, mpsc::Sender<KeyHandoverAck>>;

/// What became of a hand-over.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq)]
#[display("{keys} keys to {successors} successors, {unfinished} unfinished, proof: {proof}")]
pub struct HandoverReport {
    /// Keys that were to be handed over.
    pub keys: usize,
    /// Instances that take them over.
    pub successors: usize,
    /// Of these, those that did not take all before the deadline.
    pub unfinished: usize,
    /// Whether the successors can tell that a key never started.
    pub proof: bool,
}

/// What one successor gets.
struct Errand {
    to: Member,
    jobs: Vec<RememberedJob>,
    scopes: Vec<HandoverScope>,
}

impl Peers {
    /// Hands this instance's memory over; takes until `limit` at most.
    ///
    /// New keys must be refused already, and nothing may run.
    pub async fn hand_over(self: &Arc<Self>, limit: Duration) -> HandoverReport {
        let deadline = Instant::now() + limit;
        let proof = self.wait_for_removal(limit.min(VIEW_WAIT)).await;
        let now = self.context.runtime.now();
        let Some(memory) = self.context.runtime.engine().memory(now) else {
            return HandoverReport::default();
        };
        let keys = memory.jobs.len();
        let errands = self.errands(memory, proof);
        let successors = errands.len();
        let sends = errands.into_iter().map(|errand| {
            let peers = Arc::clone(self);
            tokio::spawn(async move { peers.run_errand(errand, deadline).await })
        });
        let sends: Vec<_> = sends.collect();
        let mut unfinished = 0;
        for send in sends {
            unfinished += usize::from(!send.await.unwrap_or(false));
        }
        let report = HandoverReport {
            keys,
            successors,
            unfinished,
            proof,
        };
        info!(self.context.log, "memory handed over"; "report" => %report);
        report
    }

    /// Tells others that this instance ends, so that they ask its successors.
    pub fn say_gone(self: &Arc<Self>) {
        let mut commands = Vec::new();
        let mut membership = self.membership();
        membership.say_gone(&mut commands);
        for command in commands {
            self.execute(command);
        }
    }

    async fn wait_for_removal(&self, limit: Duration) -> bool {
        let removed = async {
            while self.in_force() {
                sleep(VIEW_POLL).await;
            }
        };
        timeout(limit, removed).await.is_ok()
    }

    fn errands(&self, memory: Memory, proof: bool) -> Vec<Errand> {
        let membership = self.membership();
        let Some(known) = membership.view_log(&self.domain) else {
            return Vec::new();
        };
        let mut by_holder: BTreeMap<Member, Vec<RememberedJob>> = BTreeMap::new();
        for heir in known.log.heirs(&self.me) {
            by_holder.insert(heir, Vec::new());
        }
        for job in memory.jobs {
            let succession = known.log.succession(&job.key, |member| *member == self.me);
            if let Some(succession) = succession {
                by_holder.entry(succession.holder).or_default().push(job);
            }
        }
        by_holder.remove(&self.me);
        let scopes = match proof {
            true => self.scopes().handed_on(
                &self.me,
                Scope {
                    from_ms: memory.from_ms,
                    until_ms: membership.admission_limit(),
                    view_version: known.log.version(),
                },
            ),
            false => Vec::new(),
        };
        let errand = |(to, jobs)| Errand {
            to,
            jobs,
            scopes: scopes.clone(),
        };
        by_holder.into_iter().map(errand).collect()
    }

    /// Whether the successor took all before the deadline.
    async fn run_errand(&self, errand: Errand, deadline: Instant) -> bool {
        let Errand { to, jobs, scopes } = errand;
        let (sender, mut acks) = mpsc::channel(ACKS_MAX);
        self.acks().insert(to.clone(), sender);
        let mut parts = parts(jobs, &PartLimits::default()).into_iter().peekable();
        let mut accepted = true;
        let mut number = 0;
        while let Some(keys) = parts.next() {
            number += 1;
            let last = parts.peek().is_none();
            let part = KeyHandover {
                to: Some((&to).into()),
                part: number,
                keys,
                last,
                scopes: match last && accepted {
                    true => scopes.clone(),
                    false => Vec::new(),
                },
            };
            match timeout_at(deadline, self.send_part(&to, part, &mut acks)).await {
                Ok(taken) => accepted &= taken,
                Err(_) => return false,
            }
        }
        accepted
    }

    async fn send_part(
        &self,
        to: &Member,
        part: KeyHandover,
        acks: &mut mpsc::Receiver<KeyHandoverAck>,
    ) -> bool {
        let number = part.part;
        loop {
            let address = self.membership().address(to);
            // A part that is lost, or not even queued, is sent again.
            self.send(to, &address, Body::KeyHandover(part.clone()));
            let answered = timeout(RESEND, async {
                loop {
                    match acks.recv().await {
                        Some(ack) if ack.part == number => return ack.accepted,
                        Some(_) => {}
                        None => std::future::pending().await,
                    }
                }
            });
            if let Ok(accepted) = answered.await {
                return accepted;
            }
        }
    }

    /// Takes an acknowledgement.
    pub(super) fn take_ack(&self, from: &InstanceRef, ack: KeyHandoverAck) {
        if ack.to.as_ref().map(Member::from).as_ref() != Some(&self.me) {
            return;
        }
        if let Some(sender) = self.acks().get(&Member::from(from)) {
            // A full queue holds one for each part already.
            let _ = sender.try_send(ack);
        }
    }

    /// Takes over a part of another instance's memory.
    pub(super) fn take_part(&self, from: &InstanceRef, part: KeyHandover) {
        if part.to.as_ref().map(Member::from).as_ref() != Some(&self.me) {
            return;
        }
        let now = self.context.runtime.now();
        let engine = self.context.runtime.engine();
        // Results share their frame's memory: copied, as they are kept.
        let jobs = part.keys.into_iter().filter_map(convert::remembered_job);
        // Each is taken up, also behind one that found no room.
        let refused = jobs
            .filter(|job| !engine.remember(now, job.clone()))
            .count();
        let accepted = refused == 0;
        if accepted && part.last {
            let mut scopes = self.scopes();
            let window_ms = self.context.settings.jobs.key_window_ms;
            scopes.forget_before(now.wall_ms.saturating_sub(window_ms));
            part.scopes.iter().for_each(|scope| scopes.insert(scope));
        }
        let ack = KeyHandoverAck {
            to: Some(from.clone()),
            part: part.part,
            accepted,
        };
        let _ = self.links.send(&from.name, Body::KeyHandoverAck(ack));
    }
}
