//! Checks that docs/LOGS.md lists the log events in the code.

use std::fmt::Write as _;

use buckthorn::log_event::LogEvent;
use buckthorn::proxy::request_log::{MAX_LINES_PER_SECOND, SAMPLE_INTERVAL};
use expect_test::expect_file;

#[test]
fn the_page_lists_every_event() {
    let mut page = format!(
        "# Log lines\n\n\
         A node writes JSON lines to standard output and never waits for them to be read. Every \
         line has `ts` (RFC 3339), `level`, `host` and `msg`, which is one of the names below. \
         `request` is the request's identifier, `version` the configuration in force, `*_ms` are \
         milliseconds, `reason` and `outcome` are the values listed in docs/PROTOCOLS.md, `ran` is `run`, \
         `not-run` or `unknown`, and `next` is the counter of what follows.\n\n\
         Calls that failed or were retried are always logged, of the others one in {SAMPLE_INTERVAL}, \
         chosen by the identifier so that all nodes log the same ones. At most \
         {MAX_LINES_PER_SECOND} lines each about responses, attempts and owners are written in a second; a \
         `log.dropped` line counts those dropped. This page is checked against the code by a test; `UPDATE_EXPECT=1 cargo \
         test -p buckthorn --test log_page` writes it anew.\n\n\
         | msg | fields | event |\n|---|---|---|\n",
    );
    for event in LogEvent::ALL {
        writeln!(
            page,
            "| `{}` | {} | {} |",
            event.name(),
            event.fields(),
            event.help()
        )
        .unwrap();
    }
    expect_file!["../../docs/LOGS.md"].assert_eq(&page);
}

#[test]
fn every_event_is_logged_somewhere() {
    let mut source = String::new();
    let mut folders = vec![std::path::PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("src")];
    while let Some(folder) = folders.pop() {
        for entry in std::fs::read_dir(folder).unwrap() {
            let path = entry.unwrap().path();
            if path.is_dir() {
                folders.push(path);
            } else if !path.ends_with("log_event.rs") {
                source.push_str(&std::fs::read_to_string(path).unwrap());
            }
        }
    }
    for event in LogEvent::ALL {
        let name = format!("LogEvent::{event:?}");
        assert!(source.contains(&name), "{name} is never logged");
    }
}
