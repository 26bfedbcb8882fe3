//! Changes of owners in a history, and their records in the store.

use arbtest::arbitrary;
use trefoil_core::dispatch::limits::LINK_TIMEOUT_MS;
use trefoil_core::dispatch::ownership::Roster;

use crate::INITIAL_WORKERS;
use crate::dispatch_support::{owner, owner_after};
use crate::events::{Event, Record};
use crate::simulation::{History, TICK_PERIOD_MS};

impl History<'_, '_> {
    /// Schedules the write of a roster, which fails if the store has another owner's claim.
    pub fn send_roster(&mut self, owner: usize, roster: Roster) -> arbitrary::Result<()> {
        let latency_ms = self.choices.int_in_range(1..=600)?;
        let answered = !self.fault_occurs(20)?;
        let event = Event::WriteRoster {
            owner,
            roster,
            answered,
        };
        self.schedule(self.now_ms + latency_ms, event);
        Ok(())
    }

    pub fn write_roster(
        &mut self,
        owner: usize,
        roster: Roster,
        answered: bool,
    ) -> arbitrary::Result<()> {
        if self.record.owner != owner {
            return Ok(());
        }
        self.record.roster = Some(roster.clone());
        let latency_ms = self.choices.int_in_range(1..=150)?;
        if answered {
            let event = Event::RosterStored { owner, roster };
            self.schedule(self.now_ms + latency_ms, event);
        }
        Ok(())
    }

    pub fn replace_owner(&mut self) -> arbitrary::Result<()> {
        let lost = self.owners.len() - 1;
        // The owner crashes, or continues until it detects the loss of its link, possibly
        // late.
        if self.choices.ratio(1, 2)? {
            self.active[lost] = false;
        } else {
            let late_ms = self.choices.int_in_range(0..=800)?;
            let detected_ms = self.now_ms + LINK_TIMEOUT_MS + late_ms;
            self.schedule(detected_ms, Event::OriginLost { owner: lost });
        }
        let next = self.owners.len();
        for worker in 0..INITIAL_WORKERS {
            if self.choices.ratio(1, 4)? {
                let until_ms = self.now_ms + self.choices.int_in_range(0..=3000_u64)?;
                self.partitions
                    .insert((next, format!("w{worker}")), until_ms);
            }
        }
        let known_workers = self.choices.int_in_range(1..=INITIAL_WORKERS)?;
        self.take_over(known_workers)?;
        let registry_ms: u64 = self.choices.int_in_range(0..=2000)?;
        self.schedule(
            self.now_ms + registry_ms,
            Event::ReadRegistry { owner: next },
        );
        for id in self.unfinished_jobs.keys().cloned().collect::<Vec<_>>() {
            self.revoke(&id, next, true);
        }
        self.returned_jobs.clear();
        for (id, job) in self.unfinished_jobs.clone() {
            self.delegate(&id, &job)?;
        }
        Ok(())
    }

    pub fn take_over(&mut self, known_workers: usize) -> arbitrary::Result<()> {
        let term = self.owners.len() as u64 + 1;
        let store_available = self.choices.ratio(2, 3)?;
        let follows = self.record.owner + 1 == self.owners.len();
        let used = self
            .record
            .roster
            .clone()
            .filter(|_| store_available && follows);
        let mut next = match used {
            Some(used) => {
                let used: Vec<&str> = used.iter().map(|id| &**id).collect();
                owner_after(term, &used)
            }
            None => owner(term),
        };
        if store_available {
            self.record = Record {
                owner: self.owners.len(),
                roster: None,
            };
        }
        let records = self.workers[..known_workers].iter();
        let records = records.map(|worker| worker.record.clone());
        let mut out = Vec::new();
        next.set_workers(self.now_ms, records.collect(), &mut out);
        if self.closed_ms.is_some() {
            next.close(self.now_ms, self.now_ms, &mut out);
        }
        self.owners.push(next);
        self.active.push(true);
        let number = self.owners.len() - 1;
        self.schedule(self.now_ms + TICK_PERIOD_MS, Event::Tick { owner: number });
        self.carry_out(number, out)
    }
}
