//! LIMIT: a worker's room shrinks while it runs, and the store turns its owner away. Nothing may
//! start there beyond the room that it told, later than `contact_ms` and one beat after that.

use std::time::Duration;

use serde_json::json;
use tokio::time::sleep;

use crate::Verdict;
use crate::deployment::{Deployment, Layout};
use crate::record::Record;

const CPU: u64 = 16_000;
/// Room for one task.
const SHRUNK_CPU: u64 = 10_700;
const TASK_CPU: u64 = 6800;
/// How long a room that has shrunk still counts: `contact_ms` and one beat.
const SHRUNK_GRACE_MS: u64 = 4000 + 1500;
/// Time from the store's first refusal to the shrinking.
const BEFORE_SHRINKING: Duration = Duration::from_millis(200);
/// Time for which the store turns the owner away.
const REFUSED: Duration = Duration::from_secs(9);
const JOB_INTERVAL: Duration = Duration::from_millis(1100);
const REST: Duration = Duration::from_secs(3);

pub async fn run(record: &Record, trouble: &str) -> Verdict {
    let shrinks = matches!(trouble, "1" | "shrink");
    let refuses = matches!(trouble, "1" | "refuse");
    let zones = ["east", "west", "north"];
    let layout = Layout {
        zones: &zones,
        instances: 2,
        workers: 4,
        kinds: &["kind-a"],
        cpu: CPU,
        task_cpu: TASK_CPU,
        hold_max_ms: 1000,
    };
    let deployment = Deployment::start(record, &layout).await?;
    let body = json!({"spec": "ms=900", "best_effort": true, "phases": [{"count": 8,
        "cpu": TASK_CPU, "mem_mb": 64, "estimate_ms": 900}]});
    sleep(REST).await;
    for (round, zone) in zones.iter().enumerate() {
        let owner = deployment.owner_of(zone).ok_or("a zone has no owner")?;
        let in_zone = |worker: &&std::rc::Rc<_>| {
            let worker: &crate::worker::Worker = worker;
            worker.zone == *zone
        };
        let worker = deployment.workers.iter().find(in_zone).ok_or("no worker")?;
        let front = deployment
            .instances
            .iter()
            .find(|instance| instance.zone == *zone);
        let front = front.ok_or("no instance")?.front;
        record.line(&format!("owner of {zone}: {}", owner.name));
        let disrupt = async {
            if refuses {
                record.line(&format!("the store turns {} away", owner.name));
                owner.is_refused.set(true);
            }
            sleep(BEFORE_SHRINKING).await;
            if shrinks {
                worker.set_cpu(SHRUNK_CPU);
            }
            sleep(REFUSED - BEFORE_SHRINKING).await;
            if refuses {
                record.line(&format!("the store serves {} again", owner.name));
                owner.is_refused.set(false);
            }
            sleep(REST).await;
            if shrinks {
                worker.set_cpu(CPU);
            }
        };
        let load = async {
            for number in 0..9 {
                let id = format!("{:016x}", 0x1000 * (round + 1) + number);
                let interval = sleep(JOB_INTERVAL);
                let (answer, ()) =
                    tokio::join!(deployment.submit(front, &id, &body, 1500), interval);
                if trouble == "0" && !matches!(answer, Ok((200, _, _))) {
                    return Err(format!("{id} was not served without a disruption"));
                }
            }
            Ok(())
        };
        let ((), served) = tokio::join!(disrupt, load);
        served?;
        sleep(REST).await;
    }
    let starts = deployment.starts.borrow();
    let over: Vec<_> = starts
        .iter()
        .filter(|start| start.used_cpu > start.cpu)
        .collect();
    let counted: Vec<_> = over
        .iter()
        .filter(|start| start.at_ms > start.cpu_since_ms + SHRUNK_GRACE_MS)
        .collect();
    record.say(&format!(
        "{} starts, {} over the room, {} of them later than {SHRUNK_GRACE_MS} ms after it shrank",
        starts.len(),
        over.len(),
        counted.len()
    ));
    Ok(counted.last().map(|start| {
        format!(
            "LIMIT, {} times: {} began on {}, which then had {} in use of {}, {} ms after its room \
             shrank",
            counted.len(),
            start.task,
            start.worker,
            start.used_cpu,
            start.cpu,
            start.at_ms - start.cpu_since_ms
        )
    }))
}
