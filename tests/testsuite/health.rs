//! Readiness in each phase of an instance.

use std::time::Duration;

use expect_test::expect;
use slog::{Discard, Logger, o};
use tokio::time::sleep;
use trefoil_core::drain::DrainOutcome;
use trefoilbay::server::Context;
use trefoilbay::server::health::readiness;
use trefoilbay::util::settings;
use trefoilbay::util::telemetry::Telemetry;

#[tokio::test(start_paused = true)]
async fn readiness_from_start_to_stop() {
    let mut settings = settings::defaults();
    settings.drain.announce_ms = 200;
    settings.drain.budget_ms = 1_000;
    let telemetry = Telemetry::start(&settings).unwrap();
    let context = Context::new(settings, Logger::root(Discard, o!()), telemetry);
    let mut report = String::new();
    let mut record = |phase: &str| {
        let body = serde_json::to_string(&readiness(&context)).unwrap();
        report.push_str(&format!("{phase}: {body}\n"));
    };
    record("started");
    context.set_configured();
    record("configured");
    context.set_in_view(true);
    record("in a view");
    let in_flight = context.drain.track();
    record("one request");
    context.set_in_view(false);
    record("out of its view");
    context.drain.signal();
    let (drain, log) = (context.drain.clone(), context.log.clone());
    let drain_task = tokio::spawn(async move { drain.run_until_finished(&log).await });
    record("drain announced");
    sleep(Duration::from_millis(201)).await;
    record("drain refuses");
    drop(in_flight);
    record("nothing in flight");
    assert_eq!(drain_task.await.unwrap(), DrainOutcome::Drained);
    expect![[r#"
        started: {"ready":false,"reasons":["no_configuration","no_view"],"in_flight":0}
        configured: {"ready":false,"reasons":["no_view"],"in_flight":0}
        in a view: {"ready":true,"reasons":[],"in_flight":0}
        one request: {"ready":true,"reasons":[],"in_flight":1}
        out of its view: {"ready":false,"reasons":["no_view"],"in_flight":1}
        drain announced: {"ready":false,"reasons":["leaving"],"in_flight":1}
        drain refuses: {"ready":false,"reasons":["refusing"],"in_flight":1}
        nothing in flight: {"ready":false,"reasons":["refusing"],"in_flight":0}
    "#]]
    .assert_eq(&report);
}
