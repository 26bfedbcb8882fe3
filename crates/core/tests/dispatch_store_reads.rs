//! When an instance reads the store.

use trefoil_core::dispatch::store_reads::{ReadDemand, ReadSchedule, StoreRead};

/// Within which declarations must be in force; the rest is for the read itself.
const CONFIRMATION_AGE_LIMIT_MS: u64 = 1700;
const MINUTE_MS: u64 = 60_000;

/// An instance whose reads take a fixed time.
struct Reader {
    schedule: ReadSchedule,
    demand: ReadDemand,
    now_ms: u64,
    read_ms: u64,
    everything: u64,
    declarations: u64,
}

impl Reader {
    fn new(name: &str) -> Self {
        Self {
            schedule: ReadSchedule::new(name),
            demand: ReadDemand::default(),
            now_ms: 0,
            read_ms: 5,
            everything: 0,
            declarations: 0,
        }
    }

    /// Waits for the next read and makes it.
    fn read(&mut self, succeeds: bool) {
        let next = self.schedule.next_read(self.demand);
        self.now_ms = self.now_ms.max(next.due_ms);
        match next.read {
            StoreRead::Everything => self.everything += 1,
            StoreRead::Declarations => self.declarations += 1,
        }
        if succeeds {
            self.demand.confirmed_ms = Some(self.now_ms);
        }
        self.now_ms += self.read_ms;
        self.schedule
            .on_read_ended(self.now_ms, next.read, succeeds);
    }
}

#[test]
fn declarations_are_read_in_time_without_peers() {
    arbtest::arbtest(|u| {
        let mut reader = Reader::new(u.arbitrary()?);
        reader.read_ms = u.int_in_range(1..=50)?;
        reader.read(true);
        while reader.now_ms < MINUTE_MS {
            let confirmed_ms = reader.demand.confirmed_ms.unwrap();
            reader.read(true);
            let age_ms = reader.now_ms - confirmed_ms;
            assert!(age_ms <= CONFIRMATION_AGE_LIMIT_MS, "read after {age_ms}");
        }
        Ok(())
    });
}

#[test]
fn declarations_that_peers_confirm_are_not_read() {
    let mut reader = Reader::new("entry-1");
    reader.read(true);
    // An owner reads every 700, and heartbeats in both directions take up to 200.
    for now_ms in (0..MINUTE_MS).step_by(100) {
        reader.now_ms = now_ms;
        reader.demand.confirmed_ms = Some(now_ms.saturating_sub(900));
        if reader.schedule.next_read(reader.demand).due_ms <= now_ms {
            reader.read(true);
        }
    }
    assert_eq!(reader.declarations, 0);
    assert!((14..=16).contains(&reader.everything));
}

#[test]
fn owners_read_everything_twice_within_two_seconds() {
    let mut reader = Reader::new("entry-1");
    reader.demand.reads_often = true;
    while reader.now_ms < MINUTE_MS {
        let began_ms = reader.now_ms;
        reader.read(true);
        reader.read(true);
        assert!(reader.now_ms - began_ms <= 2000);
    }
    assert_eq!(reader.declarations, 0);
}

#[test]
fn instances_refused_by_the_store_retry_each_second() {
    let mut reader = Reader::new("entry-1");
    reader.read(true);
    while reader.now_ms < MINUTE_MS {
        reader.read(false);
    }
    let reads = reader.everything + reader.declarations;
    assert!((55..=65).contains(&reads), "{reads} reads in a minute");
}

/// Callers are refused until it succeeds.
#[test]
fn instances_without_declarations_retry_often() {
    let mut reader = Reader::new("entry-1");
    while reader.now_ms < MINUTE_MS {
        reader.read(false);
    }
    assert!(reader.everything >= 200, "{} reads", reader.everything);
}
