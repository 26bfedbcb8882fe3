//! Entries that another writer left among the backend servers and the instances: deeply nested,
//! with numbers that are too large, or with addresses that cannot be. The processes are built with
//! overflow checks.

use std::time::Duration;

use bytes::Bytes;
use serde_json::json;
use tokio::time::sleep;
use trefoil_fakes::platform::INSTANCE_LIST_PREFIX;
use trefoil_schema::settings::{PlatformSettings, Settings};
use trefoilbay::sources::platform::etcd::EtcdClient;
use trefoilbay::sources::platform::{CasResult, PlatformStore};

use crate::support::deployment::{DOMAINS, Deployment, DeploymentOptions};

/// In which the list of instances is read several times.
const LIST_READS: Duration = Duration::from_millis(1000);
const NUMBERS: [&str; 8] = [
    "4294967295",
    "4294967296",
    "18446744073709551615",
    "18446744073709551616",
    "1e19",
    "1e400",
    "-1",
    "0.5",
];
const ADDRESSES: [&str; 4] = ["127.0.0.1:99999", "127.0.0.1:-1", "127.0.0.1:0", ":"];

/// Odd variants of an entry with this text, by the fields that hold numbers and addresses.
fn odd_variants(entry: &str, numbers: &[&str], addresses: &[&str]) -> Vec<String> {
    let mut variants = Vec::new();
    let mut replace = |field: &str, value: &str| {
        let mut parsed: serde_json::Value = serde_json::from_str(entry).unwrap();
        let holder = match parsed.get("spec") {
            Some(_) => &mut parsed["spec"],
            None => &mut parsed,
        };
        holder[field] = json!("REPLACED");
        variants.push(parsed.to_string().replace("\"REPLACED\"", value));
    };
    for field in numbers {
        NUMBERS.iter().for_each(|number| replace(field, number));
    }
    for field in addresses {
        for address in ADDRESSES {
            replace(field, &format!("\"{address}\""));
        }
    }
    for levels in [100, 128, 10_000] {
        let nested = "[".repeat(levels) + &"]".repeat(levels);
        for field in numbers.iter().chain(addresses).chain(&["unknown"]) {
            replace(field, &nested);
        }
    }
    variants.push("[".repeat(10_000));
    variants.push("{\"a\":".repeat(10_000) + "1" + &"}".repeat(10_000));
    variants
}

fn store_of(deployment: &Deployment) -> EtcdClient {
    EtcdClient::new(&Settings {
        platform: PlatformSettings {
            address: deployment.platform.address.to_string(),
            ..PlatformSettings::default()
        },
        ..Settings::default()
    })
}

/// Writes a key that was last changed at this revision. Returns the revision of the write.
async fn put(store: &EtcdClient, key: &str, value: &str, revision: u64) -> u64 {
    let value = Bytes::from(value.to_owned());
    match store.put_if(key, value, revision).await.unwrap() {
        CasResult::Applied { revision } => revision,
        conflict => panic!("{key}: {conflict:?}"),
    }
}

/// Creates a team, and waits until it is in force at all instances.
async fn wait_until_followed(deployment: &mut Deployment, team: &str) {
    let before = deployment.status(0).await.unwrap()["config_revision"].clone();
    let team = json!({"kind": "team", "name": team, "spec": {"weight": 1}});
    assert!((200..300).contains(&deployment.try_create(0, &team).await));
    let after = before.as_u64().unwrap() + 1;
    deployment.wait_for_common_revision(after).await;
    for instance in &mut deployment.instances {
        assert!(instance.id().is_some(), "an instance has ended");
    }
}

// Guards against instances that end, or stop following their store, at an odd entry among many or
// alone, under a new name or under that of a live server.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn odd_entries_of_another_writer_do_no_harm() {
    let mut deployment = Deployment::start(DeploymentOptions::default()).await;
    let store = store_of(&deployment);
    let listing = store.range("/trefoilbay/").await.unwrap();
    let live_name = format!("{}-0", DOMAINS[0]);
    let mut keys = listing.keys.into_iter();
    let live = keys.find(|kv| kv.key.ends_with(&live_name)).unwrap();
    let text = std::str::from_utf8(&live.value).unwrap().to_owned();
    let servers = odd_variants(&text, &["slots"], &["address"]);
    let listing = store.range(INSTANCE_LIST_PREFIX).await.unwrap();
    let instance = std::str::from_utf8(&listing.keys[0].value).unwrap();
    let instances = odd_variants(
        instance,
        &["incarnation"],
        &["http_address", "peer_address"],
    );
    let mut revision = live.revision;
    for (number, entry) in servers.iter().enumerate() {
        let name = format!("odd-{number}");
        let key = live.key.replace(&live_name, &name);
        // A name that the text does not have would make each entry odd in that alone.
        put(&store, &key, &entry.replace(&live_name, &name), 0).await;
        revision = put(&store, &live.key, entry, revision).await;
        if number % 10 == 0 {
            wait_until_followed(&mut deployment, &format!("servers-{number}")).await;
        }
    }
    put(&store, &live.key, &text, revision).await;
    for (number, entry) in instances.iter().enumerate() {
        let key = format!("{INSTANCE_LIST_PREFIX}odd-{number}");
        put(&store, &key, entry, 0).await;
    }
    wait_until_followed(&mut deployment, "instances").await;
    // The list is read while an instance is missing.
    deployment.instances[2].kill();
    sleep(LIST_READS).await;
    let live = &listing.keys[0];
    let mut revisions = (live.revision, 0);
    let alone = format!("{INSTANCE_LIST_PREFIX}odder");
    for entry in &instances {
        revisions.1 = put(&store, &alone, entry, revisions.1).await;
        sleep(LIST_READS / 4).await;
        revisions.0 = put(&store, &live.key, entry, revisions.0).await;
    }
    put(&store, &live.key, instance, revisions.0).await;
    sleep(LIST_READS).await;
    deployment.wait_until_serving().await;
    for instance in &mut deployment.instances[..2] {
        assert!(instance.id().is_some(), "an instance has ended");
    }
}
