//! What `/readyz` tells, phase by phase.

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
    let mut told = String::new();
    let mut tell = |phase: &str| {
        let body = serde_json::to_string(&readiness(&context)).unwrap();
        told.push_str(&format!("{phase}: {body}\n"));
    };
    tell("started");
    context.set_configured();
    tell("configured");
    context.set_in_view(true);
    tell("in a view");
    let in_flight = context.stop.track();
    tell("one request");
    context.set_in_view(false);
    tell("out of its view");
    context.stop.signal();
    let (stop, log) = (context.stop.clone(), context.log.clone());
    let stepped = tokio::spawn(async move { stop.finished(&log).await });
    tell("stop announced");
    sleep(Duration::from_millis(201)).await;
    tell("stop refuses");
    drop(in_flight);
    tell("nothing in flight");
    assert_eq!(stepped.await.unwrap(), DrainOutcome::Drained);
    expect![[r#"
        started: {"ready":false,"reasons":["no_configuration","no_view"],"in_flight":0}
        configured: {"ready":false,"reasons":["no_view"],"in_flight":0}
        in a view: {"ready":true,"reasons":[],"in_flight":0}
        one request: {"ready":true,"reasons":[],"in_flight":1}
        out of its view: {"ready":false,"reasons":["no_view"],"in_flight":1}
        stop announced: {"ready":false,"reasons":["leaving"],"in_flight":1}
        stop refuses: {"ready":false,"reasons":["refusing"],"in_flight":1}
        nothing in flight: {"ready":false,"reasons":["refusing"],"in_flight":0}
    "#]]
    .assert_eq(&told);
}
