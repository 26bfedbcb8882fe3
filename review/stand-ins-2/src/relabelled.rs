//! ROUTE: an idle worker crashes and starts again under its id as one of another kind. Jobs that
//! require the label of its former kind must not start there.

use std::time::Duration;

use serde_json::json;
use tokio::time::sleep;

use crate::Verdict;
use crate::deployment::Deployment;
use crate::record::Record;

/// One of them crashes at a time, which is less than the 0.15 that the pages allow.
const WORKERS: u8 = 8;
const CPU: u64 = 16_000;
/// Kind that the jobs require, and that the worker has after its crash.
const KIND: &str = "kind-a";
const OTHER_KIND: &str = "kind-b";
const ROUNDS: usize = 3;
/// Time between the crash of a worker and its next start.
const DOWN: Duration = Duration::from_millis(500);
/// Time from the start of a worker, which writes its entry at once, to the next job.
const PAUSE: Duration = Duration::from_millis(50);
/// Time between the rounds, in which all entries are read.
const REST: Duration = Duration::from_secs(4);

pub async fn run(record: &Record, has_trouble: bool) -> Verdict {
    let deployment = Deployment::start(record, &[("east", 2, WORKERS)], CPU, KIND).await?;
    let front = deployment.instances[0].front;
    // Each task takes a whole worker, so that the job uses all of them.
    let body = json!({"spec": "ms=100", "best_effort": true, "phases": [{"count": WORKERS,
        "cpu": CPU, "mem_mb": 64, "estimate_ms": 100, "required_label": KIND}]});
    for number in 0..3 {
        let answer = deployment
            .submit(front, &format!("{number:016x}"), &body, 5000)
            .await?;
        if answer.0 != 200 {
            return Err(format!(
                "a job before the disruption was answered {}",
                answer.0
            ));
        }
    }
    sleep(REST).await;
    for round in 0..ROUNDS {
        let worker = &deployment.workers[round % usize::from(WORKERS)];
        if has_trouble {
            worker.crash();
            sleep(DOWN).await;
            worker
                .begin(OTHER_KIND)
                .await
                .map_err(|error| error.to_string())?;
        } else {
            sleep(DOWN).await;
        }
        sleep(PAUSE).await;
        let id = format!("{:016x}", 0x100 + round);
        deployment.submit(front, &id, &body, 5000).await?;
        let starts = deployment.starts_of(&id);
        if !has_trouble && starts.len() < usize::from(WORKERS) {
            return Err("the job did not run".to_owned());
        }
        sleep(REST).await;
        if has_trouble {
            worker.crash();
            sleep(DOWN).await;
            worker
                .begin(KIND)
                .await
                .map_err(|error| error.to_string())?;
            sleep(REST).await;
        }
    }
    let starts = deployment.starts.borrow();
    let wrong: Vec<_> = starts
        .iter()
        .filter(|start| !start.labels.iter().any(|label| label == KIND))
        .collect();
    Ok(wrong.first().map(|start| {
        format!(
            "ROUTE, {} of {} rounds: {} began on {} with labels {:?}, but requires {KIND}",
            wrong.len(),
            ROUNDS,
            start.task,
            start.worker,
            start.labels
        )
    }))
}
