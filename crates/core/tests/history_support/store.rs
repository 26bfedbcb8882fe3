//! A stand-in for one record of the platform's store.

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use trefoil_core::membership::{Event, StoreWrite};
use trefoil_core::view::ViewLog;

const TIMEOUT_MS: u64 = 2_000;

/// One record, with faults that histories set.
#[derive(Default)]
pub struct FakeStore {
    pub log: Option<ViewLog>,
    pub revision: u64,
    pub down: bool,
    /// Answers come up to this late.
    pub slow_max_ms: u64,
    /// Writes take effect without an answer, of 100.
    pub lost_percent: u32,
    pub writes: u64,
}

/// An answer, or that there is none.
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
        4 + rng.random_range(0..=self.slow_max_ms)
    }

    pub fn read(&mut self, domain: String, reached: bool, rng: &mut ChaCha8Rng) -> (u64, Reply) {
        if self.down || !reached {
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
        reached: bool,
        rng: &mut ChaCha8Rng,
    ) -> Vec<(u64, Reply)> {
        let lost = rng.random_range(0..100) < self.lost_percent;
        let unknown = (TIMEOUT_MS, Reply::Write(StoreWrite::Unknown));
        let reaches = reached && !self.down && (!lost || rng.random());
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
