//! Whether a revision is in force at each instance.
//!
//! All entries are asked, since an instance that is cut off knows little of the
//! others. A revision never reverts, so the highest one heard of an instance's
//! newest start counts. An instance of which nothing is heard and that was last
//! known with an older revision is unknown, not done.

use std::collections::BTreeMap;
use std::time::Duration;

use derive_more::Display;
use hyper::Method;
use tokio::time::Instant;
use trefoil_schema::api::{InstanceStateName, InstanceStatus, StatusResponse};

use super::client::{Answer, Call, Client};
use super::error::OpsError;

/// Pause between two looks at the instances.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Longest time to wait for one status answer, in milliseconds.
const STATUS_TIMEOUT_MS: u64 = 2000;

/// The deployment as all entries together see it.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    /// Instances by name, each with the newest news of it.
    pub instances: BTreeMap<String, InstanceStatus>,
    /// Entries that answered.
    pub entries_answered: usize,
    /// Entries that did not answer, each with the cause.
    pub entries_silent: Vec<String>,
    /// Entries' instances that cannot reach the platform's store.
    pub store_unreachable: Vec<String>,
}

/// Whether a revision is in force at one instance.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum InForce {
    /// It is.
    #[display("in force")]
    Yes,
    /// The instance is heard of and has an older one.
    #[display("not yet")]
    NotYet,
    /// Nothing is heard of the instance.
    #[display("unknown")]
    Unknown,
    /// The instance has ended, so it does not count.
    #[display("gone")]
    Gone,
}

/// Asks all entries; an error where none answered.
pub async fn look(client: &Client) -> Result<Fleet, OpsError> {
    let call = Call::new(Method::GET, "/v1/status").timeout_ms(STATUS_TIMEOUT_MS);
    let mut fleet = Fleet::default();
    let mut failed = None;
    for (entry, answer) in client.send_all(&call).await {
        let status = answer
            .map_err(|error| client.unanswered(&call, error))
            .and_then(Answer::accept)
            .and_then(|answer| answer.decode());
        match status {
            Ok(status) => fleet.add(status),
            Err(error) => {
                fleet.entries_silent.push(entry);
                failed = Some(error);
            }
        }
    }
    match failed {
        Some(error) if fleet.entries_answered == 0 => Err(error),
        _ => Ok(fleet),
    }
}

/// Waits until `revision` is in force at every instance that is not gone.
///
/// Calls `progress` after each look; names what is missing on timeout.
pub async fn wait(
    client: &Client,
    revision: u64,
    timeout_ms: u64,
    mut progress: impl FnMut(&Fleet),
) -> Result<Fleet, OpsError> {
    let until = Instant::now() + Duration::from_millis(timeout_ms);
    loop {
        let fleet = look(client).await;
        if let Ok(fleet) = &fleet {
            progress(fleet);
            if fleet.complete(revision) {
                return Ok(fleet.clone());
            }
        }
        if Instant::now() >= until {
            return Err(timed_out(fleet, revision, timeout_ms));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn timed_out(fleet: Result<Fleet, OpsError>, revision: u64, timeout_ms: u64) -> OpsError {
    let known = match fleet {
        Ok(fleet) => fleet.describe(revision),
        Err(error) => format!("at unknown instances: {error}"),
    };
    OpsError::TimedOut {
        message: format!("after {timeout_ms} ms revision {revision} is in force {known}"),
    }
}

impl Fleet {
    /// Takes in what one instance sees.
    pub fn add(&mut self, status: StatusResponse) {
        self.entries_answered += 1;
        if !status.store_reachable {
            self.store_unreachable.push(status.instance.clone());
        }
        for news in status.instances {
            self.merge(news);
        }
        if let Some(own) = self.instances.get_mut(&status.instance) {
            own.config_revision = own.config_revision.max(status.config_revision);
        }
    }

    /// Whether `revision` is in force at an instance.
    pub fn in_force(&self, instance: &InstanceStatus, revision: u64) -> InForce {
        if instance.state == InstanceStateName::Gone {
            return InForce::Gone;
        }
        if instance.config_revision >= revision {
            return InForce::Yes;
        }
        match instance.state {
            InstanceStateName::Silent => InForce::Unknown,
            _ => InForce::NotYet,
        }
    }

    /// Whether `revision` is in force at every instance that is not gone.
    pub fn complete(&self, revision: u64) -> bool {
        let mut counted = self
            .instances
            .values()
            .map(|instance| self.in_force(instance, revision))
            .filter(|in_force| *in_force != InForce::Gone)
            .peekable();
        counted.peek().is_some() && counted.all(|in_force| in_force == InForce::Yes)
    }

    /// Instances that have `revision` in force, and instances that count.
    pub fn counts(&self, revision: u64) -> (usize, usize) {
        let of = |wanted: InForce| {
            self.instances
                .values()
                .filter(|instance| self.in_force(instance, revision) == wanted)
                .count()
        };
        let done = of(InForce::Yes);
        (done, self.instances.len() - of(InForce::Gone))
    }

    fn merge(&mut self, news: InstanceStatus) {
        let Some(known) = self.instances.get_mut(&news.instance) else {
            self.instances.insert(news.instance.clone(), news);
            return;
        };
        if news.incarnation < known.incarnation {
            return;
        }
        if news.incarnation > known.incarnation {
            *known = news;
            return;
        }
        let config_revision = known.config_revision.max(news.config_revision);
        if news.heard_ms < known.heard_ms {
            *known = news;
        }
        known.config_revision = config_revision;
    }

    /// Where `revision` is in force, and the instances that lack it.
    fn describe(&self, revision: u64) -> String {
        let missing = self
            .instances
            .values()
            .filter_map(|instance| self.describe_missing(instance, revision))
            .collect::<Vec<_>>();
        let (done, counted) = self.counts(revision);
        let missing = missing.join(", ");
        format!("at {done} of {counted} instances; missing: {missing}")
    }

    fn describe_missing(&self, instance: &InstanceStatus, revision: u64) -> Option<String> {
        let name = &instance.instance;
        let found = instance.config_revision;
        let heard_ms = instance.heard_ms;
        match self.in_force(instance, revision) {
            InForce::Yes | InForce::Gone => None,
            InForce::NotYet => Some(format!("{name} (at {found})")),
            InForce::Unknown => Some(format!(
                "{name} (unknown: silent for {heard_ms} ms, last at {found})"
            )),
        }
    }
}
