//! Callers' jobs at the instance that they reached.
//!
//! An entry keeps a job until it has an answer, delegates it to one owner at a
//! time, and delegates it anew when that owner is lost: at once to the next
//! owner of the same workers, which sees what runs there, and to any other
//! owner only after nothing of it can run any more.
//!
//! * [`command`]: what is decided.
//! * [`choice`]: the pool for a job.
//! * [`losses`]: jobs that are taken back.
//! * [`refusal`]: jobs that are refused, or given up.

mod choice;
mod command;
mod losses;
mod refusal;

use std::collections::{BTreeMap, BTreeSet, HashMap};

use trefoil_schema::dispatch::{Claim, Holder, Job as JobSpec, Load, Outcome};

use super::limits::{PLACEMENT_TIMEOUT_MS, REDELEGATION_DELAY_MS};
use super::owner::JobResult;
use super::ownership::holder_of;

use choice::{choose, width_of, work_of};
use refusal::{CLOSED, Refusal};

pub use choice::PoolView;
pub use command::{Answer, Command, PoolOwner, RequestId, RevocationCause};

/// Where a job is.
#[derive(Clone, Debug, PartialEq)]
enum Place {
    /// Here, for an owner to be found.
    Waiting,
    /// At the owner of a pool.
    Delegated(PoolOwner),
}

#[derive(Clone, Debug)]
struct EntryJob {
    spec: JobSpec,
    waiters: Vec<RequestId>,
    arrived_ms: u64,
    deadline_ms: u64,
    place: Place,
    waiting_since_ms: u64,
    unsafe_until_ms: u64,
    /// Pool of the owners whose runs may go on until then.
    unsafe_pool: String,
    /// The only ownership under which these were started; none where there are
    /// several.
    unsafe_holder: Option<Holder>,
    /// The ownership that it is under, or was last.
    holder: Option<Holder>,
    /// Whether an owner was lost that may have started it.
    may_have_run: bool,
    /// Pools whose owners have refused it.
    refused_by: Vec<String>,
    /// The last refusal, while it waits for another pool.
    refusal: Option<Refusal>,
}

/// The jobs that callers of this instance await.
#[derive(Debug, Default)]
pub struct Entry {
    home: String,
    jobs: HashMap<String, EntryJob>,
    requests: HashMap<RequestId, String>,
    pools: BTreeMap<String, PoolView>,
    /// Pools of the own failure domain that this entry uses once they have
    /// owners.
    home_pools: Vec<String>,
    /// Failure domains that have pools; none before they are known.
    failure_domains: BTreeSet<String>,
}

impl Entry {
    /// An entry in a failure domain.
    pub fn new(home: &str) -> Self {
        Self {
            home: home.to_owned(),
            ..Self::default()
        }
    }

    /// Takes in which failure domains have pools.
    pub fn set_failure_domains(&mut self, names: impl Iterator<Item = String>) {
        self.failure_domains = names.collect();
    }

    /// Takes in a caller's job.
    pub fn submit(
        &mut self,
        now_ms: u64,
        request_id: RequestId,
        spec: JobSpec,
        deadline_ms: u64,
        out: &mut Vec<Command>,
    ) {
        let id = spec.id.clone();
        if let Some(job) = self.jobs.get_mut(&id) {
            if job.spec != spec {
                let answer = Answer::OtherJob;
                return out.push(Command::Answer { request_id, answer });
            }
            job.waiters.push(request_id);
            self.requests.insert(request_id, id);
            return;
        }
        let job = EntryJob {
            spec,
            waiters: vec![request_id],
            arrived_ms: now_ms,
            deadline_ms,
            place: Place::Waiting,
            waiting_since_ms: now_ms,
            unsafe_until_ms: now_ms,
            unsafe_pool: String::new(),
            unsafe_holder: None,
            holder: None,
            may_have_run: false,
            refused_by: Vec::new(),
            refusal: None,
        };
        self.requests.insert(request_id, id.clone());
        self.jobs.insert(id.clone(), job);
        self.place(now_ms, &id, out);
    }

    /// A caller no longer waits; without any waiter the job is cancelled.
    pub fn on_caller_disconnected(&mut self, request_id: RequestId, out: &mut Vec<Command>) {
        let Some(id) = self.requests.remove(&request_id) else {
            return;
        };
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.waiters.retain(|&waiter| waiter != request_id);
        if job.waiters.is_empty() {
            self.drop_job(&id, out);
        }
    }

    fn drop_job(&mut self, id: &str, out: &mut Vec<Command>) {
        let Some(job) = self.jobs.remove(id) else {
            return;
        };
        if let Place::Delegated(to) = job.place {
            let job_id = id.to_owned();
            out.push(Command::Cancel { to, job_id });
        }
    }

    /// Takes in how an owner says that a job ended.
    pub fn on_job_ended(
        &mut self,
        now_ms: u64,
        from: &PoolOwner,
        ending: &JobResult,
        out: &mut Vec<Command>,
    ) {
        let id = ending.job_id.as_str();
        let outcome = ending.outcome;
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let known = self.pools.get_mut(&from.pool);
        if let Some(view) = known.filter(|view| view.holder.owner == from.owner) {
            view.heard_ms = view.heard_ms.max(now_ms);
        }
        if job.place != Place::Delegated(from.clone()) {
            return;
        }
        match outcome {
            Outcome::Completed => self.answer(id, Answer::Completed, out),
            Outcome::Failed => self.answer(id, Answer::Failed, out),
            Outcome::NotRun => self.refused(now_ms, from, ending, out),
            Outcome::Returned | Outcome::Stopped | Outcome::Lost | Outcome::Unspecified => {
                if let Some(view) = self.pools.get_mut(&from.pool) {
                    view.load.serving = false;
                }
                job_ran(job, outcome);
                let may_run = !matches!(outcome, Outcome::Returned | Outcome::Stopped);
                self.take_back(now_ms, id, may_run, RevocationCause::Told(outcome), out);
                self.place(now_ms, id, out);
            }
        }
    }

    /// Takes in what an owner tells of its claim and the pool's load.
    pub fn update_pool(&mut self, now_ms: u64, claim: &Claim, load: Load, out: &mut Vec<Command>) {
        let Some(holder) = holder_of(claim) else {
            return;
        };
        let known = self.pools.get(&claim.pool);
        if let Some(other) = known.filter(|view| view.holder.owner != holder.owner) {
            let owned = PoolOwner {
                pool: claim.pool.clone(),
                owner: other.holder.owner.clone(),
            };
            self.pool_lost(now_ms, &owned, RevocationCause::OwnerChanged, out);
        }
        let known = self.pools.get(&claim.pool);
        let served = known.is_some_and(|view| view.load.serving);
        let view = PoolView {
            holder,
            failure_domain: claim.failure_domain.clone(),
            load,
            heard_ms: now_ms,
            since_millicore_ms: 0,
            since_millicores: 0,
        };
        self.pools.insert(claim.pool.clone(), view);
        if load.serving && !served {
            self.place_waiting(now_ms, out);
        }
    }

    /// Moves all silence limits by a time in which this process did not run.
    pub fn extend_liveness_timeouts(&mut self, stall_ms: u64) {
        for view in self.pools.values_mut() {
            view.heard_ms += stall_ms;
        }
    }

    /// Passes time: jobs that became safe, jobs whose time is over.
    pub fn tick(&mut self, now_ms: u64, out: &mut Vec<Command>) {
        self.place_waiting(now_ms, out);
        let expired = |job: &EntryJob| {
            let until_ms = match job.refusal {
                Some(refusal) => refusal.until_ms,
                None => job.waiting_since_ms + PLACEMENT_TIMEOUT_MS,
            };
            let unplaced =
                job.place == Place::Waiting && now_ms >= until_ms && now_ms >= job.unsafe_until_ms;
            now_ms >= job.deadline_ms || unplaced
        };
        let ids: Vec<String> = self
            .jobs
            .iter()
            .filter(|(_, job)| expired(job))
            .map(|(id, _)| id.clone())
            .collect();
        for id in ids {
            self.give_up(&id, "its time is over", out);
        }
    }

    /// Gives up everything at the end of a planned stop.
    pub fn shut_down(&mut self, out: &mut Vec<Command>) {
        let ids: Vec<String> = self.jobs.keys().cloned().collect();
        for id in ids {
            self.give_up(&id, "the instance ends", out);
        }
    }

    fn answer(&mut self, id: &str, answer: Answer, out: &mut Vec<Command>) {
        let Some(job) = self.jobs.remove(id) else {
            return;
        };
        for request_id in job.waiters {
            self.requests.remove(&request_id);
            out.push(Command::Answer { request_id, answer });
        }
    }

    fn place_waiting(&mut self, now_ms: u64, out: &mut Vec<Command>) {
        let waiting = self.jobs.iter();
        let waiting = waiting.filter(|(_, job)| job.place == Place::Waiting);
        let ids: Vec<String> = waiting.map(|(id, _)| id.clone()).collect();
        for id in ids {
            self.place(now_ms, &id, out);
        }
    }

    /// The pool for a waiting job, if an owner may have it now: one that was heard
    /// of lately, or else any.
    fn pool_for(&self, now_ms: u64, job: &EntryJob) -> Option<String> {
        let is_safe = now_ms >= job.unsafe_until_ms;
        let serving = self.pools.iter().filter(|(_, view)| view.load.serving);
        let allowed = serving.filter(|(pool, _)| {
            (is_safe || **pool == job.unsafe_pool) && !job.refused_by.contains(pool)
        });
        let allowed: Vec<(&String, &PoolView)> = allowed.collect();
        let heard = allowed.iter().filter(|(_, view)| !view.is_silent(now_ms));
        choose(heard.copied(), &self.home, &job.spec)
            .or_else(|| choose(allowed.iter().copied(), &self.home, &job.spec))
    }

    /// Delegates a waiting job if an owner may have it now.
    fn place(&mut self, now_ms: u64, id: &str, out: &mut Vec<Command>) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        if job.place != Place::Waiting {
            return;
        }
        let Some(pool) = self.pool_for(now_ms, job) else {
            if now_ms >= job.unsafe_until_ms && self.is_closed() {
                self.give_up(id, CLOSED, out);
            }
            return;
        };
        self.delegate(now_ms, id, pool, out);
    }

    fn delegate(&mut self, now_ms: u64, id: &str, pool: String, out: &mut Vec<Command>) {
        let (Some(job), Some(view)) = (self.jobs.get_mut(id), self.pools.get_mut(&pool)) else {
            return;
        };
        view.since_millicore_ms += work_of(&job.spec);
        view.since_millicores += width_of(&job.spec);
        let to = PoolOwner {
            pool,
            owner: view.holder.owner.clone(),
        };
        job.place = Place::Delegated(to.clone());
        job.holder = Some(view.holder.clone());
        job.refusal = None;
        let mut spec = job.spec.clone();
        spec.age_ms = now_ms.saturating_sub(job.arrived_ms);
        out.push(Command::Delegate {
            to,
            spec,
            last_heard_ms: now_ms.saturating_sub(view.heard_ms),
            unsafe_for_ms: job.unsafe_until_ms.saturating_sub(now_ms),
            unsafe_holder: job.unsafe_holder.clone(),
        });
    }

    /// Jobs without an answer.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Whether every caller has its answer.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Whether callers get an answer at once: an owner takes jobs, or all say
    /// that none may be run.
    pub fn is_ready(&self) -> bool {
        self.is_closed() || self.pools.values().any(|view| view.load.serving)
    }

    /// Whether every failure domain is closed: the owners that are known say so,
    /// and there is one in each.
    ///
    /// Load pattern: all instances start at once, and the first owners that are
    /// heard of are in a closed failure domain. Taken for all that there is, they
    /// would have callers refused whom others can serve.
    fn is_closed(&self) -> bool {
        let views = self.pools.values();
        let known: BTreeSet<&String> = views.map(|view| &view.failure_domain).collect();
        let knows_all = self.failure_domains.iter().all(|name| known.contains(name));
        let all_closed = self.pools.values().all(|view| view.load.closed);
        !self.failure_domains.is_empty() && knows_all && all_closed
    }
}

/// Notes that something of a job ran, so that it is never said not to have run.
fn job_ran(job: &mut EntryJob, outcome: Outcome) {
    job.may_have_run |= outcome != Outcome::Returned;
}
