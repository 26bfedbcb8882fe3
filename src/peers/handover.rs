//! Handover of a leaving instance's remembered jobs to the successors for its keys.
//!
//! The jobs are sent in parts to all successors concurrently. Each part is sent until
//! it is acknowledged, and the next part follows. The handover ends at the latest at
//! a deadline that the planned stop sets.

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

/// Time without an acknowledgement after which a part is sent again.
const RESEND_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum wait for a view without this instance. After it, jobs are handed over to the
/// expected successors, without proof that they are complete.
const REMOVAL_TIMEOUT: Duration = Duration::from_secs(2);
const REMOVAL_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Number of acknowledgements buffered for a transfer.
const ACK_BUFFER: usize = 16;

/// Channels that pass acknowledgements to the open transfers, by successor.
pub(super) type AckTable = HashMap<Member, mpsc::Sender<KeyHandoverAck>>;

/// Result of a handover.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq)]
#[display("{keys} keys to {successors} successors, {unfinished} unfinished, proof: {proof}")]
pub(crate) struct HandoverReport {
    /// Number of keys to hand over.
    pub(crate) keys: usize,
    /// Number of successors.
    pub(crate) successors: usize,
    /// Number of transfers that were not completed.
    pub(crate) unfinished: usize,
    /// Whether successors can tell that a missing key was never started.
    pub(crate) proof: bool,
}

/// Jobs and scopes for one successor.
struct Transfer {
    to: Member,
    jobs: Vec<RememberedJob>,
    scopes: Vec<HandoverScope>,
}

/// Result of a transfer.
enum TransferResult {
    /// The successor accepted everything.
    Done,
    /// The successor left; its own successors take over these jobs.
    SuccessorLeft(Vec<RememberedJob>),
    /// The deadline passed, or the successor could not remember all jobs.
    Unfinished,
}

impl Peers {
    /// Hands over this instance's remembered jobs, within `limit`.
    ///
    /// Before the call, new keys must be refused and all jobs must have ended.
    pub(crate) async fn hand_over(self: &Arc<Self>, limit: Duration) -> HandoverReport {
        let deadline = Instant::now() + limit;
        let proof = self.wait_for_removal(limit.min(REMOVAL_TIMEOUT)).await;
        // Parts accepted from now on could not be handed over any more.
        self.scopes().close();
        let now = self.context.runtime.now();
        let Some(remembered) = self.context.runtime.engine().remembered_jobs(now) else {
            return HandoverReport::default();
        };
        let mut report = HandoverReport {
            keys: remembered.jobs.len(),
            proof,
            ..HandoverReport::default()
        };
        let mut transfers = self.first_transfers(remembered, proof);
        report.successors = transfers.len();
        while !transfers.is_empty() {
            let (remaining, unfinished) = self.run_transfers(transfers, deadline).await;
            report.unfinished += unfinished;
            transfers = self.further_transfers(remaining);
        }
        info!(self.context.log, "memory handed over"; "report" => %report);
        report
    }

    /// Notifies the other instances that this one ends, so that they send requests to
    /// its successors.
    pub(crate) fn announce_exit(self: &Arc<Self>) {
        let mut commands = Vec::new();
        let mut membership = self.membership();
        membership.announce_exit(&mut commands);
        for command in commands {
            self.execute(command);
        }
    }

    async fn wait_for_removal(&self, limit: Duration) -> bool {
        let removed = async {
            while self.in_view() {
                sleep(REMOVAL_POLL_INTERVAL).await;
            }
        };
        timeout(limit, removed).await.is_ok()
    }

    /// Returns a transfer for each successor, also without jobs: the scopes prove that
    /// keys that were not handed over have never started.
    fn first_transfers(&self, remembered: RememberedJobs, proof: bool) -> Vec<Transfer> {
        let membership = self.membership();
        let Some(known) = membership.view_log(&self.domain) else {
            return Vec::new();
        };
        let own_scope = membership.handover_scope(remembered.from_ms);
        let scopes = match proof {
            true => {
                self.scopes()
                    .outgoing_scopes(&self.local_member, own_scope, remembered.from_ms)
            }
            false => Vec::new(),
        };
        let mut by_successor = jobs_by_successor(&known.log, &self.local_member, remembered.jobs);
        for successor in known.log.successors(&self.local_member) {
            by_successor.entry(successor).or_default();
        }
        let transfer = |(to, jobs)| Transfer {
            to,
            jobs,
            scopes: scopes.clone(),
        };
        by_successor.into_iter().map(transfer).collect()
    }

    /// Returns transfers of jobs whose first successor left. They have no scopes, as a
    /// scope is valid only for the path through the first successor.
    fn further_transfers(&self, jobs: Vec<RememberedJob>) -> Vec<Transfer> {
        let membership = self.membership();
        let Some(known) = membership.view_log(&self.domain) else {
            return Vec::new();
        };
        let transfer = |(to, jobs)| Transfer {
            to,
            jobs,
            scopes: Vec::new(),
        };
        let by_successor = jobs_by_successor(&known.log, &self.local_member, jobs);
        by_successor.into_iter().map(transfer).collect()
    }

    /// Runs transfers concurrently; returns the jobs of successors that left, and the
    /// number of unfinished transfers.
    async fn run_transfers(
        self: &Arc<Self>,
        transfers: Vec<Transfer>,
        deadline: Instant,
    ) -> (Vec<RememberedJob>, usize) {
        let mut tasks = JoinSet::new();
        for transfer in transfers {
            let peers = Arc::clone(self);
            tasks.spawn(async move { peers.run_transfer(transfer, deadline).await });
        }
        let mut remaining = Vec::new();
        let mut unfinished = 0;
        for result in tasks.join_all().await {
            match result {
                TransferResult::Done => {}
                TransferResult::SuccessorLeft(jobs) => remaining.extend(jobs),
                TransferResult::Unfinished => unfinished += 1,
            }
        }
        (remaining, unfinished)
    }

    async fn run_transfer(&self, transfer: Transfer, deadline: Instant) -> TransferResult {
        let Transfer { to, jobs, scopes } = transfer;
        let (sender, mut acks) = mpsc::channel(ACK_BUFFER);
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
                Ok(Some(part_accepted)) => accepted &= part_accepted,
                Ok(None) => return TransferResult::SuccessorLeft(jobs),
                Err(_) => return TransferResult::Unfinished,
            }
        }
        match accepted {
            true => TransferResult::Done,
            false => TransferResult::Unfinished,
        }
    }

    /// Sends a part until it is acknowledged; returns whether it was accepted, or `None`
    /// if the successor left.
    async fn send_part(
        &self,
        to: &Member,
        part: KeyHandover,
        acks: &mut mpsc::Receiver<KeyHandoverAck>,
    ) -> Option<bool> {
        let number = part.part;
        while !self.was_removed(to) {
            let address = self.membership().address(to);
            // Errors are ignored: a part that is not acknowledged is sent again.
            self.send(to, &address, Body::KeyHandover(part.clone()));
            let acknowledged = timeout(RESEND_INTERVAL, async {
                loop {
                    match acks.recv().await {
                        Some(ack) if ack.part == number => return ack.accepted,
                        Some(_) => {}
                        None => std::future::pending().await,
                    }
                }
            });
            if let Ok(accepted) = acknowledged.await {
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

    /// Passes an acknowledgement to its transfer.
    pub(super) fn accept_ack(&self, from: &InstanceRef, ack: KeyHandoverAck) {
        if ack.to.as_ref().map(Member::from).as_ref() != Some(&self.local_member) {
            return;
        }
        if let Some(sender) = self.acks().get(&Member::from(from)) {
            // If the buffer is full, the part is sent and acknowledged again.
            let _ = sender.try_send(ack);
        }
    }

    /// Takes over remembered jobs from another instance.
    pub(super) fn accept_part(&self, from: &InstanceRef, part: KeyHandover) {
        if part.to.as_ref().map(Member::from).as_ref() != Some(&self.local_member) {
            return;
        }
        // Locked until the jobs are stored: this instance's own handover first closes
        // the scopes.
        let mut scopes = self.scopes();
        if scopes.is_closed() {
            // Not acknowledged: the sender will see that this instance left.
            return;
        }
        let now = self.context.runtime.now();
        let engine = self.context.runtime.engine();
        let jobs = part.keys.into_iter().filter_map(convert::remembered_job);
        // All jobs are tried, also after one that could not be remembered.
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
        let _ = self.links.send(from, Body::KeyHandoverAck(ack));
    }
}

/// Groups jobs by the instance that takes them over when `leaving` is gone.
fn jobs_by_successor(
    log: &ViewLog,
    leaving: &Member,
    jobs: Vec<RememberedJob>,
) -> BTreeMap<Member, Vec<RememberedJob>> {
    let mut by_successor: BTreeMap<Member, Vec<RememberedJob>> = BTreeMap::new();
    for job in jobs {
        let succession = log.succession(&job.key, |member| member == leaving);
        let holder = succession.map(|succession| succession.holder);
        if let Some(holder) = holder.filter(|holder| holder != leaving) {
            by_successor.entry(holder).or_default().push(job);
        }
    }
    by_successor
}
