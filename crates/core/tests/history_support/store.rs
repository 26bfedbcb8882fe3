//! Simulated platform store with a single view log.

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use trefoil_core::membership::{Event, StoreWrite};
use trefoil_core::view::ViewLog;

const TIMEOUT_MS: u64 = 2_000;

/// A store with configurable faults.
#[derive(Default)]
pub struct FakeStore {
    pub log: Option<ViewLog>,
    pub revision: u64,
    pub down: bool,
    /// Maximum latency in addition to the fixed one.
    pub extra_latency_max_ms: u64,
    /// Percentage of writes without an answer. They may have taken effect.
    pub lost_write_percent: u32,
    pub writes: u64,
}

/// Result of an operation.
pub enum Reply {
    Read {
        domain: String,
        log: Option<ViewLog>,
        revision: u64,
    },
    Unreachable(String),
    Write(StoreWrite),
}

impl Reply {
    pub fn into_event(self) -> Event {
        match self {
            Self::Read {
                domain,
                log,
                revision,
            } => Event::StoreRead {
                domain,
                log,
                mod_revision: revision,
            },
            Self::Unreachable(domain) => Event::StoreUnreachable { domain },
            Self::Write(outcome) => Event::StoreWrite(outcome),
        }
    }
}

impl FakeStore {
    fn delay_ms(&self, rng: &mut ChaCha8Rng) -> u64 {
        4 + rng.random_range(0..=self.extra_latency_max_ms)
    }

    pub fn read(&mut self, domain: String, reachable: bool, rng: &mut ChaCha8Rng) -> (u64, Reply) {
        if self.down || !reachable {
            return (TIMEOUT_MS, Reply::Unreachable(domain));
        }
        let (log, revision) = (self.log.clone(), self.revision);
        let reply = Reply::Read {
            domain,
            log,
            revision,
        };
        (self.delay_ms(rng), reply)
    }

    pub fn write(
        &mut self,
        log: ViewLog,
        expected: u64,
        reachable: bool,
        rng: &mut ChaCha8Rng,
    ) -> Vec<(u64, Reply)> {
        let lost = rng.random_range(0..100) < self.lost_write_percent;
        let unknown = (TIMEOUT_MS, Reply::Write(StoreWrite::Unknown));
        let reaches = reachable && !self.down && (!lost || rng.random());
        if !reaches {
            return vec![unknown];
        }
        let swapped = expected == self.revision || expected == u64::MAX;
        if swapped {
            self.writes += 1;
            self.revision += 1;
            self.log = Some(log);
        }
        let outcome = match swapped {
            true => StoreWrite::Done {
                mod_revision: self.revision,
            },
            false => StoreWrite::Conflict,
        };
        match lost {
            true => vec![unknown],
            false => vec![(self.delay_ms(rng), Reply::Write(outcome))],
        }
    }
}
