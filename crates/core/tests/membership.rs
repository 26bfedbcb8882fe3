//! Ownership of keys under single faults, in virtual time.

mod history_support;

use history_support::{DOMAIN, Simulation};
use trefoil_core::key::JobKey;
use trefoil_core::membership::{
    Command, Event, Membership, MembershipParams, Mutation, PeerState, Route,
};
use trefoil_core::time::Now;
use trefoil_core::view::{Member, ViewLog};
use trefoil_schema::peer::message::Body;

fn stable_simulation(count: usize) -> Simulation {
    let mut sim = Simulation::new(1, count, MembershipParams::default());
    sim.run(6_000);
    sim
}

/// Creates a key issued `ahead_ms` from now that `owner` owns in the newest view.
fn key_owned_by(sim: &mut Simulation, owner: usize, ahead_ms: u64) -> JobKey {
    let wall_ms = sim.wall_ms(owner) + ahead_ms;
    let log = sim.store.log.clone().expect("a record");
    let member = sim.nodes[owner].member.clone();
    loop {
        let key = sim.key(wall_ms);
        if log.owner(&key) == Some(&member) {
            return key;
        }
    }
}

/// Submits a key at every running instance. Returns the instances that started it.
fn started_by(sim: &mut Simulation, key: &JobKey) -> Vec<Member> {
    for index in sim.alive() {
        sim.submit(index, key, 0);
    }
    sim.run(300);
    let by = sim.starts.get(key).cloned().unwrap_or_default();
    by.into_iter().collect()
}

fn members(sim: &Simulation) -> Vec<String> {
    let log = sim.store.log.as_ref().expect("a record");
    let newest = log.newest().expect("a view");
    newest.members.iter().map(ToString::to_string).collect()
}

fn starts_new_keys(sim: &mut Simulation) -> bool {
    let wall_ms = sim.wall_ms(sim.alive()[0]);
    let keys: Vec<JobKey> = (0..32).map(|_| sim.key(wall_ms)).collect();
    keys.iter().all(|key| started_by(sim, key).len() == 1)
}

#[test]
fn a_new_domain_starts_keys_within_two_seconds() {
    for count in 1..=5 {
        let mut sim = Simulation::new(7, count, MembershipParams::default());
        sim.run(2_000);
        assert_eq!(members(&sim).len(), count);
        assert!(starts_new_keys(&mut sim), "{count} instances");
    }
}

#[test]
fn a_store_outage_of_ten_minutes_does_not_change_owners() {
    let mut sim = stable_simulation(3);
    let writes = sim.store.writes;
    sim.store.down = true;
    sim.run(600_000);
    assert!(starts_new_keys(&mut sim));
    let admitted = key_owned_by(&mut sim, 0, 0);
    assert_eq!(started_by(&mut sim, &admitted).len(), 1);
    sim.kill(0);
    sim.run(10_000);
    let lost = key_owned_by(&mut sim, 0, 0);
    let kept = key_owned_by(&mut sim, 1, 0);
    assert_eq!(started_by(&mut sim, &lost), []);
    assert_eq!(started_by(&mut sim, &kept), [sim.nodes[1].member.clone()]);
    assert_eq!(sim.store.writes, writes);
    sim.store.down = false;
    sim.run(6_000);
    assert!(starts_new_keys(&mut sim));
    // Issued after the last time vouched for n0, so no instance can have started it.
    assert_eq!(started_by(&mut sim, &lost).len(), 1);
    assert_eq!(started_by(&mut sim, &admitted).len(), 1);
    assert_eq!(sim.nodes[1].membership.route(&admitted), Route::OwnerLost);
}

#[test]
fn a_key_is_not_started_twice_if_its_owner_freezes_before_the_start() {
    let mut sim = stable_simulation(3);
    let key = key_owned_by(&mut sim, 0, 0);
    sim.submit(0, &key, 0);
    sim.run(0);
    sim.freeze(0, 15_000);
    for second in 0..20 {
        sim.submit(1, &key, second * 1_000);
        sim.submit(2, &key, second * 1_000);
    }
    sim.run(10_000);
    assert_eq!(members(&sim), ["n1#1", "n2#1"]);
    assert!(starts_new_keys(&mut sim));
    sim.run(10_000);
    let starts = sim.starts[&key].iter().cloned().collect::<Vec<_>>();
    assert_eq!(starts, [sim.nodes[0].member.clone()]);
    sim.run(6_000);
    assert_eq!(members(&sim), ["n0#1", "n1#1", "n2#1"]);
}

#[test]
fn keys_of_a_killed_owner_are_lost_and_later_keys_are_started() {
    let mut sim = stable_simulation(3);
    let key = key_owned_by(&mut sim, 0, 0);
    assert_eq!(started_by(&mut sim, &key).len(), 1);
    sim.kill(0);
    sim.run(3_500);
    assert_eq!(members(&sim), ["n1#1", "n2#1"]);
    assert!(starts_new_keys(&mut sim));
    for index in [1, 2] {
        assert_eq!(sim.nodes[index].membership.route(&key), Route::OwnerLost);
    }
    sim.restart(0);
    sim.run(6_000);
    assert_eq!(members(&sim), ["n0#2", "n1#1", "n2#1"]);
    assert!(starts_new_keys(&mut sim));
    assert_eq!(sim.nodes[0].membership.route(&key), Route::OwnerLost);
    assert_eq!(sim.starts[&key].len(), 1);
}

#[test]
fn an_instance_of_another_domain_learns_the_owner_and_its_loss() {
    let domains = [DOMAIN.to_owned()];
    let me = Member::new("m0", 1);
    let params = MembershipParams::default();
    let mut entry = Membership::new(params, me, "b", &domains, "");
    let key = JobKey::parse("1700000000500-x").expect("a valid key");
    assert!(matches!(entry.route(&key), Route::Unknown { .. }));
    let owner = Member::new("n0", 1);
    let first = ViewLog::default().with_view(0, vec![owner.clone()]);
    let next = first.with_view(1_700_000_001_000, vec![Member::new("n0", 2)]);
    let from = Member::new("n1", 1);
    let mut route_after = |log: &ViewLog, revision| {
        let body = Body::View(log.to_record(DOMAIN, revision));
        let event = Event::Message {
            from: from.clone(),
            body,
        };
        entry.handle(Now::default(), event, &mut Vec::new());
        entry.route(&key)
    };
    assert_eq!(route_after(&first, 5), Route::Peer(owner));
    assert_eq!(route_after(&next, 9), Route::OwnerLost);
    // An older log that arrives late is ignored.
    assert_eq!(route_after(&first, 5), Route::OwnerLost);
}

#[test]
fn a_write_without_answer_is_resolved_by_reading() {
    let mut sim = stable_simulation(3);
    sim.store.lost_write_percent = 100;
    sim.kill(2);
    sim.run(12_000);
    assert_eq!(members(&sim), ["n0#1", "n1#1"]);
    let views = sim.store.log.as_ref().map(ViewLog::version);
    assert!(starts_new_keys(&mut sim));
    assert_eq!(sim.store.log.as_ref().map(ViewLog::version), views);
}

#[test]
fn a_partition_between_two_of_three_instances_does_not_change_the_view() {
    let mut sim = stable_simulation(3);
    let views = sim.store.writes;
    sim.partitions.extend([(0, 1), (1, 0)]);
    sim.run(10_000);
    assert_eq!(sim.store.writes, views);
    for index in 0..3 {
        let key = key_owned_by(&mut sim, index, 0);
        sim.submit(index, &key, 0);
        sim.run(100);
        assert_eq!(sim.starts.get(&key).map(|by| by.len()), Some(1));
    }
}

#[test]
fn all_new_keys_are_started_while_an_instance_leaves() {
    let mut sim = stable_simulation(3);
    sim.leave(0);
    for _ in 0..30 {
        assert!(starts_new_keys(&mut sim));
    }
    assert_eq!(members(&sim), ["n1#1", "n2#1"]);
    assert!(!sim.nodes[0].membership.in_newest_view());
}

#[test]
fn the_next_view_starts_at_the_admission_limit_of_a_leaving_instance() {
    // Keys between the two would be owned by the leaving instance, which cannot admit
    // them, and would be refused permanently.
    for seed in 0..40 {
        let mut sim = Simulation::new(seed, 3, MembershipParams::default());
        sim.run(6_000);
        // Delays vouches, so that the vouched time is later than the admission limit.
        sim.network.delay_max_ms = 200;
        sim.run(500);
        sim.leave(0);
        sim.run(3_000);
        let limit_ms = sim.nodes[0].membership.admission_limit();
        let log = sim.store.log.clone().expect("a record");
        let next = log.newest().expect("a view without n0");
        assert_eq!(next.members.len(), 2);
        assert_eq!(next.from_ms, limit_ms + 1, "seed {seed}");
    }
}

#[test]
fn a_domain_starts_keys_again_after_all_instances_restarted() {
    let mut sim = stable_simulation(3);
    let key = key_owned_by(&mut sim, 1, 0);
    assert_eq!(started_by(&mut sim, &key).len(), 1);
    for index in 0..3 {
        sim.restart(index);
    }
    sim.run(20_000);
    assert_eq!(members(&sim), ["n0#2", "n1#2", "n2#2"]);
    assert!(starts_new_keys(&mut sim));
    assert_eq!(started_by(&mut sim, &key).len(), 1);
}

#[test]
fn the_view_log_is_bounded_and_keys_of_removed_views_are_lost() {
    let params = MembershipParams {
        key_window_ms: 5_000,
        ..MembershipParams::default()
    };
    let mut sim = Simulation::new(3, 3, params);
    sim.run(6_000);
    let key = key_owned_by(&mut sim, 1, 0);
    for restart in 0..30 {
        sim.restart(restart % 3);
        sim.run(8_000);
    }
    let log = sim.store.log.clone().expect("a record");
    assert!(log.version() > 50, "{} views", log.version());
    assert!(log.views().len() <= 8, "{} kept", log.views().len());
    assert_eq!(sim.nodes[0].membership.route(&key), Route::OwnerLost);
}

#[test]
fn keys_are_not_taken_over_while_a_removed_member_vouches_for_their_owner() {
    // n0 and n1 reach only each other, and the view in the store contains n0 and n2.
    // n1 still vouches for n0 in the old view, so n2 must not take over the keys of n0.
    for (mutation, started_twice) in [(None, false), (Some(Mutation::NewestViewOnly), true)] {
        let params = MembershipParams {
            mutation,
            ..MembershipParams::default()
        };
        let mut sim = Simulation::new(1, 3, params);
        sim.platform_reports_exits = false;
        sim.run(6_000);
        for (a, b) in [(1, 2), (0, 2)] {
            sim.partitions.extend([(a, b), (b, a)]);
        }
        sim.store_partitions.extend([0, 1]);
        sim.run(2_500);
        let log = sim.store.log.clone().expect("a record");
        let isolated = sim.nodes[0].member.clone();
        let kept = vec![isolated.clone(), sim.nodes[2].member.clone()];
        let from_ms = sim.wall_ms(2);
        sim.store.log = Some(log.with_view(from_ms, kept));
        sim.store.revision += 1;
        // Only n2 reads the log.
        let read = Event::StoreRead {
            domain: DOMAIN.to_owned(),
            log: sim.store.log.clone(),
            mod_revision: sim.store.revision,
        };
        sim.deliver(2, read);
        sim.run(3_500);
        let key = key_owned_in_own_view(&mut sim, 0);
        for index in 0..3 {
            sim.submit(index, &key, 0);
        }
        sim.run(300);
        let by = sim.starts.get(&key).map_or(0, |by| by.len());
        assert_eq!(by > 1, started_twice, "{mutation:?}: {by} starts");
    }
}

/// Creates a key that `owner` owns in the newest view that it knows.
fn key_owned_in_own_view(sim: &mut Simulation, owner: usize) -> JobKey {
    let wall_ms = sim.wall_ms(owner);
    let member = sim.nodes[owner].member.clone();
    let known = sim.nodes[owner].membership.view_log(DOMAIN);
    let view = known.and_then(|known| known.log.newest()).expect("a view");
    let view = view.clone();
    loop {
        let key = sim.key(wall_ms);
        if view.owner(&key) == Some(&member) {
            return key;
        }
    }
}

#[test]
fn heartbeat_size_does_not_depend_on_the_number_of_instances() {
    let sizes = [10_u64, 1_000].map(|others| {
        let domains = [DOMAIN.to_owned(), "b".to_owned()];
        let me = Member::new("m0", 1);
        let mut membership = Membership::new(MembershipParams::default(), me, DOMAIN, &domains, "");
        let list = (0..others).map(|index| trefoil_core::membership::ListedInstance {
            member: Member::new(&format!("o{index:04}"), 1),
            domain: "b".to_owned(),
            address: String::new(),
            leaving: false,
        });
        let now = Now::default();
        membership.handle(now, Event::PlatformList(list.collect()), &mut Vec::new());
        let mut commands = Vec::new();
        membership.handle(
            now,
            Event::Tick {
                entropy: 0x1234_5678_9abc,
            },
            &mut commands,
        );
        let sent = commands.iter().filter_map(|command| match command {
            Command::Send {
                body: Body::Heartbeat(heartbeat),
                ..
            } => Some(heartbeat.others.len()),
            _ => None,
        });
        sent.collect::<Vec<_>>()
    });
    assert_eq!(sizes[0], [3, 3]);
    assert_eq!(sizes[0], sizes[1]);
}

#[test]
fn peer_states_follow_heartbeats_and_refused_connections() {
    let mut sim = stable_simulation(3);
    let state = |sim: &Simulation| {
        let status = sim.nodes[1].membership.status();
        let name = &sim.nodes[0].member.name;
        status
            .into_iter()
            .find(|s| s.member.name == *name)
            .map(|s| s.state)
    };
    assert_eq!(state(&sim), Some(PeerState::Serving));
    sim.leave(0);
    sim.run(500);
    assert_eq!(state(&sim), Some(PeerState::Leaving));
    sim.platform_reports_exits = false;
    sim.kill(0);
    sim.run(3_000);
    assert_eq!(state(&sim), Some(PeerState::Silent));
    let gone = sim.nodes[0].member.clone();
    sim.deliver(1, Event::ConnectionRefused(gone));
    assert_eq!(state(&sim), Some(PeerState::Gone));
}

/// Reports the configuration of all instances; those in `refused` last read the store
/// `refused_ms` ago.
fn report_config(sim: &mut Simulation, refused: &[usize], refused_ms: u64) {
    for index in sim.alive() {
        let confirmed_age_ms = match refused.contains(&index) {
            true => refused_ms,
            false => 100,
        };
        let event = Event::Config {
            revision: 1,
            confirmed_age_ms: Some(confirmed_age_ms),
        };
        sim.deliver(index, event);
    }
    sim.run(600);
}

fn config_watchers(sim: &Simulation) -> Vec<usize> {
    let alive = sim.alive().into_iter();
    alive
        .filter(|&index| sim.nodes[index].membership.is_config_watcher())
        .collect()
}

/// Otherwise declarations reach nobody while the store refuses the first two by name.
#[test]
fn the_first_two_instances_that_reach_the_store_watch_it() {
    let mut sim = stable_simulation(5);
    assert_eq!(
        config_watchers(&sim),
        [0, 1, 2, 3, 4],
        "nobody is confirmed"
    );
    report_config(&mut sim, &[], 0);
    assert_eq!(config_watchers(&sim), [0, 1]);
    // The pause of a watch that is reopened after 3 s.
    report_config(&mut sim, &[0, 1], 3_300);
    assert_eq!(config_watchers(&sim), [0, 1]);
    report_config(&mut sim, &[0, 1], 4_500);
    assert_eq!(config_watchers(&sim), [0, 1, 2, 3]);
    report_config(&mut sim, &[0, 1, 2, 3, 4], 4_500);
    assert_eq!(config_watchers(&sim), [0, 1, 2, 3, 4]);
    report_config(&mut sim, &[], 0);
    assert_eq!(config_watchers(&sim), [0, 1]);
}

#[test]
fn a_killed_watcher_of_the_store_is_replaced() {
    let mut sim = stable_simulation(4);
    report_config(&mut sim, &[], 0);
    sim.kill(0);
    sim.run(6_000);
    report_config(&mut sim, &[], 0);
    assert_eq!(config_watchers(&sim), [1, 2]);
}
