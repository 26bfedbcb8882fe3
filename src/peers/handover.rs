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
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout, timeout_at};
use trefoil_core::engine::{RememberedJob, RememberedJobs};
use trefoil_core::view::{Member, ViewLog};
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

/// How an errand ended.
enum ErrandEnd {
    /// The successor has all.
    Done,
    /// The successor left meanwhile; these are for whoever follows it.
    Left(Vec<RememberedJob>),
    /// The deadline came, or the successor had no room.
    Unfinished,
}

impl Peers {
    /// Hands this instance's memory over; takes until `limit` at most.
    ///
    /// New keys must be refused already, and nothing may run.
    pub async fn hand_over(self: &Arc<Self>, limit: Duration) -> HandoverReport {
        let deadline = Instant::now() + limit;
        let proof = self.wait_for_removal(limit.min(VIEW_WAIT)).await;
        // From here on no part is taken that could not be handed on.
        self.scopes().close();
        let now = self.context.runtime.now();
        let Some(memory) = self.context.runtime.engine().remembered_jobs(now) else {
            return HandoverReport::default();
        };
        let mut report = HandoverReport {
            keys: memory.jobs.len(),
            proof,
            ..HandoverReport::default()
        };
        let mut errands = self.first_errands(memory, proof);
        report.successors = errands.len();
        while !errands.is_empty() {
            let (left, unfinished) = self.run_errands(errands, deadline).await;
            report.unfinished += unfinished;
            errands = self.later_errands(left);
        }
        info!(self.context.log, "memory handed over"; "report" => %report);
        report
    }

    /// Tells others that this instance ends, so that they ask its successors.
    pub fn say_gone(self: &Arc<Self>) {
        let mut commands = Vec::new();
        let mut membership = self.membership();
        membership.announce_exit(&mut commands);
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

    /// One errand to each successor, also where it gets no key: the word that
    /// this is all counts for the keys that it did not get.
    fn first_errands(&self, memory: RememberedJobs, proof: bool) -> Vec<Errand> {
        let membership = self.membership();
        let Some(known) = membership.view_log(&self.domain) else {
            return Vec::new();
        };
        let own = membership.handover_scope(memory.from_ms);
        let scopes = match proof {
            true => self.scopes().outgoing_scopes(&self.me, own, memory.from_ms),
            false => Vec::new(),
        };
        let mut by_holder = by_holder(&known.log, &self.me, memory.jobs);
        for heir in known.log.successors(&self.me) {
            by_holder.entry(heir).or_default();
        }
        let errand = |(to, jobs)| Errand {
            to,
            jobs,
            scopes: scopes.clone(),
        };
        by_holder.into_iter().map(errand).collect()
    }

    /// Errands of keys whose first successor left; without the word that this
    /// is all, which counts for the way through the first.
    fn later_errands(&self, jobs: Vec<RememberedJob>) -> Vec<Errand> {
        let membership = self.membership();
        let Some(known) = membership.view_log(&self.domain) else {
            return Vec::new();
        };
        let errand = |(to, jobs)| Errand {
            to,
            jobs,
            scopes: Vec::new(),
        };
        let by_holder = by_holder(&known.log, &self.me, jobs);
        by_holder.into_iter().map(errand).collect()
    }

    /// Runs errands side by side: keys of successors that left, and how many
    /// errands were not finished.
    async fn run_errands(
        self: &Arc<Self>,
        errands: Vec<Errand>,
        deadline: Instant,
    ) -> (Vec<RememberedJob>, usize) {
        let mut sends = JoinSet::new();
        for errand in errands {
            let peers = Arc::clone(self);
            sends.spawn(async move { peers.run_errand(errand, deadline).await });
        }
        let mut left = Vec::new();
        let mut unfinished = 0;
        for end in sends.join_all().await {
            match end {
                ErrandEnd::Done => {}
                ErrandEnd::Left(jobs) => left.extend(jobs),
                ErrandEnd::Unfinished => unfinished += 1,
            }
        }
        (left, unfinished)
    }

    async fn run_errand(&self, errand: Errand, deadline: Instant) -> ErrandEnd {
        let Errand { to, jobs, scopes } = errand;
        let (sender, mut acks) = mpsc::channel(ACKS_MAX);
        self.acks().insert(to.clone(), sender);
        let mut parts = parts(&jobs, &PartLimits::default()).into_iter().peekable();
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
                Ok(Some(taken)) => accepted &= taken,
                Ok(None) => return ErrandEnd::Left(jobs),
                Err(_) => return ErrandEnd::Unfinished,
            }
        }
        match accepted {
            true => ErrandEnd::Done,
            false => ErrandEnd::Unfinished,
        }
    }

    /// Whether the successor took the part; `None` if it left meanwhile.
    async fn send_part(
        &self,
        to: &Member,
        part: KeyHandover,
        acks: &mut mpsc::Receiver<KeyHandoverAck>,
    ) -> Option<bool> {
        let number = part.part;
        while !self.was_removed(to) {
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
                return Some(accepted);
            }
        }
        None
    }

    fn was_removed(&self, member: &Member) -> bool {
        let membership = self.membership();
        let known = membership.view_log(&self.domain);
        let newest = known.and_then(|known| known.log.newest());
        newest.is_some_and(|view| !view.contains(member))
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
        // Held throughout: a hand-over of one's own closes the scopes first.
        let mut scopes = self.scopes();
        if scopes.is_closed() {
            // Not acknowledged: the sender finds out who follows.
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
            let window_ms = self.context.settings.jobs.key_window_ms;
            scopes.expire_before(now.wall_ms.saturating_sub(window_ms));
            part.scopes.iter().for_each(|scope| scopes.insert(scope));
        }
        drop(scopes);
        let ack = KeyHandoverAck {
            to: Some(from.clone()),
            part: part.part,
            accepted,
        };
        let _ = self.links.send(&from.name, Body::KeyHandoverAck(ack));
    }
}

/// Jobs by who answers for them once `me` is gone.
fn by_holder(
    log: &ViewLog,
    me: &Member,
    jobs: Vec<RememberedJob>,
) -> BTreeMap<Member, Vec<RememberedJob>> {
    let mut by_holder: BTreeMap<Member, Vec<RememberedJob>> = BTreeMap::new();
    for job in jobs {
        let succession = log.succession(&job.key, |member| member == me);
        let holder = succession.map(|succession| succession.holder);
        if let Some(holder) = holder.filter(|holder| holder != me) {
            by_holder.entry(holder).or_default().push(job);
        }
    }
    by_holder
}
