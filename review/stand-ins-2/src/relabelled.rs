//! ROUTE: an idle worker crashes and starts again under its id as one of another kind. Jobs that
//! require the label of its former kind must not start there. With TROUBLE=refused the store turns
//! the owner of the zone away from before the crash until after the job.

use std::time::Duration;

use serde_json::json;
use tokio::time::sleep;

use crate::Verdict;
use crate::deployment::{Deployment, Layout};
use crate::record::Record;

/// One of them crashes at a time, which is less than the 0.14 that the pages allow.
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
/// The same with TROUBLE=refused, where the store turns the owner away meanwhile: longer than
/// `contact_ms` and one beat.
const REFUSED_PAUSE: Duration = Duration::from_millis(6000);
/// Time before each round, in which all entries are read.
const REST: Duration = Duration::from_secs(4);
/// Added for each further round, so that they don't fall into step with reads of the store.
const SHIFT: Duration = Duration::from_millis(230);

pub async fn run(record: &Record, trouble: &str) -> Verdict {
    let has_trouble = trouble != "0";
    let refuses = trouble == "refused";
    let layout = Layout {
        zones: &["east"],
        instances: 3,
        workers: WORKERS,
        kinds: &[KIND],
        cpu: CPU,
        task_cpu: CPU,
        hold_max_ms: 1000,
    };
    let deployment = Deployment::start(record, &layout).await?;
    let front = deployment.instances[0].front;
    // Each task takes a whole worker, so that the job uses all of them.
    let body = json!({"spec": "ms=100", "best_effort": true, "phases": [{"count": WORKERS,
        "cpu": CPU, "mem_mb": 64, "estimate_ms": 100, "required_label": KIND}]});
    for number in 0..3 {
        let id = format!("{number:016x}");
        let answer = deployment.submit(front, &id, &body, 5000).await?;
        if answer.0 != 200 {
            return Err(format!("a job before the disruption got {}", answer.0));
        }
    }
    for round in 0..ROUNDS {
        sleep(REST + SHIFT * round as u32).await;
        let worker = &deployment.workers[round];
        let owner = deployment.owner_of("east").ok_or("the zone has no owner")?;
        if refuses {
            record.line(&format!("the store turns {} away", owner.name));
            owner.is_refused.set(true);
        }
        if has_trouble {
            worker.crash();
        }
        sleep(DOWN).await;
        if has_trouble {
            worker
                .begin(OTHER_KIND)
                .await
                .map_err(|error| error.to_string())?;
        }
        sleep(if refuses { REFUSED_PAUSE } else { PAUSE }).await;
        let id = format!("{:016x}", 0x100 + round);
        deployment.submit(front, &id, &body, 5000).await?;
        owner.is_refused.set(false);
        if !has_trouble && deployment.starts_of(&id).len() < usize::from(WORKERS) {
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
    let has_label = |labels: &[String]| labels.iter().any(|label| label == KIND);
    let wrong: Vec<_> = starts
        .iter()
        .filter(|start| !has_label(&start.labels))
        .collect();
    Ok(wrong.first().map(|start| {
        format!(
            "ROUTE, in {} of {ROUNDS} rounds: {} began on {} with labels {:?}, but requires {KIND}",
            wrong.len(),
            start.task,
            start.worker,
            start.labels
        )
    }))
}
