//! When an instance reads the store.
//!
//! Owners of pools read it often. Any other instance relies on its peers for as long as they
//! confirm its declarations: heartbeats carry the age of the last read that found them
//! current, whoever made it. Once that confirmation is too old, the instance reads the
//! declarations itself. Declarations are therefore in force in time at every instance that
//! the store serves, whichever other instances it serves.
//!
//! The permitted age differs between instances: the first one that reads successfully
//! confirms the declarations to its peers, so that not all of them have to.

use xxhash_rust::xxh3::xxh3_64;

use super::limits::DECLARATIONS_IN_FORCE_MS;

/// Period of an owner's reads. Two fit into the time within which new declarations must be
/// in force and draining workers get no new tasks.
const OWNER_PERIOD_MS: u64 = 700;
/// Period of other instances' reads of instances and claims, which they also learn from
/// peers.
const FOLLOWER_PERIOD_MS: u64 = 4000;
/// Age of a confirmation that every instance accepts. Longer than an owner's period, a read
/// and two heartbeats, so that nobody else reads while an owner does.
const CONFIRMATION_AGE_MIN_MS: u64 = 1200;
/// Age of a confirmation that no instance accepts. The rest of the time is for a read by an
/// instance whose CPU is throttled.
const CONFIRMATION_AGE_MAX_MS: u64 = DECLARATIONS_IN_FORCE_MS - 400;
/// Delay after a failed read. It doubles with each further failure of an instance that has
/// declarations and owns no pool.
const RETRY_DELAY_MS: u64 = 250;
/// Maximum number of doublings of [`RETRY_DELAY_MS`].
const RETRY_DOUBLINGS_MAX: u32 = 2;

/// What a read of the store reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreRead {
    /// Declarations, instances and claims, and an owner's workers.
    Everything,
    /// The declarations alone, which must be in force in time.
    Declarations,
}

/// A read and when it is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ScheduledRead {
    /// What to read.
    pub read: StoreRead,
    /// When to begin.
    pub due_ms: u64,
}

/// What the schedule depends on besides earlier reads.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReadDemand {
    /// Whether this instance owns a pool, or waits for the successor of a lost owner.
    pub reads_often: bool,
    /// As of when the declarations in force are known to have been current; `None` if there
    /// are none.
    pub confirmed_ms: Option<u64>,
}

/// Schedule of one instance's reads.
#[derive(Clone, Copy, Debug)]
pub struct ReadSchedule {
    confirmation_age_max_ms: u64,
    /// End of the last read.
    ended_ms: Option<u64>,
    /// End of the last successful read of everything.
    everything_read_ms: Option<u64>,
    consecutive_failures: u32,
}

impl ReadSchedule {
    /// Schedule of an instance that has not read the store yet.
    pub fn new(instance: &str) -> Self {
        let spread_ms = CONFIRMATION_AGE_MAX_MS - CONFIRMATION_AGE_MIN_MS;
        let offset_ms = xxh3_64(instance.as_bytes()) % spread_ms;
        Self {
            confirmation_age_max_ms: CONFIRMATION_AGE_MIN_MS + offset_ms,
            ended_ms: None,
            everything_read_ms: None,
            consecutive_failures: 0,
        }
    }

    /// Records the end of a read.
    pub fn on_read_ended(&mut self, now_ms: u64, read: StoreRead, succeeded: bool) {
        self.ended_ms = Some(now_ms);
        match succeeded {
            true => self.consecutive_failures = 0,
            false => self.consecutive_failures += 1,
        }
        if read == StoreRead::Everything {
            self.everything_read_ms = succeeded.then_some(now_ms);
        }
    }

    /// Returns the next read.
    pub fn next_read(&self, demand: ReadDemand) -> ScheduledRead {
        let earliest_ms = match (self.ended_ms, self.consecutive_failures) {
            (None, _) => 0,
            (Some(ended_ms), 0) => ended_ms + OWNER_PERIOD_MS,
            (Some(ended_ms), _) => ended_ms + self.retry_delay_ms(demand),
        };
        let (everything_due_ms, declarations_due_ms) = match demand.reads_often {
            true => (earliest_ms, earliest_ms),
            false => (
                due_ms(self.everything_read_ms, FOLLOWER_PERIOD_MS).max(earliest_ms),
                due_ms(demand.confirmed_ms, self.confirmation_age_max_ms).max(earliest_ms),
            ),
        };
        match everything_due_ms <= declarations_due_ms {
            true => ScheduledRead {
                read: StoreRead::Everything,
                due_ms: everything_due_ms,
            },
            false => ScheduledRead {
                read: StoreRead::Declarations,
                due_ms: declarations_due_ms,
            },
        }
    }

    fn retry_delay_ms(&self, demand: ReadDemand) -> u64 {
        if demand.reads_often || demand.confirmed_ms.is_none() {
            return RETRY_DELAY_MS;
        }
        let doublings = self.consecutive_failures.saturating_sub(1);
        RETRY_DELAY_MS << doublings.min(RETRY_DOUBLINGS_MAX)
    }
}

/// When something is due that is due at once if it never happened.
fn due_ms(last_ms: Option<u64>, period_ms: u64) -> u64 {
    last_ms.map_or(0, |last_ms| last_ms + period_ms)
}
