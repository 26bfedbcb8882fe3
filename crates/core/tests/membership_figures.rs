//! Message cost of membership, and how long keys remain unserved after faults. The
//! figures are printed with `--nocapture`.

mod history_support;

use history_support::{DOMAIN, EPOCH_MS, Network, RELIABLE, Simulation};
use prost::Message;
use trefoil_core::key::JobKey;
use trefoil_core::membership::{Command, Event, ListedInstance, Membership, MembershipParams};
use trefoil_core::time::Now;
use trefoil_core::view::Member;
use trefoil_schema::peer;

const SEEDS: u64 = 40;
/// How long a caller retries a key.
const RETRY_FOR_MS: u64 = 500;

/// Number of keys that were not started after `event`, and the time from the event to the
/// issue of the last one.
fn unserved_after(event: fn(&mut Simulation), seed: u64) -> (usize, u64) {
    let mut sim = Simulation::new(seed, 3, MembershipParams::default());
    sim.network = Network {
        delay_max_ms: 5,
        ..RELIABLE
    };
    sim.run(6_000 + seed * 7);
    let event_ms = sim.now_ms;
    event(&mut sim);
    let mut keys = Vec::new();
    for number in 0..200 {
        let key = sim.key(EPOCH_MS + sim.now_ms);
        let mut entries = sim.alive();
        entries.retain(|index| sim.nodes[*index].frozen_until_ms <= sim.now_ms);
        let entry = entries[number % entries.len()];
        for attempt in 0..=RETRY_FOR_MS / 50 {
            sim.submit(entry, &key, attempt * 50);
        }
        keys.push(key);
        sim.run(50);
    }
    sim.run(RETRY_FOR_MS + 100);
    let refused = |key: &&JobKey| !sim.starts.contains_key(*key);
    let refused: Vec<&JobKey> = keys.iter().filter(refused).collect();
    let last_ms = refused.iter().map(|key| key.issued_ms() - EPOCH_MS).max();
    let age_ms = last_ms.map_or(0, |last_ms| last_ms - event_ms);
    (refused.len(), age_ms)
}

fn summary(name: &str, event: fn(&mut Simulation)) -> (usize, u64) {
    let outcomes: Vec<(usize, u64)> = (1..=SEEDS)
        .map(|seed| unserved_after(event, seed))
        .collect();
    let refused: usize = outcomes.iter().map(|outcome| outcome.0).sum();
    let worst_ms = outcomes.iter().map(|outcome| outcome.1).max().unwrap_or(0);
    let keys = SEEDS * 200;
    println!("{name}: {refused} of {keys} keys refused, the last issued {worst_ms} ms after it");
    (refused, worst_ms)
}

#[test]
fn keys_are_unserved_for_a_bounded_time() {
    assert_eq!(summary("nothing", |_| {}), (0, 0));
    assert_eq!(summary("planned leave", |sim| sim.leave(0)), (0, 0));
    let (_, killed_ms) = summary("kill", |sim| sim.kill(0));
    assert!(killed_ms <= 2_500);
    let (_, restarted_ms) = summary("kill and restart at once", |sim| sim.restart(0));
    assert!(restarted_ms <= 2_500);
    let (_, frozen_ms) = summary("freeze of 5 s", |sim| sim.freeze(0, 5_000));
    assert!(frozen_ms <= 2_500);
    assert_eq!(summary("store down", |sim| sim.store.down = true), (0, 0));
}

/// Messages and bytes sent per heartbeat interval, with `others` instances in another
/// domain.
fn period_cost(others: usize) -> (usize, usize) {
    let domains = [DOMAIN.to_owned(), "b".to_owned()];
    let me = Member::new("entry-a-1", 1_700_000_000_000);
    let address = "127.0.0.1:17401";
    let mut membership =
        Membership::new(MembershipParams::default(), me, DOMAIN, &domains, address);
    let listed = |name: String, domain: &str| ListedInstance {
        member: Member::new(&name, 1_700_000_000_000),
        domain: domain.to_owned(),
        address: address.to_owned(),
        leaving: false,
    };
    let near = (2..=3).map(|index| listed(format!("entry-a-{index}"), DOMAIN));
    let far = (0..others).map(|index| listed(format!("entry-b-{index:04}"), "b"));
    let list = near.chain(far).collect();
    membership.handle(Now::default(), Event::PlatformList(list), &mut Vec::new());
    let mut commands = Vec::new();
    let tick = Event::Tick {
        entropy: 0x1234_5678,
    };
    membership.handle(Now::default(), tick, &mut commands);
    let sent = commands.into_iter().filter_map(|command| match command {
        Command::Send { body, .. } => Some(
            peer::Message {
                body: Some(body),
                ..peer::Message::default()
            }
            .encoded_len(),
        ),
        _ => None,
    });
    let sizes: Vec<usize> = sent.collect();
    (sizes.len(), sizes.iter().sum())
}

#[test]
fn heartbeat_cost_does_not_depend_on_the_number_of_instances() {
    let costs = [20, 200, 2_000].map(|others| (others, period_cost(others)));
    for (others, (messages, bytes)) in costs {
        println!("{others} others: {messages} messages, {bytes} bytes per interval");
        assert_eq!((messages, bytes), costs[0].1);
    }
}
