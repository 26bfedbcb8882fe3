//! Transfer of declarations between a receiver and peers, without a network.

use std::collections::VecDeque;

use arbtest::arbtest;
use bytes::Bytes;
use trefoil_core::dispatch::declaration_transfer::{
    CHUNK_BYTES, DeclarationReceiver, DeclarationSender, EncodedDeclarations,
    FIRST_SOURCE_PATIENCE_MS, FirstSource, RECEIVERS_MAX, ReceivedPart, STALL_TIMEOUT_MS,
};
use trefoil_core::dispatch::link::LinkId;
use trefoil_schema::dispatch::{ConfigPush, ConfigRequest};

/// Revision of the receiver's declarations.
const OLD_REVISION: u64 = 1;
const BODY_BYTES: usize = 300_000;
const CHUNKS: usize = BODY_BYTES.div_ceil(CHUNK_BYTES as usize);

fn declarations(revision: u64) -> EncodedDeclarations {
    let bytes: Vec<u8> = (0..BODY_BYTES)
        .map(|index| (index as u64 * 31 + revision) as u8)
        .collect();
    EncodedDeclarations::new(revision, bytes.into())
}

fn announce(
    receiver: &mut DeclarationReceiver,
    now_ms: u64,
    link: LinkId,
) -> Option<ConfigRequest> {
    let response = receiver.on_announced(now_ms, link, OLD_REVISION, FirstSource::Peers);
    response.request
}

/// Passes requests and parts between a receiver and a sender until `parts_max` parts have been
/// received or the body is complete. Returns the body and the number of parts.
fn transfer(
    receiver: &mut DeclarationReceiver,
    link: LinkId,
    sender: &mut DeclarationSender,
    mut newest: impl FnMut(usize) -> EncodedDeclarations,
    first: ConfigRequest,
    parts_max: usize,
) -> (Option<Bytes>, usize) {
    let mut requests = VecDeque::from([first]);
    for parts in 0..parts_max {
        let Some(request) = requests.pop_front() else {
            return (None, parts);
        };
        let part = sender.on_request(0, link, &request, &newest(parts));
        match receiver.on_part(0, link, &part.unwrap(), OLD_REVISION) {
            ReceivedPart::Complete(body) => return (Some(body), parts + 1),
            ReceivedPart::Incomplete(more) => requests.extend(more),
        }
    }
    (None, parts_max)
}

#[test]
fn a_small_deployment_prefers_the_store_while_it_serves() {
    let mut receiver = DeclarationReceiver::default();
    let announced = |receiver: &mut DeclarationReceiver, now_ms, link| {
        let response = receiver.on_announced(now_ms, link, OLD_REVISION, FirstSource::Store);
        (response.reads_store, response.request.is_some())
    };
    assert_eq!(announced(&mut receiver, 0, 1), (true, false));
    assert_eq!(
        announced(&mut receiver, FIRST_SOURCE_PATIENCE_MS - 1, 1),
        (false, false)
    );
    assert_eq!(
        announced(&mut receiver, FIRST_SOURCE_PATIENCE_MS, 1),
        (false, true)
    );
    // Peers are asked at once while reads fail.
    let mut receiver = DeclarationReceiver::default();
    receiver.on_store_read(false);
    assert_eq!(announced(&mut receiver, 0, 1), (true, true));
    receiver.on_in_force(2);
    receiver.on_store_read(true);
    assert_eq!(announced(&mut receiver, 1, 1), (true, false));
}

/// If all instances of a large deployment read a large configuration from the store at the same
/// time, each of them receives it late.
#[test]
fn a_large_deployment_reads_the_store_only_if_no_peer_sends() {
    let mut receiver = DeclarationReceiver::default();
    let reads_store = |receiver: &mut DeclarationReceiver, now_ms, link| {
        let response = receiver.on_announced(now_ms, link, OLD_REVISION, FirstSource::Peers);
        response.reads_store
    };
    // A peer sends for longer than the patience.
    let request = announce(&mut receiver, 0, 1).unwrap();
    let part = DeclarationSender::default().on_request(0, 1, &request, &declarations(2));
    receiver.on_part(
        FIRST_SOURCE_PATIENCE_MS - 1,
        1,
        &part.unwrap(),
        OLD_REVISION,
    );
    assert!(!reads_store(&mut receiver, FIRST_SOURCE_PATIENCE_MS, 2));
    // It stops.
    let stopped_ms = FIRST_SOURCE_PATIENCE_MS - 1 + STALL_TIMEOUT_MS;
    assert!(!reads_store(&mut receiver, stopped_ms - 1, 2));
    assert!(reads_store(&mut receiver, stopped_ms, 2));
    assert!(!reads_store(&mut receiver, stopped_ms, 3), "read once");
    // The next change is a new case.
    receiver.on_in_force(2);
    assert!(!reads_store(&mut receiver, stopped_ms, 2));
}

#[test]
fn another_peer_continues_where_a_silent_one_stopped() {
    let body = declarations(2);
    let mut receiver = DeclarationReceiver::default();
    let request = announce(&mut receiver, 0, 1).unwrap();
    let mut sender = DeclarationSender::default();
    let newest = |_| body.clone();
    let (received, _) = transfer(&mut receiver, 1, &mut sender, newest, request, 5);
    assert_eq!(received, None);
    assert_eq!(announce(&mut receiver, STALL_TIMEOUT_MS - 1, 2), None);
    assert_eq!(
        announce(&mut receiver, STALL_TIMEOUT_MS, 1),
        None,
        "it was silent"
    );
    let request = announce(&mut receiver, STALL_TIMEOUT_MS, 2).unwrap();
    assert_eq!(request.offset, 5 * CHUNK_BYTES);
    let mut sender = DeclarationSender::default();
    let (received, parts) = transfer(&mut receiver, 2, &mut sender, newest, request, CHUNKS);
    assert_eq!(received.map(|body| body.len()), Some(BODY_BYTES));
    assert_eq!(parts, CHUNKS - 5);
}

#[test]
fn a_different_body_is_received_from_its_start() {
    let mut receiver = DeclarationReceiver::default();
    let request = announce(&mut receiver, 0, 1).unwrap();
    let mut sender = DeclarationSender::default();
    transfer(
        &mut receiver,
        1,
        &mut sender,
        |_| declarations(2),
        request,
        5,
    );
    receiver.on_link_closed(1);
    let request = announce(&mut receiver, 1, 2).unwrap();
    let mut sender = DeclarationSender::default();
    let newest = |_| declarations(3);
    let (received, parts) = transfer(&mut receiver, 2, &mut sender, newest, request, 2 * CHUNKS);
    assert!(received.is_some());
    assert_eq!(parts, CHUNKS);
}

/// Otherwise a receiver whose transfer takes longer than the interval between two changes
/// would never complete one.
#[test]
fn a_body_is_completed_while_declarations_change() {
    let mut receiver = DeclarationReceiver::default();
    let request = announce(&mut receiver, 0, 1).unwrap();
    let mut sender = DeclarationSender::default();
    let newest = |parts| declarations(2 + parts as u64);
    let (received, parts) = transfer(&mut receiver, 1, &mut sender, newest, request, 2 * CHUNKS);
    assert!(received.is_some());
    assert_eq!(parts, CHUNKS);
}

#[test]
fn a_busy_sender_turns_receivers_away() {
    let body = declarations(2);
    let mut sender = DeclarationSender::default();
    let mut receivers: Vec<_> = (0..=RECEIVERS_MAX)
        .map(|_| DeclarationReceiver::default())
        .collect();
    for (link, receiver) in (1..).zip(&mut receivers) {
        let request = announce(receiver, 0, link).unwrap();
        let part = sender.on_request(0, link, &request, &body).unwrap();
        receiver.on_part(0, link, &part, OLD_REVISION);
    }
    let refused = &mut receivers[RECEIVERS_MAX];
    let link = RECEIVERS_MAX as LinkId + 1;
    assert_eq!(
        announce(refused, STALL_TIMEOUT_MS - 1, link),
        None,
        "asked again at once"
    );
    assert!(announce(refused, STALL_TIMEOUT_MS - 1, link + 1).is_some());
    // The others are served on, and a transfer that ends makes room.
    sender.on_link_closed(1);
    let request = announce(&mut DeclarationReceiver::default(), 0, link).unwrap();
    let part = sender.on_request(0, link, &request, &body).unwrap();
    assert_eq!(part.body.len() as u64, CHUNK_BYTES);
}

/// In a rolling upgrade, instances of both releases exchange declarations.
#[test]
fn releases_with_whole_bodies_are_understood() {
    let body = declarations(2);
    let old_request = ConfigRequest {
        revision: OLD_REVISION,
        ..ConfigRequest::default()
    };
    let mut sender = DeclarationSender::default();
    let whole = sender.on_request(0, 1, &old_request, &body).unwrap();
    assert_eq!((whole.body.len(), whole.total_bytes), (BODY_BYTES, 0));
    let mut receiver = DeclarationReceiver::default();
    announce(&mut receiver, 0, 1).unwrap();
    let old_push = ConfigPush {
        revision: 2,
        body: whole.body.clone(),
        ..ConfigPush::default()
    };
    let received = receiver.on_part(0, 1, &old_push, OLD_REVISION);
    assert_eq!(received, ReceivedPart::Complete(whole.body));
}

/// Peers announce, fall silent and come into force of newer declarations at random. At any
/// time at most one of them sends, and the receiver completes a body.
#[test]
fn declarations_are_received_whatever_peers_do() {
    const PEERS: LinkId = 4;
    arbtest(|choices| {
        let mut receiver = DeclarationReceiver::default();
        let mut senders: Vec<_> = (0..PEERS).map(|_| DeclarationSender::default()).collect();
        let mut revision = 2;
        let mut in_flight: VecDeque<(LinkId, ConfigRequest)> = VecDeque::new();
        let mut now_ms = 0;
        // Later all peers answer.
        for step in 0..2000 {
            now_ms += 10;
            let is_calm = step > 1000 || choices.is_empty();
            if !is_calm && choices.ratio(1, 50)? {
                revision += 1;
            }
            let link = match is_calm {
                true => step % PEERS,
                false => choices.int_in_range(0..=PEERS - 1)?,
            };
            if let Some(request) = announce(&mut receiver, now_ms, link) {
                assert!(in_flight.is_empty(), "a second peer is asked");
                in_flight.push_back((link, request));
            }
            if !is_calm && choices.ratio(1, 20)? {
                // The link breaks with all that is on its way.
                if let Some(&(link, _)) = in_flight.front() {
                    receiver.on_link_closed(link);
                    senders[link as usize].on_link_closed(link);
                    in_flight.clear();
                }
            }
            let Some((link, request)) = in_flight.pop_front() else {
                continue;
            };
            let sender = &mut senders[link as usize];
            let newest = declarations(revision);
            let Some(part) = sender.on_request(now_ms, link, &request, &newest) else {
                continue;
            };
            match receiver.on_part(now_ms, link, &part, OLD_REVISION) {
                ReceivedPart::Complete(body) => {
                    assert_eq!(body.len(), BODY_BYTES);
                    return Ok(());
                }
                ReceivedPart::Incomplete(requests) => {
                    in_flight.extend(requests.into_iter().map(|request| (link, request)));
                }
            }
        }
        panic!("not received");
    });
}
