//! Any answer of a log service is a good batch or an error.

use std::io::{Read as _, Write as _};
use std::net::{Ipv4Addr, TcpListener};
use std::thread;
use std::time::Duration;

use buckthorn::journal::record::Record;
use buckthorn::log::client::Client;
use buckthorn::log::{AppendOutcome, Batch, Log};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Client of a service that gives one raw answer to one request and closes.
fn service(answer: Vec<u8>) -> Client {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut request = [0; 4096];
        let _ = stream.read(&mut request);
        let _ = stream.write_all(&answer);
    });
    Client::new(&url).unwrap()
}

/// Answer with a body.
fn answer(body: &[u8]) -> Vec<u8> {
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
    [head.as_bytes(), body].concat()
}

/// Random batch; many contradict themselves or what was asked.
fn any_batch() -> impl Strategy<Value = Batch> {
    let offsets = prop::collection::vec(0_u64..8, 0..5);
    (0_u64..6, 0_u64..10, offsets, any::<bool>()).prop_map(
        |(earliest, next, mut offsets, is_sorted)| {
            if is_sorted {
                offsets.sort_unstable();
                offsets.dedup();
            }
            let record = |offset| Record {
                offset,
                id: "id".into(),
                payload: "{}".into(),
            };
            Batch {
                earliest,
                next,
                records: offsets.into_iter().map(record).collect(),
            }
        },
    )
}

/// Whether a batch is what a reader from an offset can go on with.
fn is_good(batch: &Batch, from: u64) -> bool {
    let start = from.max(batch.earliest);
    let is_consecutive = batch
        .records
        .iter()
        .zip(start..)
        .all(|(record, expected)| record.offset == expected && expected < batch.next);
    batch.earliest <= batch.next && is_consecutive
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(19),
        ..ProptestConfig::default()
    })]

    /// A batch is taken when its offsets are as asked, and refused otherwise.
    #[test]
    fn a_batch_is_taken_only_when_a_reader_can_go_on(batch in any_batch(), from in 0_u64..8) {
        let client = service(answer(&serde_json::to_vec(&batch).unwrap()));
        match client.read("config", from, Duration::ZERO) {
            Ok(taken) => {
                prop_assert!(is_good(&batch, from), "{batch:?}");
                prop_assert_eq!(taken, batch);
            }
            Err(_) => prop_assert!(!is_good(&batch, from), "{batch:?}"),
        }
    }

    /// Any bytes in place of an answer end in an error, and an append is not said to be refused.
    #[test]
    fn any_bytes_are_an_error(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        prop_assert!(service(bytes.clone()).read("config", 0, Duration::ZERO).is_err());
        let result = service(bytes).append("config", "id", "x");
        prop_assert!(matches!(result, AppendOutcome::Unknown { .. }), "{result:?}");
    }

    /// Any body under a good head is a batch or an error.
    #[test]
    fn any_body_is_a_batch_or_an_error(body in prop::collection::vec(any::<u8>(), 0..200)) {
        prop_assert!(service(answer(&body)).read("config", 0, Duration::ZERO).is_err());
        let result = service(answer(&body)).append("config", "id", "x");
        prop_assert!(matches!(result, AppendOutcome::Unknown { .. }), "{result:?}");
    }
}
