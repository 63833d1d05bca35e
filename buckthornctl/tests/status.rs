//! Status built from the folded state and the newest reports.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use buckthorn::clock::Time;
use buckthorn::journal::fold;
use buckthorn::journal::record::{self, Body, DomainRegistration, REPORT_STREAM, Record};
use buckthorn::log::Log as _;
use buckthorn::log::client::{Client, MAX_RECORDS};
use buckthorn::membership::report::{BackendServerCount, BackendServerState, Report};
use buckthorn_lab::log::Server;
use buckthornctl::report;
use buckthornctl::status::{self, Status};
use expect_test::expect;

/// Current time in the tests.
const NOW: Time = Time::from_secs(1_777_870_000);

/// Report of a failure domain, written `age` seconds ago.
fn report(failure_domain: &str, age: u64, version: u64, lagging: usize) -> Report {
    Report {
        failure_domain: failure_domain.into(),
        host: format!("{failure_domain}-1").into(),
        at: NOW - Duration::from_secs(age),
        version,
        nodes: 3,
        lagging,
        behind: (0..lagging)
            .map(|i| format!("{failure_domain}-{}", i + 2).into())
            .collect(),
        backend_servers: vec![BackendServerCount {
            service: "card-desk".into(),
            version: "v1".into(),
            state: BackendServerState::Draining,
            count: 3,
        }],
    }
}

/// Appends a report to the report stream.
fn append(client: &Client, report: &Report) {
    let payload = serde_json::to_string(report).unwrap();
    client.append(REPORT_STREAM, "report", &payload);
}

#[test]
fn nodes_that_hold_the_version_and_those_that_do_not_are_shown() {
    let mut state = fold::State::new();
    for (offset, name) in ["east", "west", "north"].into_iter().enumerate() {
        let domain = DomainRegistration {
            name: name.into(),
            region: "bc-lower".into(),
        };
        state.apply(&Record {
            offset: offset as u64,
            id: name.into(),
            payload: record::encode(Body::Domain(domain)).into(),
        });
    }
    let reports = [
        report("east", 4, 3, 2),
        report("north", 500, 3, 0),
        report("west", 0, 2, 0),
    ];
    let status = Status::new(&state, &reports, NOW);
    expect![[r#"
        configuration version 3 (operators' 0), controller none yet
        services: none
        moves: none
        failure domains
          east   bc-lower  in
          north  bc-lower  in
          west   bc-lower  in
        nodes
          east   1 of 3 hold version 3           reported 4 s ago by east-1                   not known to: east-2, east-3
          north  3 of 3 hold version 3           reported 500 s ago by north-1, out of touch
          west   last reported version 2, not 3  reported 0 s ago by west-1
        backend servers
          east   card-desk  v1  3 draining
          north  card-desk  v1  3 draining
          west   card-desk  v1  3 draining"#]].assert_eq(&status::render(&status));
    let holding: Vec<usize> = status.nodes.iter().map(|nodes| nodes.holding).collect();
    assert_eq!(holding, [1, 3, 0]);
}

#[test]
fn the_newest_report_of_each_failure_domain_is_found() {
    let server = Server::start(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).unwrap();
    let client = Client::new(&server.url()).unwrap();
    append(&client, &report("west", 900, 1, 0));
    append(&client, &report("west", 800, 2, 0));
    for _ in 0..MAX_RECORDS + 10 {
        append(&client, &report("east", 20, 2, 1));
    }
    append(&client, &report("east", 10, 3, 0));
    client.append(REPORT_STREAM, "bad", "not a report");
    let newest = report::read_newest(&client, &["east", "west"]).unwrap();
    assert_eq!(
        newest,
        [report("east", 10, 3, 0), report("west", 800, 2, 0)]
    );
    // The others are still returned when a wanted failure domain never reported.
    let newest = report::read_newest(&client, &["north"]).unwrap();
    assert_eq!(newest.len(), 2);
    server.trim(REPORT_STREAM, u64::MAX);
    assert!(report::read_newest(&client, &["east"]).unwrap().is_empty());
}
