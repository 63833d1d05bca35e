//! Log client against the log stand-in, with each injected fault.

use std::net::{Ipv4Addr, SocketAddr};
use std::thread;
use std::time::Duration;

use buckthorn::log::client::{Client, MAX_PAYLOAD_BYTES, MAX_RECORDS};
use buckthorn::log::{AppendOutcome, Log};
use buckthorn_lab::log::{Faults, Server};

/// Starts a stand-in and a client for it.
fn start() -> (Server, Client) {
    let server = Server::start(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).unwrap();
    let client = Client::new(&server.url()).unwrap();
    (server, client)
}

/// Reads the payloads from an offset on, without waiting.
fn read(client: &Client, from: u64) -> Vec<String> {
    let batch = client.read("config", from, Duration::ZERO).unwrap();
    batch
        .records
        .iter()
        .map(|r| r.payload.to_string())
        .collect()
}

#[test]
fn appended_records_are_read_back_in_order() {
    let (_server, client) = start();
    for (offset, payload) in ["a", "b\n\"\u{e9}"].into_iter().enumerate() {
        let offset = offset as u64;
        assert_eq!(
            client.append("config", "id", payload),
            AppendOutcome::Done { offset }
        );
    }
    assert_eq!(read(&client, 0), ["a", "b\n\"\u{e9}"]);
    assert_eq!(read(&client, 1), ["b\n\"\u{e9}"]);
    assert!(read(&client, 7).is_empty());
    assert!(
        client
            .read("reports", 0, Duration::ZERO)
            .unwrap()
            .records
            .is_empty()
    );
}

#[test]
fn many_long_polls_return_with_the_next_append() {
    let (_server, client) = start();
    let polls: Vec<_> = (0..200)
        .map(|_| {
            let client = client.clone();
            thread::spawn(move || client.read("config", 0, Duration::from_secs(20)).unwrap())
        })
        .collect();
    assert_eq!(
        client.append("config", "id", "x"),
        AppendOutcome::Done { offset: 0 }
    );
    for poll in polls {
        assert_eq!(poll.join().unwrap().records.len(), 1);
    }
}

#[test]
fn batches_are_bounded_and_the_next_read_continues() {
    let (_server, client) = start();
    for index in 0..MAX_RECORDS + 10 {
        client.append("config", "id", &index.to_string());
    }
    assert_eq!(read(&client, 0).len(), MAX_RECORDS);
    assert_eq!(read(&client, MAX_RECORDS as u64).len(), 10);
    let large = "x".repeat(MAX_PAYLOAD_BYTES);
    assert!(matches!(
        client.append("large", "id", &large),
        AppendOutcome::Done { .. }
    ));
    assert!(matches!(
        client.append("large", "id", &large),
        AppendOutcome::Done { .. }
    ));
    let batch = client.read("large", 0, Duration::ZERO).unwrap();
    assert_eq!((batch.records.len(), batch.next), (1, 2));
    let over = "x".repeat(MAX_PAYLOAD_BYTES + 1);
    assert!(matches!(
        client.append("large", "id", &over),
        AppendOutcome::Refused { .. }
    ));
}

#[test]
fn a_stopped_log_refuses_and_keeps_its_records() {
    let (mut server, client) = start();
    client.append("config", "id", "kept");
    server.stop();
    assert!(matches!(
        client.append("config", "id", "x"),
        AppendOutcome::Refused { .. }
    ));
    assert!(client.read("config", 0, Duration::ZERO).is_err());
    server.restart().unwrap();
    assert_eq!(read(&client, 0), ["kept"]);
}

#[test]
fn a_refusing_log_appends_nothing() {
    let (server, client) = start();
    server.set_faults(Faults {
        is_refusing: true,
        ..Faults::default()
    });
    assert!(matches!(
        client.append("config", "id", "x"),
        AppendOutcome::Refused { .. }
    ));
    assert!(client.read("config", 0, Duration::ZERO).is_err());
    assert!(server.records("config").is_empty());
}

#[test]
fn a_lost_reply_is_an_unknown_outcome_and_the_record_is_appended() {
    let (server, client) = start();
    server.set_faults(Faults {
        lose_every: 2,
        ..Faults::default()
    });
    assert!(matches!(
        client.append("config", "a", "x"),
        AppendOutcome::Done { .. }
    ));
    assert!(matches!(
        client.append("config", "b", "y"),
        AppendOutcome::Unknown { .. }
    ));
    assert_eq!(read(&client, 0), ["x", "y"]);
}

#[test]
fn a_slow_append_takes_effect_after_its_client_timed_out() {
    let (server, client) = start();
    server.set_faults(Faults {
        delay: Duration::from_millis(300),
        ..Faults::default()
    });
    let short_timeout = client.clone().with_timeout(Duration::from_millis(50));
    assert!(matches!(
        short_timeout.append("config", "a", "x"),
        AppendOutcome::Unknown { .. }
    ));
    let batch = client.read("config", 0, Duration::from_secs(20)).unwrap();
    assert_eq!(batch.records.len(), 1);
}

#[test]
fn appends_over_the_rate_limit_are_refused() {
    let (server, client) = start();
    server.set_faults(Faults {
        max_appends_per_second: 1,
        ..Faults::default()
    });
    let results: Vec<_> = (0..20).map(|_| client.append("config", "a", "x")).collect();
    let done = results
        .iter()
        .filter(|r| matches!(r, AppendOutcome::Done { .. }))
        .count();
    let refused = results
        .iter()
        .filter(|r| matches!(r, AppendOutcome::Refused { .. }))
        .count();
    assert_eq!((done + refused, done), (20, server.records("config").len()));
    assert!(refused > 0);
}

#[test]
fn dropped_records_advance_the_earliest_offset() {
    let (server, client) = start();
    for payload in ["a", "b", "c"] {
        client.append("config", "id", payload);
    }
    server.trim("config", 2);
    let batch = client.read("config", 0, Duration::ZERO).unwrap();
    assert_eq!(
        (batch.earliest, batch.next, batch.records[0].offset),
        (2, 3, 2)
    );
    server.set_faults(Faults {
        retention: Some(Duration::ZERO),
        ..Faults::default()
    });
    let batch = client.read("config", 0, Duration::ZERO).unwrap();
    assert_eq!((batch.earliest, batch.next, batch.records.len()), (3, 3, 0));
}
