//! Clients, which submit jobs that need not be stored, each on a connection of its own.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::http;
use crate::json::{Value, object};
use crate::ledger::Ledger;

/// Pause after which a job that got no answer is sent again (`retry_ms`).
const RETRY: Duration = Duration::from_millis(1300);
/// How often a job is sent at most.
const ATTEMPTS: u32 = 3;

/// A kind of job; all tasks are of one step.
#[derive(Clone, Debug)]
pub struct JobKind {
    /// Path prefix of its route.
    pub prefix: &'static str,
    pub tasks: u64,
    pub run_ms: u64,
    /// Thousandths of a core of each task.
    pub cpu: u64,
    /// How long clients wait.
    pub deadline: Duration,
    /// Time between two jobs.
    pub interval: Duration,
}

/// Answers so far.
#[derive(Default)]
pub struct Answers {
    pub sent: AtomicU64,
    pub completed: AtomicU64,
    pub refused: AtomicU64,
    pub unanswered: AtomicU64,
}

/// Submits jobs until it is stopped.
pub struct Clients {
    stopped: Arc<AtomicBool>,
    pub answers: Arc<Answers>,
    generators: Vec<JoinHandle<()>>,
}

impl Clients {
    /// Sends jobs of each kind to the entries in turn.
    pub fn start(
        host: &'static str,
        kinds: &[JobKind],
        entries: &[SocketAddr],
        ledger: &Ledger,
    ) -> Self {
        let stopped = Arc::new(AtomicBool::new(false));
        let answers = Arc::new(Answers::default());
        let generators = kinds.iter().zip(1_u64..).map(|(kind, number)| {
            let (kind, entries, ledger) = (kind.clone(), entries.to_vec(), ledger.clone());
            let (stopped, answers) = (Arc::clone(&stopped), Arc::clone(&answers));
            thread::spawn(move || {
                let mut count = 0;
                while !stopped.load(Ordering::Relaxed) {
                    let id = format!("{:016x}", number << 32 | count);
                    let job = Job {
                        id,
                        host,
                        kind: kind.clone(),
                        entries: entries.clone(),
                        first: count as usize,
                    };
                    let (ledger, answers) = (ledger.clone(), Arc::clone(&answers));
                    thread::spawn(move || job.submit(&ledger, &answers));
                    count += 1;
                    thread::sleep(kind.interval);
                }
            })
        });
        Self {
            generators: generators.collect(),
            stopped,
            answers,
        }
    }

    /// Sends no further jobs.
    pub fn stop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
        for generator in self.generators.drain(..) {
            let _ = generator.join();
        }
    }
}

struct Job {
    id: String,
    host: &'static str,
    kind: JobKind,
    entries: Vec<SocketAddr>,
    /// Index of the entry that gets the first attempt.
    first: usize,
}

impl Job {
    fn body(&self) -> Value {
        let kind = &self.kind;
        let phase = object([
            ("count", kind.tasks.into()),
            ("cpu", kind.cpu.into()),
            ("mem_mb", 64.into()),
            ("estimate_ms", kind.run_ms.into()),
        ]);
        object([
            ("spec", format!("{} {}", kind.run_ms, kind.cpu).into()),
            ("phases", vec![phase].into()),
            ("best_effort", true.into()),
        ])
    }

    /// Sends the job, and again after no response, a broken connection, 502 or 504.
    fn submit(&self, ledger: &Ledger, answers: &Answers) {
        let body = self.body().to_string();
        let path = format!("{}{}", self.kind.prefix, self.id);
        let deadline_ms = self.kind.deadline.as_millis().to_string();
        let headers = [
            ("Host", self.host),
            ("Content-Type", "application/json"),
            ("X-Trefoilbay-Deadline-Ms", deadline_ms.as_str()),
        ];
        answers.sent.fetch_add(1, Ordering::Relaxed);
        for attempt in 0..ATTEMPTS {
            let entry = self.entries[(self.first + attempt as usize) % self.entries.len()];
            ledger.note(format!(
                "job sent: {} to {entry}, attempt {}",
                self.id,
                attempt + 1
            ));
            let sent = Instant::now();
            let answer = http::call(entry, "POST", &path, &headers, &body, self.kind.deadline);
            let took_ms = sent.elapsed().as_millis();
            let status = match &answer {
                Ok((status, body)) => format!("{status} {body}"),
                Err(error) => format!("no answer ({:?})", error.kind()),
            };
            ledger.note(format!(
                "job answered: {} {status} after {took_ms} ms",
                self.id
            ));
            match answer.map(|(status, _)| status) {
                Ok(200) => {
                    answers.completed.fetch_add(1, Ordering::Relaxed);
                    return;
                }
                Ok(502 | 504) | Err(_) => thread::sleep(RETRY),
                Ok(_) => {
                    answers.refused.fetch_add(1, Ordering::Relaxed);
                    return;
                }
            }
        }
        answers.unanswered.fetch_add(1, Ordering::Relaxed);
    }
}
