//! Ranges of settings and constraints between them.

use std::collections::BTreeSet;
use std::fmt::Display;
use std::net::{IpAddr, SocketAddr};

use trefoil_schema::settings::{
    HttpSettings, JobSettings, MembershipSettings, PeerSettings, PlacementSettings,
    PlatformSettings, Settings, TelemetrySettings, WorkerSettings,
};

use super::InvalidSetting;

const SHARDS_MAX: u64 = 1024;
const PERCENT_MAX: u64 = 100;
/// Upper bound of every duration: one day.
const DURATION_MAX_MS: u64 = 24 * 60 * 60 * 1000;
const TASKS_MAX: u64 = 1_000_000;
const COUNT_MAX: u64 = u32::MAX as u64;
const BYTES_MAX: u64 = 1 << 40;
const NAME_BYTES_MAX: usize = 63;
/// Heartbeat periods that `suspect_ms` and `vouch_ahead_ms` must exceed.
const HEARTBEATS_MIN: u64 = 2;

/// Returns the settings that are out of range or inconsistent with others.
pub(super) fn validate(settings: &Settings) -> Vec<InvalidSetting> {
    let mut validator = Validator::default();
    validator.instance(settings);
    validator.peers(settings);
    validator.platform(&settings.platform);
    validator.http(&settings.http);
    validator.jobs(&settings.jobs);
    validator.membership(&settings.membership);
    validator.workers(&settings.workers);
    validator.placement(&settings.placement);
    validator.telemetry(&settings.telemetry);
    validator.range(
        "drain.budget_ms",
        settings.drain.budget_ms,
        1,
        DURATION_MAX_MS,
    );
    validator.at_most(
        ("drain.announce_ms", settings.drain.announce_ms),
        ("drain.budget_ms", settings.drain.budget_ms),
    );
    validator.invalid
}

#[derive(Default)]
struct Validator {
    invalid: Vec<InvalidSetting>,
}

impl Validator {
    fn report(&mut self, path: impl Into<String>, found: impl Display, allowed: impl Into<String>) {
        self.invalid.push(InvalidSetting {
            path: path.into(),
            found: found.to_string(),
            allowed: allowed.into(),
        });
    }

    fn range(&mut self, path: &str, found: impl Into<u64>, min: u64, max: u64) {
        let found = found.into();
        if found < min || found > max {
            self.report(path, found, format!("{min} to {max}"));
        }
    }

    fn at_most(&mut self, low: (&str, u64), high: (&str, u64)) {
        if low.1 > high.1 {
            let allowed = format!("at most {} ({})", high.0, high.1);
            self.report(low.0, low.1, allowed);
        }
    }

    fn name(&mut self, path: &str, found: &str) {
        let is_valid_length = !found.is_empty() && found.len() <= NAME_BYTES_MAX;
        let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
        if !is_valid_length || !found.bytes().all(is_allowed) {
            let allowed = format!("1 to {NAME_BYTES_MAX} of letters, digits, '-', '_' and '.'");
            self.report(path, format!("{found:?}"), allowed);
        }
    }

    fn address(&mut self, path: &str, found: &str) {
        match found.parse::<SocketAddr>() {
            Ok(address) if address.port() > 0 => {}
            _ => self.report(path, format!("{found:?}"), "IP:PORT, port 1 to 65535"),
        }
    }

    /// An address that peers connect to, so its IP must not be unspecified.
    fn peer_address(&mut self, path: &str, found: &str) {
        self.address(path, found);
        let ip = found.parse::<SocketAddr>().map(|address| address.ip());
        if ip.as_ref().is_ok_and(IpAddr::is_unspecified) {
            self.report(path, format!("{found:?}"), "an IP that peers can reach");
        }
    }

    fn instance(&mut self, settings: &Settings) {
        self.name("instance", &settings.instance);
        self.address("http_address", &settings.http_address);
        self.peer_address("peer_address", &settings.peer_address);
        if settings.http_address == settings.peer_address {
            self.report(
                "peer_address",
                format!("{:?}", settings.peer_address),
                "an address other than http_address",
            );
        }
        self.failure_domains(&settings.failure_domains);
        self.known_failure_domain("failure_domain", &settings.failure_domain, settings);
    }

    fn failure_domains(&mut self, domains: &[String]) {
        if domains.is_empty() {
            self.report("failure_domains", "an empty list", "at least one name");
        }
        let mut seen = BTreeSet::new();
        for (index, domain) in domains.iter().enumerate() {
            let path = format!("failure_domains.{index}");
            self.name(&path, domain);
            if !seen.insert(domain) {
                self.report(path, format!("{domain:?} again"), "each name once");
            }
        }
    }

    fn known_failure_domain(&mut self, path: &str, domain: &String, settings: &Settings) {
        if !settings.failure_domains.contains(domain) {
            let known = settings.failure_domains.join(", ");
            let allowed = format!("one of failure_domains ({known})");
            self.report(path, format!("{domain:?}"), allowed);
        }
    }

    fn peers(&mut self, settings: &Settings) {
        let mut names = BTreeSet::from([settings.instance.as_str()]);
        let mut addresses = BTreeSet::from([settings.peer_address.as_str()]);
        for (index, peer) in settings.peers.iter().enumerate() {
            let path = format!("peers.{index}");
            self.peer(&path, peer, settings);
            if !names.insert(&peer.instance) {
                let found = format!("{:?} again", peer.instance);
                self.report(format!("{path}.instance"), found, "each instance once");
            }
            if !addresses.insert(&peer.peer_address) {
                let found = format!("{:?} again", peer.peer_address);
                self.report(format!("{path}.peer_address"), found, "each address once");
            }
        }
    }

    fn peer(&mut self, path: &str, peer: &PeerSettings, settings: &Settings) {
        self.name(&format!("{path}.instance"), &peer.instance);
        self.peer_address(&format!("{path}.peer_address"), &peer.peer_address);
        if !peer.dial_address.is_empty() {
            self.peer_address(&format!("{path}.dial_address"), &peer.dial_address);
        }
        let domain = format!("{path}.failure_domain");
        self.known_failure_domain(&domain, &peer.failure_domain, settings);
    }

    fn platform(&mut self, platform: &PlatformSettings) {
        self.address("platform.address", &platform.address);
        for (path, prefix) in [
            ("platform.prefix", &platform.prefix),
            (
                "platform.instance_list_prefix",
                &platform.instance_list_prefix,
            ),
        ] {
            if !prefix.starts_with('/') || !prefix.ends_with('/') || prefix.len() < 3 {
                self.report(path, format!("{prefix:?}"), "a prefix such as /NAME/");
            }
        }
        let durations = [
            ("platform.call_timeout_ms", platform.call_timeout_ms),
            ("platform.backoff_min_ms", platform.backoff_min_ms),
            ("platform.backoff_max_ms", platform.backoff_max_ms),
            (
                "platform.instance_list_poll_ms",
                platform.instance_list_poll_ms,
            ),
        ];
        self.durations(&durations);
        self.at_most(
            ("platform.backoff_min_ms", platform.backoff_min_ms),
            ("platform.backoff_max_ms", platform.backoff_max_ms),
        );
    }

    fn durations(&mut self, durations: &[(&str, u64)]) {
        for (path, found_ms) in durations {
            self.range(path, *found_ms, 1, DURATION_MAX_MS);
        }
    }

    fn http(&mut self, http: &HttpSettings) {
        self.range("http.connections_max", http.connections_max, 1, COUNT_MAX);
        self.range("http.bodies_bytes_max", http.bodies_bytes_max, 1, BYTES_MAX);
        self.durations(&[
            ("http.request_timeout_ms", http.request_timeout_ms),
            ("http.body_timeout_ms", http.body_timeout_ms),
        ]);
    }

    fn jobs(&mut self, jobs: &JobSettings) {
        self.range("jobs.shards", jobs.shards, 1, SHARDS_MAX);
        self.range("jobs.tasks_max", jobs.tasks_max, 1, TASKS_MAX);
        self.range("jobs.keys_max", jobs.keys_max, 1, COUNT_MAX);
        self.range("jobs.body_bytes_max", jobs.body_bytes_max, 1, BYTES_MAX);
        self.range(
            "jobs.results_bytes_max",
            jobs.results_bytes_max,
            1,
            BYTES_MAX,
        );
        self.range(
            "jobs.key_ahead_max_ms",
            jobs.key_ahead_max_ms,
            0,
            DURATION_MAX_MS,
        );
        self.durations(&[
            ("jobs.deadline_max_ms", jobs.deadline_max_ms),
            ("jobs.deadline_default_ms", jobs.deadline_default_ms),
            ("jobs.key_window_ms", jobs.key_window_ms),
        ]);
        self.at_most(
            ("jobs.deadline_default_ms", jobs.deadline_default_ms),
            ("jobs.deadline_max_ms", jobs.deadline_max_ms),
        );
        self.at_most(
            ("jobs.deadline_max_ms", jobs.deadline_max_ms),
            ("jobs.key_window_ms", jobs.key_window_ms),
        );
    }

    fn membership(&mut self, membership: &MembershipSettings) {
        self.durations(&[
            ("membership.heartbeat_ms", membership.heartbeat_ms),
            (
                "membership.view_change_margin_ms",
                membership.view_change_margin_ms,
            ),
            (
                "membership.gone_clock_bound_ms",
                membership.gone_clock_bound_ms,
            ),
        ]);
        let min_ms = membership.heartbeat_ms.saturating_mul(HEARTBEATS_MIN);
        for (path, found_ms) in [
            ("membership.suspect_ms", membership.suspect_ms),
            ("membership.vouch_ahead_ms", membership.vouch_ahead_ms),
        ] {
            if found_ms <= min_ms || found_ms > DURATION_MAX_MS {
                let allowed = format!(
                    "more than {HEARTBEATS_MIN} times membership.heartbeat_ms ({min_ms}), \
                     at most {DURATION_MAX_MS}"
                );
                self.report(path, found_ms, allowed);
            }
        }
    }

    fn workers(&mut self, workers: &WorkerSettings) {
        let percent = workers.eject_share_max_percent;
        self.range("workers.connections_max", workers.connections_max, 1, 65535);
        self.range(
            "workers.eject_failures",
            workers.eject_failures,
            1,
            COUNT_MAX,
        );
        self.range("workers.eject_share_max_percent", percent, 0, PERCENT_MAX);
        self.durations(&[
            ("workers.connect_timeout_ms", workers.connect_timeout_ms),
            ("workers.probation_ms", workers.probation_ms),
        ]);
    }

    fn placement(&mut self, placement: &PlacementSettings) {
        let queue = placement.queue_tasks_max;
        let percent = placement.retry_percent;
        self.range("placement.queue_tasks_max", queue, 1, COUNT_MAX);
        self.range("placement.retry_percent", percent, 0, PERCENT_MAX);
        self.range("placement.attempts_max", placement.attempts_max, 1, 100);
        self.durations(&[("placement.loan_ms", placement.loan_ms)]);
    }

    fn telemetry(&mut self, telemetry: &TelemetrySettings) {
        let percent = telemetry.trace_sample_percent;
        self.range("telemetry.trace_sample_percent", percent, 0, PERCENT_MAX);
        self.durations(&[("telemetry.export_period_ms", telemetry.export_period_ms)]);
        let endpoint = &telemetry.otlp_endpoint;
        if !endpoint.is_empty() && !endpoint.starts_with("http://") {
            let allowed = "empty or http://IP:PORT";
            self.report("telemetry.otlp_endpoint", format!("{endpoint:?}"), allowed);
        }
    }
}
