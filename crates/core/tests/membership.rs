//! Ownership of keys under one fault at a time, in virtual time.

mod history_support;

use history_support::{DOMAIN, World};
use trefoil_core::key::JobKey;
use trefoil_core::membership::{
    Command, Event, Membership, MembershipParams, Mutation, PeerState, Route,
};
use trefoil_core::time::Now;
use trefoil_core::view::{Member, ViewLog};
use trefoil_schema::peer::message::Body;

fn settled(count: usize) -> World {
    let mut world = World::new(1, count, MembershipParams::default());
    world.run(6_000);
    world
}

/// A key issued now, or that much later, that `owner` owns in the newest view.
fn key_of(world: &mut World, owner: usize, ahead_ms: u64) -> JobKey {
    let wall_ms = world.wall_ms(owner) + ahead_ms;
    let log = world.store.log.clone().expect("a record");
    let member = world.nodes[owner].member.clone();
    loop {
        let key = world.key(wall_ms);
        if log.owner(&key) == Some(&member) {
            return key;
        }
    }
}

/// Submits a key at every running instance, and says who started it.
fn started_by(world: &mut World, key: &JobKey) -> Vec<Member> {
    for index in world.alive() {
        world.submit(index, key, 0);
    }
    world.run(300);
    let by = world.starts.get(key).cloned().unwrap_or_default();
    by.into_iter().collect()
}

fn members(world: &World) -> Vec<String> {
    let log = world.store.log.as_ref().expect("a record");
    let newest = log.newest().expect("a view");
    newest.members.iter().map(ToString::to_string).collect()
}

fn serves_all(world: &mut World) -> bool {
    let wall_ms = world.wall_ms(world.alive()[0]);
    let keys: Vec<JobKey> = (0..32).map(|_| world.key(wall_ms)).collect();
    keys.iter().all(|key| started_by(world, key).len() == 1)
}

#[test]
fn a_domain_that_starts_together_serves_within_two_seconds() {
    for count in 1..=5 {
        let mut world = World::new(7, count, MembershipParams::default());
        world.run(2_000);
        assert_eq!(members(&world).len(), count);
        assert!(serves_all(&mut world), "{count} instances");
    }
}

#[test]
fn a_store_outage_of_ten_minutes_leaves_owners_in_place() {
    let mut world = settled(3);
    let writes = world.store.writes;
    world.store.down = true;
    world.run(600_000);
    assert!(serves_all(&mut world));
    let admitted = key_of(&mut world, 0, 0);
    assert_eq!(started_by(&mut world, &admitted).len(), 1);
    world.kill(0);
    world.run(10_000);
    let lost = key_of(&mut world, 0, 0);
    let kept = key_of(&mut world, 1, 0);
    assert_eq!(started_by(&mut world, &lost), []);
    assert_eq!(
        started_by(&mut world, &kept),
        [world.nodes[1].member.clone()]
    );
    assert_eq!(world.store.writes, writes);
    world.store.down = false;
    world.run(6_000);
    assert!(serves_all(&mut world));
    // Issued after the last time vouched to n0, so nobody can have started it.
    assert_eq!(started_by(&mut world, &lost).len(), 1);
    assert_eq!(started_by(&mut world, &admitted).len(), 1);
    assert_eq!(world.nodes[1].membership.route(&admitted), Route::OwnerLost);
}

#[test]
fn an_owner_frozen_between_check_and_start_stays_the_only_one() {
    let mut world = settled(3);
    let key = key_of(&mut world, 0, 0);
    world.submit(0, &key, 0);
    world.run(0);
    world.freeze(0, 15_000);
    for second in 0..20 {
        world.submit(1, &key, second * 1_000);
        world.submit(2, &key, second * 1_000);
    }
    world.run(10_000);
    assert_eq!(members(&world), ["n1#1", "n2#1"]);
    assert!(serves_all(&mut world));
    world.run(10_000);
    let starts = world.starts[&key].iter().cloned().collect::<Vec<_>>();
    assert_eq!(starts, [world.nodes[0].member.clone()]);
    world.run(6_000);
    assert_eq!(members(&world), ["n0#1", "n1#1", "n2#1"]);
}

#[test]
fn a_killed_owners_keys_are_lost_and_its_later_keys_served() {
    let mut world = settled(3);
    let key = key_of(&mut world, 0, 0);
    assert_eq!(started_by(&mut world, &key).len(), 1);
    world.kill(0);
    world.run(3_500);
    assert_eq!(members(&world), ["n1#1", "n2#1"]);
    assert!(serves_all(&mut world));
    for index in [1, 2] {
        assert_eq!(world.nodes[index].membership.route(&key), Route::OwnerLost);
    }
    world.restart(0);
    world.run(6_000);
    assert_eq!(members(&world), ["n0#2", "n1#1", "n2#1"]);
    assert!(serves_all(&mut world));
    assert_eq!(world.nodes[0].membership.route(&key), Route::OwnerLost);
    assert_eq!(world.starts[&key].len(), 1);
}

#[test]
fn an_instance_of_another_domain_knows_the_owner_and_its_loss() {
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
    let mut tell = |log: &ViewLog, revision| {
        let body = Body::View(log.to_record(DOMAIN, revision));
        let event = Event::Message {
            from: from.clone(),
            body,
        };
        entry.handle(Now::default(), event, &mut Vec::new());
        entry.route(&key)
    };
    assert_eq!(tell(&first, 5), Route::Peer(owner));
    assert_eq!(tell(&next, 9), Route::OwnerLost);
    // An older record that comes late changes nothing.
    assert_eq!(tell(&first, 5), Route::OwnerLost);
}

#[test]
fn a_lost_answer_to_a_write_is_settled_by_reading() {
    let mut world = settled(3);
    world.store.lost_percent = 100;
    world.kill(2);
    world.run(12_000);
    assert_eq!(members(&world), ["n0#1", "n1#1"]);
    let views = world.store.log.as_ref().map(ViewLog::version);
    assert!(serves_all(&mut world));
    assert_eq!(world.store.log.as_ref().map(ViewLog::version), views);
}

#[test]
fn instances_that_disagree_for_ten_seconds_change_nothing() {
    let mut world = settled(3);
    let views = world.store.writes;
    world.cuts.extend([(0, 1), (1, 0)]);
    world.run(10_000);
    assert_eq!(world.store.writes, views);
    for index in 0..3 {
        let key = key_of(&mut world, index, 0);
        world.submit(index, &key, 0);
        world.run(100);
        assert_eq!(world.starts.get(&key).map(|by| by.len()), Some(1));
    }
}

#[test]
fn a_leaver_hands_over_without_a_gap() {
    let mut world = settled(3);
    world.leave(0);
    for _ in 0..30 {
        assert!(serves_all(&mut world));
    }
    assert_eq!(members(&world), ["n1#1", "n2#1"]);
    assert!(!world.nodes[0].membership.in_newest_view());
}

#[test]
fn no_key_lies_between_a_leavers_last_one_and_the_next_view() {
    // Such a key is owned by the leaver, which may not admit it, and is refused
    // for good: a rolling restart beside load failed by one in 2 of 120 runs.
    for seed in 0..40 {
        let mut world = World::new(seed, 3, MembershipParams::default());
        world.run(6_000);
        // What was vouched for the leaver is on its way to it.
        world.network.delay_max_ms = 200;
        world.run(500);
        world.leave(0);
        world.run(3_000);
        let limit_ms = world.nodes[0].membership.admission_limit();
        let log = world.store.log.clone().expect("a record");
        let next = log.newest().expect("a view without the leaver");
        assert_eq!(next.members.len(), 2);
        assert_eq!(next.from_ms, limit_ms + 1, "seed {seed}");
    }
}

#[test]
fn a_domain_replaced_whole_serves_again() {
    let mut world = settled(3);
    let key = key_of(&mut world, 1, 0);
    assert_eq!(started_by(&mut world, &key).len(), 1);
    for index in 0..3 {
        world.restart(index);
    }
    world.run(20_000);
    assert_eq!(members(&world), ["n0#2", "n1#2", "n2#2"]);
    assert!(serves_all(&mut world));
    assert_eq!(started_by(&mut world, &key).len(), 1);
}

#[test]
fn the_record_stays_bounded_and_keys_of_dropped_views_are_lost() {
    let params = MembershipParams {
        key_window_ms: 5_000,
        ..MembershipParams::default()
    };
    let mut world = World::new(3, 3, params);
    world.run(6_000);
    let key = key_of(&mut world, 1, 0);
    for turn in 0..30 {
        world.restart(turn % 3);
        world.run(8_000);
    }
    let log = world.store.log.clone().expect("a record");
    assert!(log.version() > 50, "{} views", log.version());
    assert!(log.views().len() <= 8, "{} kept", log.views().len());
    assert_eq!(world.nodes[0].membership.route(&key), Route::OwnerLost);
}

#[test]
fn a_former_member_kept_alive_by_a_removed_one_is_not_replaced() {
    // n0 and n1 reach only each other; n2 and the store believe n1 gone. n0
    // still admits in the old view, by the vouch of n1, so n2 alone must not
    // take its keys.
    for (mutation, doubled) in [(None, false), (Some(Mutation::NewestViewOnly), true)] {
        let params = MembershipParams {
            mutation,
            ..MembershipParams::default()
        };
        let mut world = World::new(1, 3, params);
        world.platform_tells = false;
        world.run(6_000);
        for (a, b) in [(1, 2), (0, 2)] {
            world.cuts.extend([(a, b), (b, a)]);
        }
        world.store_cuts.extend([0, 1]);
        world.run(2_500);
        let log = world.store.log.clone().expect("a record");
        let stale = world.nodes[0].member.clone();
        let kept = vec![stale.clone(), world.nodes[2].member.clone()];
        let from_ms = world.wall_ms(2);
        world.store.log = Some(log.with_view(from_ms, kept));
        world.store.revision += 1;
        // Only n2 reads it.
        let read = Event::StoreRead {
            domain: DOMAIN.to_owned(),
            log: world.store.log.clone(),
            mod_revision: world.store.revision,
        };
        world.deliver(2, read);
        world.run(3_500);
        let key = key_as_known(&mut world, 0);
        for index in 0..3 {
            world.submit(index, &key, 0);
        }
        world.run(300);
        let by = world.starts.get(&key).map_or(0, |by| by.len());
        assert_eq!(by > 1, doubled, "{mutation:?}: {by} starts");
    }
}

/// A key of `owner` by the newest view that it knows.
fn key_as_known(world: &mut World, owner: usize) -> JobKey {
    let wall_ms = world.wall_ms(owner);
    let member = world.nodes[owner].member.clone();
    let known = world.nodes[owner].membership.view_log(DOMAIN);
    let view = known.and_then(|known| known.log.newest()).expect("a view");
    let view = view.clone();
    loop {
        let key = world.key(wall_ms);
        if view.owner(&key) == Some(&member) {
            return key;
        }
    }
}

#[test]
fn heartbeats_do_not_grow_with_the_fleet() {
    let sizes = [10_u64, 1_000].map(|others| {
        let domains = [DOMAIN.to_owned(), "b".to_owned()];
        let me = Member::new("m0", 1);
        let mut one = Membership::new(MembershipParams::default(), me, DOMAIN, &domains, "");
        let list = (0..others).map(|index| trefoil_core::membership::ListedInstance {
            member: Member::new(&format!("o{index:04}"), 1),
            domain: "b".to_owned(),
            address: String::new(),
            leaving: false,
        });
        let now = Now::default();
        one.handle(now, Event::PlatformList(list.collect()), &mut Vec::new());
        let mut commands = Vec::new();
        one.handle(
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
fn states_follow_heartbeats_and_the_platform() {
    let mut world = settled(3);
    let state = |world: &World| {
        let status = world.nodes[1].membership.status();
        let name = &world.nodes[0].member.name;
        status
            .into_iter()
            .find(|s| s.member.name == *name)
            .map(|s| s.state)
    };
    assert_eq!(state(&world), Some(PeerState::Serving));
    world.leave(0);
    world.run(500);
    assert_eq!(state(&world), Some(PeerState::Leaving));
    world.platform_tells = false;
    world.kill(0);
    world.run(3_000);
    assert_eq!(state(&world), Some(PeerState::Silent));
    let gone = world.nodes[0].member.clone();
    world.deliver(1, Event::ConnectionRefused(gone));
    assert_eq!(state(&world), Some(PeerState::Gone));
}
