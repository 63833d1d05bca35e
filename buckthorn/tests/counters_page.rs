//! Checks that docs/COUNTERS.md lists the counters in the code.

use std::fmt::Write as _;

use buckthorn::counter::Counter;
use expect_test::expect_file;

#[test]
fn the_page_lists_every_counter() {
    let mut page = String::from(
        "# Counters\n\n\
         Every counter of a node, as listed by `GET /v1/counters`, zero included, and sent to \
         statsd under the same name. Values only rise and start at zero with each process. This \
         page is checked against the code by a test; `UPDATE_EXPECT=1 cargo test -p buckthorn \
         --test counters_page` writes it anew.\n\n\
         | counter | counts |\n|---|---|\n",
    );
    for counter in Counter::ALL {
        writeln!(page, "| `{}` | {} |", counter.name(), counter.help()).unwrap();
    }
    expect_file!["../../docs/COUNTERS.md"].assert_eq(&page);
}

#[test]
fn names_are_unique_lowercase_words() {
    let mut names: Vec<&str> = Counter::ALL.iter().map(|c| c.name()).collect();
    names.sort_unstable();
    names.dedup();
    assert_eq!(names.len(), Counter::ALL.len());
    let is_plain = |name: &str| {
        name.bytes()
            .all(|b| b.is_ascii_lowercase() || b"._".contains(&b))
    };
    assert!(names.iter().all(|name| is_plain(name)));
}
