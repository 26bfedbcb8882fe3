//! Links and watched pools in large deployments.

use std::collections::{BTreeMap, BTreeSet};

use trefoil_core::dispatch::ownership::{ClaimRecord, Command, Ownership};
use trefoil_core::dispatch::pool;
use trefoil_schema::dispatch::{Claim, Node};

const DOMAINS: [&str; 3] = ["bergen-a", "bergen-b", "forde"];
const POOLS: u32 = 17;

fn node(number: usize) -> Node {
    Node {
        name: format!("entry-{number}"),
        incarnation: 1 + number as u64,
        failure_domain: DOMAINS[number % DOMAINS.len()].to_owned(),
        address: "127.0.0.1:1".to_owned(),
        weight_millicores: 250,
    }
}

/// The owner of a pool: an instance of its failure domain.
fn owner_of(domain: usize, index: u32) -> Node {
    node(domain + DOMAINS.len() * index as usize)
}

fn claims() -> Vec<Claim> {
    let claim = |domain: usize, index: u32| Claim {
        pool: pool::name(DOMAINS[domain], index),
        failure_domain: DOMAINS[domain].to_owned(),
        term: 1,
        owner: Some(owner_of(domain, index)),
    };
    let domains = 0..DOMAINS.len();
    domains
        .flat_map(|domain| (0..POOLS).map(move |index| claim(domain, index)))
        .collect()
}

/// An instance of a deployment of `count` instances that has read the store.
fn instance(me: usize, count: usize, claims: &[Claim]) -> Ownership {
    let mut ownership = Ownership::new(0, node(me));
    for domain in DOMAINS {
        ownership.set_pool_count(domain, POOLS);
    }
    ownership.set_listed_instances(0, (0..count).map(node).collect());
    for claim in claims {
        let record = ClaimRecord {
            claim: claim.clone(),
            roster: None,
        };
        ownership.learn_stored_claim(0, record, 1, &mut Vec::new());
    }
    ownership
}

fn names(nodes: &[&Node]) -> Vec<String> {
    nodes.iter().map(|node| node.name.clone()).collect()
}

#[test]
fn small_deployment_is_a_full_mesh() {
    let mut ownership = instance(7, 36, &[]);
    ownership.set_listed_instances(700, (0..36).map(node).collect());
    assert_eq!(ownership.desired_peers().len(), 35);
    assert!(ownership.is_linked_to_owners());
}

#[test]
fn number_of_an_owners_links_does_not_grow_with_the_deployment() {
    for count in [300, 1200] {
        let claims = claims();
        let mut links: BTreeMap<String, usize> = BTreeMap::new();
        for me in 0..count {
            let ownership = instance(me, count, &claims);
            let wanted = names(&ownership.desired_peers());
            assert!((1..=6 + 3).contains(&wanted.len()), "{wanted:?}");
            for name in wanted {
                *links.entry(name).or_default() += 1;
            }
        }
        let owners = DOMAINS.len() * POOLS as usize;
        assert_eq!(links.len(), owners, "every owner has links");
        let most = links.values().max().unwrap();
        let mean = links.values().sum::<usize>() / owners;
        assert!(*most < 2 * mean, "{most} against {mean}");
    }
}

#[test]
fn instance_is_linked_to_owners_once_all_desired_links_are_up() {
    let mut ownership = instance(200, 300, &claims());
    assert!(!ownership.is_linked_to_owners());
    let wanted: Vec<Node> = ownership.desired_peers().into_iter().cloned().collect();
    for node in &wanted {
        ownership.on_link_up(10, node);
    }
    assert!(ownership.is_linked_to_owners());
    ownership.on_link_down(20, &wanted[0].name);
    assert!(!ownership.is_linked_to_owners());
}

/// Pools that an instance claims within four seconds, if no claim succeeds.
fn claimed(ownership: &mut Ownership) -> Vec<String> {
    let mut pools = Vec::new();
    for now_ms in (0..4000).step_by(25) {
        let mut out = Vec::new();
        ownership.tick(now_ms, &mut out);
        for command in out {
            if let Command::WriteClaim { record, .. } = command {
                let write = trefoil_core::dispatch::ownership::ClaimWriteOutcome::Conflict;
                ownership.on_claim_written(now_ms, &record, &write, &mut Vec::new());
                pools.push(record.claim.pool);
            }
        }
    }
    pools.sort();
    pools.dedup();
    pools
}

#[test]
fn unwatched_pools_are_not_claimed_while_their_owners_are_listed() {
    let mut ownership = instance(200, 300, &claims());
    // No link is up, so the owners of the watched pools are considered lost.
    assert_eq!(claimed(&mut ownership).len(), 4);
}

/// An instance of the failure domain of `forde/0` that does not watch this pool.
fn non_watcher(count: usize) -> (usize, Ownership) {
    let vacant = pool::name("forde", 0);
    let candidates = (200..count).step_by(DOMAINS.len());
    let mut non_watchers = candidates.map(|me| (me, instance(me, count, &claims())));
    let is_non_watcher =
        |(_, ownership): &(usize, Ownership)| !ownership.local_pools().contains(&vacant);
    non_watchers
        .find(is_non_watcher)
        .expect("most watch others")
}

#[test]
fn vacant_pool_is_left_to_its_watchers() {
    let (_, mut ownership) = non_watcher(300);
    let remaining = (0..300).filter(|number| *number != 2).map(node);
    ownership.set_listed_instances(1, remaining.collect());
    let vacant = pool::name("forde", 0);
    assert_eq!(owner_of(2, 0), node(2));
    assert!(!claimed(&mut ownership).contains(&vacant));
}

#[test]
fn vacant_pool_without_watchers_is_claimed_by_another_instance() {
    let (me, mut ownership) = non_watcher(300);
    // No other instance of the failure domain remains.
    let remaining = (0..300).filter(|number| number % DOMAINS.len() != 2 || *number == me);
    ownership.set_listed_instances(1, remaining.map(node).collect());
    let vacant = pool::name("forde", 0);
    let claimed = claimed(&mut ownership);
    assert!(claimed.contains(&vacant), "{me} {claimed:?}");
}

#[test]
fn instances_that_know_no_owner_link_with_a_few_different_peers() {
    // All instances start at once and no pool has an owner.
    let mut links: BTreeMap<String, usize> = BTreeMap::new();
    for me in 0..300 {
        let mut ownership = instance(me, 300, &[]);
        ownership.set_listed_instances(700, (0..300).map(node).collect());
        let names = names(&ownership.desired_peers());
        assert_eq!(names.len(), 3);
        for name in names {
            *links.entry(name).or_default() += 1;
        }
    }
    assert!(*links.values().max().unwrap() <= 12, "{links:?}");
}

#[test]
fn growing_list_is_not_taken_for_a_small_deployment() {
    let mut ownership = instance(200, 20, &[]);
    assert!(ownership.desired_peers().is_empty());
    ownership.set_listed_instances(700, (0..40).map(node).collect());
    assert!(ownership.desired_peers().is_empty());
    ownership.set_listed_instances(1400, (0..40).map(node).collect());
    assert_eq!(ownership.desired_peers().len(), 40);
}

#[test]
fn owners_in_use_do_not_change_as_further_owners_are_learned() {
    // Owners are learned one by one while the deployment starts.
    let mut claims = claims();
    claims.sort_by_key(|claim| std::cmp::Reverse(claim.pool.clone()));
    let all = instance(200, 300, &claims);
    let used = names(&all.desired_peers());
    for known in 1..claims.len() {
        let ownership = instance(200, 300, &claims[..known]);
        let desired = names(&ownership.desired_peers());
        let knows_owner = desired.iter().any(|name| used.contains(name));
        let others = desired.iter().filter(|name| !used.contains(name));
        assert!(!knows_owner || others.count() == 0, "{known} known");
    }
}

#[test]
fn owner_knows_the_instances_that_use_its_pool() {
    let claims = claims();
    let owner = instance(0, 300, &claims);
    let of_its_domain = claims
        .iter()
        .filter(|claim| claim.failure_domain == DOMAINS[0]);
    for claim in of_its_domain.step_by(3) {
        let known = names(&owner.users_of(&claim.pool));
        for me in (1..300).step_by(5) {
            let user = instance(me, 300, &claims);
            let pool_owner = claim.owner.as_ref().unwrap();
            let uses = names(&user.desired_peers()).contains(&pool_owner.name);
            let name = node(me).name;
            assert!(!uses || known.contains(&name), "{name} {}", claim.pool);
        }
        assert!(known.len() <= 60, "{} users of {}", known.len(), claim.pool);
    }
}

#[test]
fn an_entry_links_with_the_next_owner_of_a_pool_that_its_jobs_wait_for() {
    let claims = claims();
    let mut ownership = instance(100, 236, &claims);
    let before = names(&ownership.desired_peers());
    // Of a local and of a remote pool that the instance does not use.
    for (domain, name) in DOMAINS.iter().enumerate() {
        let is_unused = |index: &u32| !before.contains(&owner_of(domain, *index).name);
        let index = (0..POOLS).find(is_unused).unwrap();
        let pool = pool::name(name, index);
        ownership.set_awaited_pools(BTreeSet::from([pool.clone()]));
        let desired = names(&ownership.desired_peers());
        assert!(desired.contains(&owner_of(domain, index).name), "{pool}");
        assert_eq!(desired.len(), before.len() + 1);
        assert!(!ownership.is_linked_to_owners(), "the store is read");
    }
    ownership.set_awaited_pools(BTreeSet::new());
    assert_eq!(names(&ownership.desired_peers()), before);
}

#[test]
fn every_pool_is_watched_by_some_of_the_strongest_instances() {
    // A tenth of the instances has eight times the CPU of the others.
    let strong = |number: usize| number.is_multiple_of(10);
    let weighted = |number: usize| Node {
        weight_millicores: if strong(number) { 1000 } else { 120 },
        ..node(number)
    };
    let count = 300;
    let mut watchers: BTreeMap<String, usize> = BTreeMap::new();
    let mut most = 0;
    for me in (2..count).step_by(DOMAINS.len()).filter(|&me| strong(me)) {
        let mut ownership = Ownership::new(0, weighted(me));
        ownership.set_pool_count("forde", POOLS);
        ownership.set_listed_instances(0, (0..count).map(weighted).collect());
        let watched = ownership.local_pools();
        most = most.max(watched.len());
        for name in watched {
            *watchers.entry(name).or_default() += 1;
        }
    }
    assert_eq!(watchers.len(), POOLS as usize, "{watchers:?}");
    assert!(watchers.values().all(|&count| count >= 2), "{watchers:?}");
    assert!(most <= 4 + 2 * 6, "{most} pools watched by one instance");
}

#[test]
fn instance_that_joins_a_small_deployment_links_with_all_at_once() {
    let mut claims = claims();
    claims.retain(|claim| {
        claim
            .owner
            .as_ref()
            .is_some_and(|node| node.incarnation <= 36)
    });
    let ownership = instance(7, 36, &claims);
    assert_eq!(ownership.desired_peers().len(), 35);
}

#[test]
fn two_instances_of_each_failure_domain_have_the_lowest_ranks() {
    // After a simultaneous start only these read the registry to create pools.
    let ranks = (0..300).map(|me| instance(me, 300, &[]).rank_in_domain());
    let first = ranks.filter(|rank| *rank < 2).count();
    assert_eq!(first, 2 * DOMAINS.len());
}
