//! The applied configuration follows the store's history and never goes backwards.

use std::collections::BTreeMap;

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use bytes::Bytes;
use trefoil_core::config::log::Applied;
use trefoil_core::config::write_outcome::{
    ConditionalWrite, StoredKey, WriteOutcome, determine_outcome,
};
use trefoil_core::config::{Change, ConfigLog, ResourceKey, StoredValue};
use trefoil_schema::peer::ConfigChanges;
use trefoil_schema::resources::Kind;

const NAMES: [&str; 4] = ["a", "b", "c", "d"];
const LOGS: usize = 3;
const HISTORY_MAX: usize = 4;

fn service(name: &str, declared_run_ms: u64) -> Bytes {
    let text = format!(
        r#"{{"kind":"service","name":"{name}","spec":{{"declared_run_ms":{declared_run_ms}}}}}"#
    );
    text.into()
}

fn change(name: &str, value: Option<Bytes>, revision: u64) -> Change {
    Change {
        key: ResourceKey::new(Kind::Service, name),
        value,
        revision,
    }
}

/// The store's history: the change at each revision, `None` for one of another key.
struct History(Vec<Option<Change>>);

impl History {
    fn arbitrary(u: &mut Unstructured<'_>) -> Result<Self> {
        let length = u.int_in_range(1..=24)?;
        let mut changes = vec![None];
        for revision in 1..=length {
            let name = *u.choose(&NAMES)?;
            changes.push(match u.int_in_range(0..=4)? {
                0 => None,
                1 => Some(change(name, None, revision)),
                _ => Some(change(name, Some(service(name, revision)), revision)),
            });
        }
        Ok(Self(changes))
    }

    fn newest(&self) -> u64 {
        self.0.len() as u64 - 1
    }

    fn between(&self, after: u64, to: u64) -> Vec<Change> {
        let range = after as usize + 1..=to as usize;
        self.0[range].iter().flatten().cloned().collect()
    }

    fn state(&self, revision: u64) -> BTreeMap<ResourceKey, StoredValue> {
        let mut state = BTreeMap::new();
        for Change {
            key,
            value,
            revision,
        } in self.between(0, revision)
        {
            match value {
                Some(value) => state.insert(key, StoredValue { value, revision }),
                None => state.remove(&key),
            };
        }
        state
    }

    fn list(&self, revision: u64) -> Vec<Change> {
        let state = self.state(revision).into_iter();
        state
            .map(|(key, stored)| Change {
                key,
                value: Some(stored.value),
                revision: stored.revision,
            })
            .collect()
    }
}

fn apply_random_update(
    u: &mut Unstructured<'_>,
    history: &History,
    log: &mut ConfigLog,
    messages: &[ConfigChanges],
) -> Result<()> {
    let to = u.int_in_range(1..=history.newest())?;
    match u.int_in_range(0..=2)? {
        0 => {
            log.replace(to, &history.list(to));
        }
        1 => {
            let from = u.int_in_range(0..=to)?;
            let before = log.revision();
            let applied = log.apply(from, to, &history.between(from, to));
            let gap = from > before && to > before;
            assert_eq!(gap, matches!(applied, Applied::Gap { .. }));
        }
        _ if messages.is_empty() => {}
        _ => {
            log.apply_message(u.choose(messages)?);
        }
    }
    Ok(())
}

#[test]
fn any_order_of_lists_deltas_and_peer_messages_passes_through_the_stores_states() {
    arbtest(|u| {
        let history = History::arbitrary(u)?;
        let mut logs = vec![ConfigLog::new(HISTORY_MAX); LOGS];
        let mut messages = Vec::new();
        for _ in 0..u.int_in_range(1..=40)? {
            let log = &mut logs[u.int_in_range(0..=LOGS - 1)?];
            let before = log.revision();
            apply_random_update(u, &history, log, &messages)?;
            assert!(log.revision() >= before, "the revision went backwards");
            assert_eq!(*log.values(), history.state(log.revision()));
            let snapshot = log.snapshot();
            assert_eq!(snapshot.services.len(), log.values().len());
            messages.push(log.changes_after(u.int_in_range(0..=history.newest())?));
        }
        Ok(())
    });
}

#[test]
fn peer_is_sent_a_delta_if_the_changes_are_kept_and_the_full_list_otherwise() {
    let mut source = ConfigLog::new(2);
    for revision in 1..=5 {
        let changes = [change("a", Some(service("a", revision)), revision)];
        source.apply(revision - 1, revision, &changes);
    }
    let delta = source.changes_after(3);
    assert_eq!((delta.from_revision, delta.changes.len()), (3, 2));
    let full = source.changes_after(2);
    assert_eq!((full.from_revision, full.changes.len()), (0, 1));
    let mut fresh = ConfigLog::default();
    assert_eq!(
        fresh.apply_message(&delta),
        Applied::Gap { after_revision: 0 }
    );
    assert_eq!(fresh.apply_message(&full), Applied::Advanced);
    assert_eq!(fresh.snapshot(), source.snapshot());
}

#[test]
fn unparsable_value_leaves_the_previous_declaration_in_force() {
    let mut log = ConfigLog::default();
    log.apply(0, 1, &[change("a", Some(service("a", 70)), 1)]);
    log.apply(1, 2, &[change("a", Some("{".into()), 2)]);
    let snapshot = log.snapshot();
    assert_eq!(snapshot.services["a"].spec.declared_run_ms, 70);
    assert_eq!((snapshot.revision, log.unreadable()), (2, 1));
}

/// The outcome is never wrong while other writers change the same key.
#[test]
fn write_with_lost_response_is_never_given_a_wrong_outcome() {
    arbtest(|u| {
        let mut key = Key::default();
        for _ in 0..u.int_in_range(0..=3)? {
            key.change(u)?;
        }
        // Only an existing key can be removed.
        let removes = key.found.is_some() && u.ratio(1, 3)?;
        let write = ConditionalWrite {
            value: (!removes).then(|| "ours".into()),
            replaces_revision: key.found.as_ref().map_or(0, |found| found.revision),
            replaces_version: key.found.as_ref().map_or(0, |found| found.version),
        };
        let took_effect = u.arbitrary()?;
        if took_effect {
            key.set(write.value.clone());
        }
        for _ in 0..u.int_in_range(0..=3)? {
            key.change(u)?;
        }
        match determine_outcome(&write, key.found.as_ref()) {
            WriteOutcome::Pending => assert!(!took_effect),
            WriteOutcome::Lost { .. } => assert!(!took_effect),
            WriteOutcome::Applied { .. } => {
                assert_eq!(key.found.map(|found| found.value), write.value);
            }
            WriteOutcome::Unknown => {}
        }
        Ok(())
    });
}

#[derive(Default)]
struct Key {
    revision: u64,
    found: Option<StoredKey>,
}

impl Key {
    fn change(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let value = u.choose(&[Some("other"), Some("another"), None])?;
        self.set(value.map(Into::into));
        Ok(())
    }

    fn set(&mut self, value: Option<Bytes>) {
        self.revision += 1;
        let revision = self.revision;
        let earlier = self.found.take();
        self.found = value.map(|value| StoredKey {
            value,
            revision,
            created_revision: earlier.as_ref().map_or(revision, |e| e.created_revision),
            version: earlier.map_or(0, |e| e.version) + 1,
        });
    }
}

#[test]
fn full_list_removes_resources_that_only_the_peer_had() {
    let a = change("a", Some(service("a", 1)), 1);
    let b = change("b", Some(service("b", 2)), 2);
    let mut source = ConfigLog::default();
    source.apply(0, 1, std::slice::from_ref(&a));
    let mut peer = source.clone();
    peer.apply(1, 2, &[b]);
    // `b` was removed at revision 3, before the source read the full list.
    source.replace(4, &[a]);
    peer.apply_message(&source.changes_after(peer.revision()));
    assert_eq!(peer.snapshot(), source.snapshot());
}
