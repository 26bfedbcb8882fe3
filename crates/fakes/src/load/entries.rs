//! Jobs sent to entry instances, as callers send them.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use hyper::{
    Method,
    header::{HeaderName, HeaderValue},
};
use tokio::time::sleep;

use super::{
    KeyKind, Run,
    job::{self, JobAnswer, Outcome},
    plan::{JobPlan, SecondThought},
    stats::JobEnd,
};
use crate::{
    check::history::{HistoryEntry, RequestKind},
    client::request,
    worker::record::body_hash,
};

const KEY_HEADER: HeaderName = HeaderName::from_static("idempotency-key");
/// Pause before a lost or doubtful answer is asked for again.
const ASK_AGAIN_MS: u64 = 20;
/// Reason of a request that had no answer when the run was cut off.
const CUT_OFF: &str = "cut_off";
/// Mints one key.
const MINT_PATH: &str = "/v1/keys?count=1";

/// A submission that can be made more than once.
#[derive(Clone, Debug)]
struct Submission {
    key: String,
    tokens: Vec<String>,
    body: Bytes,
    body_hash: String,
}

/// Runs one job to its last answer.
pub(super) async fn run_job(run: Arc<Run>, plan: JobPlan) {
    let key = key(&run, &plan).await;
    let own = submission_of(&run, &plan, &key, job::OWN_BODY);
    let other = plan
        .reuse
        .map(|_| submission_of(&run, &plan, &key, job::OTHER_BODY));
    let sent = Instant::now();
    let resubmit = follow_up(&run, &plan, plan.resubmit, RequestKind::Submit, &own);
    let reuse = async {
        if let Some(other) = &other {
            follow_up(&run, &plan, plan.reuse, RequestKind::Submit, other).await;
        }
    };
    let cancel = follow_up(&run, &plan, plan.cancel, RequestKind::Cancel, &own);
    let first = run_first(&run, &plan, &own, sent);
    tokio::join!(first, resubmit, reuse, cancel);
}

async fn run_first(run: &Run, plan: &JobPlan, submission: &Submission, sent: Instant) {
    let answer = submit_until_final(run, plan.number, submission).await;
    let end = JobEnd {
        tasks: plan.run_ms.len(),
        response_ms: elapsed_ms(sent),
        ideal_ms: plan.longest_ms() + run.options.path_ms,
        deadline_ms: run.options.deadline_ms,
    };
    run.stats().ended(&answer, end);
}

/// The job's key. One is minted for each job, as late as can be: a key's owner
/// can be lost between its issue and its first submission.
async fn key(run: &Run, plan: &JobPlan) -> String {
    let minted = match run.options.key_kind {
        KeyKind::Uuid7 => None,
        KeyKind::Minted => {
            let key = mint(run, plan.number).await;
            run.stats().keys_not_minted += u64::from(key.is_none());
            key
        }
    };
    minted.unwrap_or_else(|| job::uuid7(&plan.key_random))
}

fn submission_of(run: &Run, plan: &JobPlan, key: &str, mark: &str) -> Submission {
    let tokens = job::tokens(key, mark, plan.run_ms.len());
    let body = job::body(&run.options, plan, &tokens);
    Submission {
        key: key.to_owned(),
        body_hash: body_hash(&body),
        tokens,
        body,
    }
}

async fn submit_until_final(run: &Run, number: usize, submission: &Submission) -> JobAnswer {
    let sent = Instant::now();
    let mut asked_again = 0;
    loop {
        let answer = submit(run, run.entry(number + asked_again), submission).await;
        let Some(pause) = pause_before_next(run, &answer) else {
            return answer;
        };
        let too_late = !run.options.allows(sent.elapsed() + pause);
        if too_late || asked_again >= run.options.ask_again_max {
            return answer;
        }
        asked_again += 1;
        run.stats().asked_again += 1;
        sleep(pause).await;
    }
}

/// How long to wait before the same key is submitted again; `None` if it is not.
fn pause_before_next(run: &Run, answer: &JobAnswer) -> Option<Duration> {
    match answer.outcome() {
        Outcome::Refused if answer.unsent => Some(Duration::from_millis(ASK_AGAIN_MS)),
        Outcome::Refused if run.options.obey_retry_after && answer.retry_after_ms > 0 => {
            Some(Duration::from_millis(answer.retry_after_ms))
        }
        Outcome::Lost => Some(Duration::from_millis(ASK_AGAIN_MS)),
        Outcome::Failed if answer.verdict == "may_have_run" => {
            Some(Duration::from_millis(ASK_AGAIN_MS))
        }
        Outcome::Complete | Outcome::Cancelled | Outcome::Failed | Outcome::Refused => None,
    }
}

async fn submit(run: &Run, entry: SocketAddr, submission: &Submission) -> JobAnswer {
    let started = Instant::now();
    let answer = call(run, RequestKind::Submit, entry, submission).await;
    run.stats().answered(&answer, elapsed_ms(started));
    answer
}

async fn follow_up(
    run: &Run,
    plan: &JobPlan,
    thought: Option<SecondThought>,
    kind: RequestKind,
    submission: &Submission,
) {
    let Some(thought) = thought else {
        return;
    };
    sleep(Duration::from_micros((thought.after_ms * 1e3) as u64)).await;
    let entry = run.entry(plan.number + thought.entry_step);
    match kind {
        RequestKind::Submit => {
            run.stats().resubmissions += 1;
            submit(run, entry, submission).await;
        }
        RequestKind::Cancel | RequestKind::Fetch => {
            run.stats().cancellations += 1;
            call(run, kind, entry, submission).await;
        }
    }
}

async fn call(
    run: &Run,
    kind: RequestKind,
    entry: SocketAddr,
    submission: &Submission,
) -> JobAnswer {
    let job_path = format!("/v1/jobs/{}", submission.key);
    let mut request = match kind {
        RequestKind::Submit => request(Method::POST, entry, "/v1/jobs", submission.body.clone()),
        RequestKind::Fetch => request(Method::GET, entry, &job_path, Bytes::new()),
        RequestKind::Cancel => request(Method::DELETE, entry, &job_path, Bytes::new()),
    };
    if let Ok(key) = HeaderValue::from_str(&submission.key) {
        request.headers_mut().insert(KEY_HEADER, key);
    }
    let mut record = Record::new(run, kind, entry, submission);
    let answer = JobAnswer::read(run.client.send(request).await);
    record.answered(&answer);
    answer
}

/// Puts a request into the history when dropped, answered or not: one that is
/// cut off may still take effect.
struct Record<'a> {
    run: &'a Run,
    entry: Option<HistoryEntry>,
}

impl<'a> Record<'a> {
    fn new(run: &'a Run, kind: RequestKind, to: SocketAddr, submission: &Submission) -> Self {
        let entry = run.options.history.then(|| HistoryEntry {
            kind,
            key: submission.key.clone(),
            body_hash: submission.body_hash.clone(),
            entry: to.to_string(),
            sent_ms: job::unix_ms(),
            reason: CUT_OFF.to_owned(),
            tokens: submission.tokens.clone(),
            ..HistoryEntry::default()
        });
        Self { run, entry }
    }

    fn answered(&mut self, answer: &JobAnswer) {
        let Some(entry) = &mut self.entry else {
            return;
        };
        entry.status = answer.status;
        entry.verdict = answer.verdict.clone();
        entry.reason = answer.reason.clone();
        entry.state = answer.state.clone();
        entry.results = answer.results.clone();
    }
}

impl Drop for Record<'_> {
    fn drop(&mut self) {
        if let Some(mut entry) = self.entry.take() {
            entry.answered_ms = job::unix_ms();
            self.run.remember(|| entry);
        }
    }
}

pub(super) fn elapsed_ms(since: Instant) -> f64 {
    since.elapsed().as_secs_f64() * 1e3
}

/// Mints one key at the first entry that answers.
async fn mint(run: &Run, number: usize) -> Option<String> {
    #[derive(serde::Deserialize)]
    struct Keys {
        keys: Vec<String>,
    }
    let entries = match run.options.mint_at.is_empty() {
        true => &run.options.entries,
        false => &run.options.mint_at,
    };
    for turn in 0..entries.len() {
        let entry = entries[(number + turn) % entries.len()];
        let Ok(reply) = run.client.post(entry, MINT_PATH, "").await else {
            continue;
        };
        let keys = serde_json::from_slice(&reply.body).map(|answer: Keys| answer.keys);
        if let Some(key) = keys.ok().and_then(|keys| keys.into_iter().next()) {
            return Some(key);
        }
    }
    None
}
