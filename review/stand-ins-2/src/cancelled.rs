//! UNASKED: a job is cancelled while it runs. Once that is acknowledged, no task of it may start
//! later than `cancel_ms` after.

use std::time::Duration;

use serde_json::{Value, json};
use tokio::time::sleep;

use crate::Verdict;
use crate::deployment::{Deployment, HOST_HEADER, path_of};
use crate::http;
use crate::record::Record;

const CPU: u64 = 16_000;
const CANCEL_MS: u64 = 3000;
/// Steps of the job, which run one after the other for a second each.
const STEPS: usize = 8;
/// Jobs that run at once. One of them is cancelled, a share that the pages name.
const JOBS: usize = 4;

pub async fn run(record: &Record, has_trouble: bool) -> Verdict {
    let zones = [("east", 2, 4), ("west", 2, 4)];
    let deployment = Deployment::start(record, &zones, CPU, "kind-a").await?;
    let step = |number: usize| {
        let mut step = json!({"count": 4, "cpu": 4000, "mem_mb": 64, "estimate_ms": 1000});
        if number > 0 {
            step["after"] = json!([number - 1]);
        }
        step
    };
    let steps: Vec<Value> = (0..STEPS).map(step).collect();
    let body = json!({"spec": "ms=1000", "best_effort": true, "phases": steps});
    let front = deployment.instances[0].front;
    let ids: Vec<String> = (0..JOBS)
        .map(|job| format!("5c0e7a21d94b36f{job}"))
        .collect();
    let cancelled = &ids[0];
    let submit = |id| deployment.submit(front, id, &body, 30_000);
    let cancel = async {
        sleep(Duration::from_millis(1500)).await;
        if !has_trouble {
            return None;
        }
        record.line(&format!("DELETE {cancelled} to {front}"));
        let path = path_of(cancelled);
        let answer = http::call(front, "DELETE", &path, &[HOST_HEADER], &Value::Null).await;
        record.say(&format!("DELETE {cancelled} answered {answer:?}"));
        let is_acknowledged = matches!(answer, Ok((200..=299 | 410, _, _)));
        is_acknowledged.then(|| record.now_ms())
    };
    let (first, _, _, _, cancelled_ms) = tokio::join!(
        submit(&ids[0]),
        submit(&ids[1]),
        submit(&ids[2]),
        submit(&ids[3]),
        cancel
    );
    record.say(&format!("POST {cancelled} answered {first:?}"));
    let starts = deployment.starts_of(cancelled);
    if starts.is_empty() {
        return Err("the job did not run".to_owned());
    }
    let Some(cancelled_ms) = cancelled_ms else {
        return match has_trouble {
            true => Ok(None),
            false if starts.len() == STEPS * 4 => Ok(None),
            false => Err(format!("{} of {} tasks began", starts.len(), STEPS * 4)),
        };
    };
    let late: Vec<_> = starts
        .iter()
        .filter(|start| start.at_ms > cancelled_ms + CANCEL_MS)
        .collect();
    Ok(late.last().map(|last| {
        format!(
            "UNASKED: {} tasks began later than {CANCEL_MS} ms after the cancelling was \
             acknowledged, the last, {}, after {} ms",
            late.len(),
            last.task,
            last.at_ms - cancelled_ms
        )
    }))
}
