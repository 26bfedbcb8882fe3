//! Jobs sent to entry instances.

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
    plan::{FollowUp, JobPlan},
    stats::JobTiming,
};
use crate::{
    check::history::{HistoryEntry, RequestKind},
    client::request,
    worker::record::body_hash,
};

const KEY_HEADER: HeaderName = HeaderName::from_static("idempotency-key");
/// Delay before a retry that no refusal asks a delay for.
const RETRY_DELAY_MS: u64 = 20;
/// Reason recorded for a request without a response when the run was cut off.
const CUT_OFF: &str = "cut_off";
/// Path of the call that mints one key.
const MINT_PATH: &str = "/v1/keys?count=1";

/// A submission, which can be repeated.
#[derive(Clone, Debug)]
struct Submission {
    key: String,
    tokens: Vec<String>,
    body: Bytes,
    body_hash: String,
}

/// Runs one job until its last response.
pub(super) async fn run_job(run: Arc<Run>, plan: JobPlan) {
    let key = create_key(&run, &plan).await;
    let submission = build_submission(&run, &plan, &key, job::FIRST_BODY_MARK);
    let other = plan
        .reuse
        .map(|_| build_submission(&run, &plan, &key, job::OTHER_BODY_MARK));
    let sent = Instant::now();
    let resubmit = send_follow_up(&run, &plan, plan.resubmit, RequestKind::Submit, &submission);
    let reuse = async {
        if let Some(other) = &other {
            send_follow_up(&run, &plan, plan.reuse, RequestKind::Submit, other).await;
        }
    };
    let cancel = send_follow_up(&run, &plan, plan.cancel, RequestKind::Cancel, &submission);
    let first = submit_and_measure(&run, &plan, &submission, sent);
    tokio::join!(first, resubmit, reuse, cancel);
}

async fn submit_and_measure(run: &Run, plan: &JobPlan, submission: &Submission, sent: Instant) {
    let answer = submit_until_final(run, plan.number, submission).await;
    let timing = JobTiming {
        tasks: plan.run_ms.len(),
        response_ms: elapsed_ms(sent),
        ideal_ms: plan.longest_ms() + run.options.path_ms,
        deadline_ms: run.options.deadline_ms,
    };
    run.stats().record_end(&answer, timing);
}

/// Creates the job's key. Keys are minted as late as possible, because the owner of a key can be
/// lost before its first submission.
async fn create_key(run: &Run, plan: &JobPlan) -> String {
    let minted = match run.options.key_kind {
        KeyKind::Uuid7 => None,
        KeyKind::Minted => {
            let key = mint_key(run, plan.number).await;
            run.stats().keys_not_minted += u64::from(key.is_none());
            key
        }
    };
    minted.unwrap_or_else(|| job::uuid7(&plan.key_random))
}

fn build_submission(run: &Run, plan: &JobPlan, key: &str, mark: &str) -> Submission {
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
    let mut retries = 0;
    loop {
        let answer = submit(run, run.entry(number + retries), submission).await;
        let Some(delay) = retry_delay(run, &answer) else {
            return answer;
        };
        let too_late = !run.options.allows_retry(sent.elapsed() + delay);
        if too_late || retries >= run.options.retries_max {
            return answer;
        }
        retries += 1;
        run.stats().asked_again += 1;
        sleep(delay).await;
    }
}

/// Delay before the next submission of the same key; `None` if the answer is final.
fn retry_delay(run: &Run, answer: &JobAnswer) -> Option<Duration> {
    match answer.outcome() {
        Outcome::Refused if answer.unsent => Some(Duration::from_millis(RETRY_DELAY_MS)),
        Outcome::Refused if run.options.obey_retry_after && answer.retry_after_ms > 0 => {
            Some(Duration::from_millis(answer.retry_after_ms))
        }
        Outcome::Lost => Some(Duration::from_millis(RETRY_DELAY_MS)),
        Outcome::Failed if answer.verdict == "may_have_run" => {
            Some(Duration::from_millis(RETRY_DELAY_MS))
        }
        Outcome::Complete | Outcome::Cancelled | Outcome::Failed | Outcome::Refused => None,
    }
}

async fn submit(run: &Run, entry: SocketAddr, submission: &Submission) -> JobAnswer {
    let started = Instant::now();
    let answer = call(run, RequestKind::Submit, entry, submission).await;
    run.stats().record_answer(&answer, elapsed_ms(started));
    answer
}

async fn send_follow_up(
    run: &Run,
    plan: &JobPlan,
    follow_up: Option<FollowUp>,
    kind: RequestKind,
    submission: &Submission,
) {
    let Some(follow_up) = follow_up else {
        return;
    };
    sleep(Duration::from_micros((follow_up.after_ms * 1e3) as u64)).await;
    let entry = run.entry(plan.number + follow_up.entry_step);
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
    let mut recorder = HistoryRecorder::new(run, kind, entry, submission);
    let answer = JobAnswer::parse(run.client.send(request).await);
    recorder.record_answer(&answer);
    answer
}

/// Adds a request to the history when dropped, even without a response, since a request that was
/// cut off may still take effect.
struct HistoryRecorder<'a> {
    run: &'a Run,
    entry: Option<HistoryEntry>,
}

impl<'a> HistoryRecorder<'a> {
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

    fn record_answer(&mut self, answer: &JobAnswer) {
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

impl Drop for HistoryRecorder<'_> {
    fn drop(&mut self) {
        if let Some(mut entry) = self.entry.take() {
            entry.answered_ms = job::unix_ms();
            self.run.record_request(|| entry);
        }
    }
}

pub(super) fn elapsed_ms(since: Instant) -> f64 {
    since.elapsed().as_secs_f64() * 1e3
}

/// Mints a key at the first entry instance that responds, beginning with the one at `number`.
async fn mint_key(run: &Run, number: usize) -> Option<String> {
    #[derive(serde::Deserialize)]
    struct Keys {
        keys: Vec<String>,
    }
    let entries = match run.options.mint_at.is_empty() {
        true => &run.options.entries,
        false => &run.options.mint_at,
    };
    for offset in 0..entries.len() {
        let entry = entries[(number + offset) % entries.len()];
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
