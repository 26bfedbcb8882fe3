//! What membership costs, and for how long keys go unserved; printed with
//! `--nocapture` and held to bounds.

mod history_support;

use history_support::{CALM, DOMAIN, EPOCH_MS, Network, World};
use prost::Message;
use trefoil_core::key::JobKey;
use trefoil_core::membership::{Command, Event, ListedInstance, Membership, MembershipParams};
use trefoil_core::time::Now;
use trefoil_core::view::Member;
use trefoil_schema::peer;

const SEEDS: u64 = 40;
/// How long a caller goes on trying one key.
const PATIENCE_MS: u64 = 500;

/// Keys refused after an event at second six, and the age of the last of them.
fn refused_after(event: fn(&mut World), seed: u64) -> (usize, u64) {
    let mut world = World::new(seed, 3, MembershipParams::default());
    world.network = Network {
        delay_max_ms: 5,
        ..CALM
    };
    world.run(6_000 + seed * 7);
    let began_ms = world.now_ms;
    event(&mut world);
    let mut keys = Vec::new();
    for turn in 0..200 {
        let key = world.key(EPOCH_MS + world.now_ms);
        let mut entries = world.alive();
        entries.retain(|index| world.nodes[*index].frozen_until_ms <= world.now_ms);
        let entry = entries[turn % entries.len()];
        for attempt in 0..=PATIENCE_MS / 50 {
            world.submit(entry, &key, attempt * 50);
        }
        keys.push(key);
        world.run(50);
    }
    world.run(PATIENCE_MS + 100);
    let refused = |key: &&JobKey| !world.starts.contains_key(*key);
    let refused: Vec<&JobKey> = keys.iter().filter(refused).collect();
    let last_ms = refused.iter().map(|key| key.issued_ms() - EPOCH_MS).max();
    let age_ms = last_ms.map_or(0, |last_ms| last_ms - began_ms);
    (refused.len(), age_ms)
}

fn summary(name: &str, event: fn(&mut World)) -> (usize, u64) {
    let outcomes: Vec<(usize, u64)> = (1..=SEEDS).map(|seed| refused_after(event, seed)).collect();
    let refused: usize = outcomes.iter().map(|outcome| outcome.0).sum();
    let worst_ms = outcomes.iter().map(|outcome| outcome.1).max().unwrap_or(0);
    let keys = SEEDS * 200;
    println!("{name}: {refused} of {keys} keys refused, the last issued {worst_ms} ms after it");
    (refused, worst_ms)
}

#[test]
fn keys_go_unserved_for_a_bounded_time() {
    assert_eq!(summary("nothing", |_| {}), (0, 0));
    assert_eq!(summary("planned leave", |world| world.leave(0)), (0, 0));
    let (_, killed_ms) = summary("kill", |world| world.kill(0));
    assert!(killed_ms <= 2_500);
    let (_, restarted_ms) = summary("kill and restart at once", |world| world.restart(0));
    assert!(restarted_ms <= 2_500);
    let (_, frozen_ms) = summary("freeze of 5 s", |world| world.freeze(0, 5_000));
    assert!(frozen_ms <= 2_500);
    assert_eq!(
        summary("store down", |world| world.store.down = true),
        (0, 0)
    );
}

/// Bytes and messages of one heartbeat period for `others` in another domain.
fn period_cost(others: usize) -> (usize, usize) {
    let domains = [DOMAIN.to_owned(), "b".to_owned()];
    let me = Member::new("entry-a-1", 1_700_000_000_000);
    let address = "127.0.0.1:17401";
    let mut one = Membership::new(MembershipParams::default(), me, DOMAIN, &domains, address);
    let listed = |name: String, domain: &str| ListedInstance {
        member: Member::new(&name, 1_700_000_000_000),
        domain: domain.to_owned(),
        address: address.to_owned(),
        leaving: false,
    };
    let near = (2..=3).map(|index| listed(format!("entry-a-{index}"), DOMAIN));
    let far = (0..others).map(|index| listed(format!("entry-b-{index:04}"), "b"));
    let list = near.chain(far).collect();
    one.handle(Now::default(), Event::PlatformList(list), &mut Vec::new());
    let mut commands = Vec::new();
    let tick = Event::Tick {
        entropy: 0x1234_5678,
    };
    one.handle(Now::default(), tick, &mut commands);
    let sent = commands.into_iter().filter_map(|command| match command {
        Command::Send { body, .. } => Some(peer::Message { body: Some(body) }.encoded_len()),
        _ => None,
    });
    let sizes: Vec<usize> = sent.collect();
    (sizes.len(), sizes.iter().sum())
}

#[test]
fn the_cost_of_a_period_is_flat_in_the_fleet() {
    let costs = [20, 200, 2_000].map(|others| (others, period_cost(others)));
    for (others, (messages, bytes)) in costs {
        println!("{others} others: {messages} messages, {bytes} bytes a period");
        assert_eq!((messages, bytes), costs[0].1);
    }
}
