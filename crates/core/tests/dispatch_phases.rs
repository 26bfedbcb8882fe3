//! Phases that wait for others.

mod dispatch_support;

use dispatch_support::job as template;
use dispatch_support::orders::LINK;
use trefoil_core::dispatch::job::{Job, ReadyPhases, TaskState};
use trefoil_schema::dispatch::{Job as JobSpec, Phase};

#[test]
fn tasks_wait_for_the_phases_before_theirs_only() {
    let phase = |after: &[u32]| Phase {
        count: 1,
        after: after.to_vec(),
        ..Phase::default()
    };
    let spec = JobSpec {
        phases: vec![phase(&[]), phase(&[]), phase(&[0]), phase(&[0, 1])],
        ..template("a", 1, 100)
    };
    let mut job = Job::new(spec, LINK, 0);
    assert_eq!(
        job.ready_phases(),
        ReadyPhases::Some(vec![true, true, false, false])
    );
    job.tasks[0].state = TaskState::Done;
    assert_eq!(
        job.ready_phases(),
        ReadyPhases::Some(vec![true, true, true, false])
    );
    job.tasks[1].state = TaskState::Done;
    assert_eq!(job.ready_phases(), ReadyPhases::Some(vec![true; 4]));
}
