//! TWICE: where `hold_max_ms` is 15,000, a worker starts again under its id, and is cut off while
//! it runs a task. The task must not run on another worker before that run has ended.

use std::time::Duration;

use serde_json::json;
use tokio::time::sleep;

use crate::Verdict;
use crate::deployment::{Deployment, Layout};
use crate::record::Record;

/// One of them at a time, a share of 0.125, crashes, is cut off, or both.
const WORKERS: u8 = 8;
const CPU: u64 = 16_000;
const ROUNDS: usize = 3;
/// Bound on leases of mahoe-pay-fleet.
const HOLD_MAX_MS: u64 = 15_000;
/// That of the other deployments, with TROUBLE=short.
const SHORT_HOLD_MAX_MS: u64 = 1000;
/// Time between the crash of a worker and its next start.
const DOWN: Duration = Duration::from_millis(300);
/// Time from the start of a worker, which writes its entry at once, to the next job.
const PAUSE: Duration = Duration::from_millis(50);
/// Time from the start of the tasks to the cut.
const BEFORE_CUT: Duration = Duration::from_millis(700);
/// Length of the cut.
const CUT: Duration = Duration::from_millis(5500);
/// Time before each round.
const REST: Duration = Duration::from_secs(4);
/// Added for each further round, so that they don't fall into step with reads of the store.
const SHIFT: Duration = Duration::from_millis(230);

pub async fn run(record: &Record, trouble: &str) -> Verdict {
    let restarts = matches!(trouble, "1" | "restart" | "short");
    let cuts = matches!(trouble, "1" | "cut" | "short");
    let layout = Layout {
        zones: &["east"],
        instances: 3,
        workers: WORKERS,
        kinds: &["kind-a", "kind-b"],
        cpu: CPU,
        task_cpu: CPU,
        hold_max_ms: match trouble {
            "short" => SHORT_HOLD_MAX_MS,
            _ => HOLD_MAX_MS,
        },
    };
    let deployment = Deployment::start(record, &layout).await?;
    let front = deployment.instances[0].front;
    // Those of `kind-b`.
    let workers = deployment.workers.iter().skip(1).step_by(2);
    // The short tasks take the four workers of `kind-a`, and the long ones those of `kind-b`. When
    // the short ones have ended, there is room for a long one.
    let short = json!({"spec": "ms=1200", "best_effort": true, "phases": [{"count": 4, "cpu": CPU,
        "mem_mb": 64, "estimate_ms": 1200, "required_label": "kind-a"}]});
    let long = json!({"spec": "ms=3400", "best_effort": true, "phases": [{"count": 4, "cpu": CPU,
        "mem_mb": 64, "estimate_ms": 3400}]});
    // Settles which instances and workers are up.
    deployment
        .submit(front, &format!("{:016x}", 1), &short, 7400)
        .await?;
    for (round, worker) in workers.take(ROUNDS).enumerate() {
        sleep(REST + SHIFT * round as u32).await;
        if restarts {
            worker.crash();
            sleep(DOWN).await;
            worker
                .begin("kind-b")
                .await
                .map_err(|error| error.to_string())?;
            sleep(PAUSE).await;
        }
        let short_id = format!("{:016x}", 0x100 + round);
        let long_id = format!("{:016x}", 0x200 + round);
        let submit_long = async {
            sleep(Duration::from_millis(30)).await;
            deployment.submit(front, &long_id, &long, 7400).await
        };
        let cut = async {
            sleep(BEFORE_CUT).await;
            if cuts {
                worker.cut(true);
                sleep(CUT).await;
                worker.cut(false);
            }
        };
        let (short_answer, long_answer, ()) = tokio::join!(
            deployment.submit(front, &short_id, &short, 7400),
            submit_long,
            cut
        );
        let is_served = |answer: &Result<(u16, _, _), _>| matches!(answer, Ok((200, _, _)));
        if trouble == "0" && !(is_served(&short_answer) && is_served(&long_answer)) {
            return Err("a job was not served without a disruption".to_owned());
        }
    }
    sleep(REST).await;
    let starts = deployment.starts.borrow();
    let twice: Vec<_> = starts
        .iter()
        .filter_map(|start| Some((start, start.also_on.as_ref()?)))
        .collect();
    record.say(&format!(
        "{} runs, {} of them twice at once",
        starts.len(),
        twice.len()
    ));
    Ok(twice.first().map(|(start, other)| {
        format!(
            "TWICE, {} times in {ROUNDS} rounds: {} began on {} while it ran on {other}",
            twice.len(),
            start.task,
            start.worker
        )
    }))
}
