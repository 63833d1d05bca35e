//! Every response of a log service is decoded as a valid batch or reported as an error.

use std::io::{Read as _, Write as _};
use std::net::{Ipv4Addr, TcpListener};
use std::thread;
use std::time::Duration;

use buckthorn::journal::record::Record;
use buckthorn::log::client::Client;
use buckthorn::log::{AppendOutcome, Batch, Log};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Creates a client of a service that sends one raw response to one request and closes.
fn service(response: Vec<u8>) -> Client {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut request = [0; 4096];
        let _ = stream.read(&mut request);
        let _ = stream.write_all(&response);
    });
    Client::new(&url).unwrap()
}

/// Builds a response with a body.
fn response(body: &[u8]) -> Vec<u8> {
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
    [head.as_bytes(), body].concat()
}

/// Generates batches; many are inconsistent or do not match the requested offset.
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

/// Whether a reader at an offset can continue with a batch.
fn is_readable(batch: &Batch, from: u64) -> bool {
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

    /// A batch is accepted if its offsets follow the requested one, and rejected otherwise.
    #[test]
    fn a_batch_is_accepted_only_if_a_reader_can_continue(batch in any_batch(), from in 0_u64..8) {
        let client = service(response(&serde_json::to_vec(&batch).unwrap()));
        match client.read("config", from, Duration::ZERO) {
            Ok(received) => {
                prop_assert!(is_readable(&batch, from), "{batch:?}");
                prop_assert_eq!(received, batch);
            }
            Err(_) => prop_assert!(!is_readable(&batch, from), "{batch:?}"),
        }
    }

    /// Arbitrary bytes in place of a response give an error; an append counts as unknown, not as
    /// refused.
    #[test]
    fn arbitrary_bytes_are_an_error(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        prop_assert!(service(bytes.clone()).read("config", 0, Duration::ZERO).is_err());
        let result = service(bytes).append("config", "id", "x");
        prop_assert!(matches!(result, AppendOutcome::Unknown { .. }), "{result:?}");
    }

    /// An arbitrary body after a valid head gives an error.
    #[test]
    fn an_arbitrary_body_is_an_error(body in prop::collection::vec(any::<u8>(), 0..200)) {
        prop_assert!(service(response(&body)).read("config", 0, Duration::ZERO).is_err());
        let result = service(response(&body)).append("config", "id", "x");
        prop_assert!(matches!(result, AppendOutcome::Unknown { .. }), "{result:?}");
    }
}
