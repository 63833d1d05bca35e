//! Sheets as spreadsheets export them, and the line and column of every fault.

use buckthorn::clock::Time;
use buckthorn::config::sheet::{self, Column, Entry, MAX_BYTES, MAX_FAULTS, MAX_ROWS, Sheet};
use expect_test::{Expect, expect};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Header of a sheet.
const HEADER: &str = "action,service,route,from,to,start,deadline,failure_domain\n";

/// Recorded sheet.
macro_rules! recorded {
    ($name:literal) => {
        include_bytes!(concat!("data/sheets/", $name))
    };
}

/// One line for each row.
fn listing(sheet: &Sheet) -> String {
    let lines: Vec<String> = sheet
        .rows
        .iter()
        .map(|row| format!("{}: {:?}", row.line, row.entry))
        .collect();
    lines.join("\n")
}

/// Checks the faults of a sheet.
fn check_faults(bytes: &[u8], expected: Expect) {
    let faults = sheet::parse(bytes).unwrap_err();
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    expected.assert_eq(&lines.join("\n"));
}

#[test]
fn a_plain_sheet_is_read() {
    let sheet = sheet::parse(recorded!("plain.csv")).unwrap();
    expect![[r#"
        2: Serve(Serve { service: "card-desk", route: "", version: "v1" })
        3: Serve(Serve { service: "card-desk", route: "/lookup", version: "v4" })
        4: Serve(Serve { service: "proof-vault", route: "", version: "v7" })
        5: Move(Move { service: "card-desk", route: "", from: "v1", to: "v2", start: Time(1777869000000000), deadline: Time(1777876200000000) })
        6: Move(Move { service: "card-desk", route: "", from: "v2", to: "v3", start: Time(1777878000000000), deadline: Time(1777885200500000) })
        7: Out("bc-lower-a")
        8: In("bc-lower-b")"#]].assert_eq(&listing(&sheet));
}

#[test]
fn a_spreadsheet_export_equals_the_plain_sheet() {
    let plain = sheet::parse(recorded!("plain.csv")).unwrap();
    let export = sheet::parse(recorded!("spreadsheet.csv")).unwrap();
    let entries =
        |sheet: &Sheet| -> Vec<Entry> { sheet.rows.iter().map(|row| row.entry.clone()).collect() };
    assert_eq!(entries(&export), entries(&plain));
    let lines: Vec<u64> = export.rows.iter().map(|row| row.line).collect();
    expect!["[3, 5, 8, 9, 10, 11, 12]"].assert_eq(&format!("{lines:?}"));
}

#[test]
fn every_fault_names_its_line_and_column() {
    check_faults(
        recorded!("faults.csv"),
        expect![[r#"
        line 2, column action: unknown action "shift", expected serve, move, out or in
        line 3, column action: missing
        line 4, column service: missing
        line 5, column to: missing
        line 6, column from: "v0" is not used by serve
        line 7, column service: service "card desk" holds white space or control characters
        line 8, column route: route "lookup" does not start with a slash
        line 9, column start: "2026-05-04T06:30:00" has no UTC offset, expected RFC 3339 with an offset, such as 2026-05-04T06:30:00+02:00
        line 10, column start: "04/05/2026 06:30" is invalid, expected RFC 3339 with an offset, such as 2026-05-04T06:30:00+02:00
        line 11, column deadline: not after start
        line 12, column to: the same version as from
        line 13, column from: missing
        line 13, column to: missing
        line 13, column start: missing
        line 13, column deadline: missing
        line 14, column failure_domain: "east" is not used by move
        line 14, column start: "1900-05-04T06:30:00+02:00" is before 1970
        line 15, column failure_domain: missing
        line 16, column service: "card-desk" is not used by in
        line 17: more fields than the header's 8"#]],
    );
}

#[test]
fn rows_that_contradict_others_are_refused() {
    check_faults(
        recorded!("contradictions.csv"),
        expect![[r#"
        line 3, column to: contradicts line 2, which serves another version
        line 5, column from: contradicts line 4: v8 is not the version that it serves, v7 is
        line 7, column from: contradicts line 6: a second move of the same route must start from the version and after the deadline of the first
        line 9, column from: contradicts line 8: a second move of the same route must start from the version and after the deadline of the first
        line 11, column failure_domain: contradicts line 10: both out and in"#]],
    );
}

#[test]
fn a_file_that_is_not_a_sheet_is_refused() {
    check_faults(b"", expect!["sheet: empty, expected a header"]);
    check_faults(b"\n,,\n", expect!["sheet: empty, expected a header"]);
    check_faults(HEADER.as_bytes(), expect!["sheet: the sheet has no rows"]);
    check_faults(
        b"action;service;route;from;to;start;deadline\n",
        expect![
            "line 1: expected the header action,service,route,from,to,start,deadline,failure_domain"
        ],
    );
    check_faults(
        HEADER.replace("start,", "").as_bytes(),
        expect!["line 1, column start: missing from the header"],
    );
    check_faults(
        HEADER.replace("start,", "to,").as_bytes(),
        expect![[r#"
        line 1, column to: appears twice in the header
        line 1, column start: missing from the header"#]],
    );
    check_faults(
        b"\xff\xfea\0c\0",
        expect!["sheet: written as UTF-16, expected UTF-8"],
    );
    check_faults(
        &[HEADER.as_bytes(), b"serve,caf\xe9,,,v1,,,\n"].concat(),
        expect!["line 2: not UTF-8"],
    );
    check_faults(
        format!("{HEADER}serve,\"card-desk,,,v1,,,\n").as_bytes(),
        expect!["line 2: a quoted field that starts on this row is not closed"],
    );
    let open = format!(
        "{}\nout,,,,,,,east,\"see\nin,,,,,,,east,\n",
        HEADER.trim_end().to_owned() + ",note"
    );
    check_faults(
        open.as_bytes(),
        expect!["line 2: a quoted field that starts on this row is not closed"],
    );
    check_faults(
        &vec![b'x'; MAX_BYTES + 1],
        expect!["sheet: 4194305 bytes, the limit is 4194304"],
    );
    let long = format!("{HEADER}serve,{},,,v1,,,\n", "x".repeat(1_000));
    check_faults(
        long.as_bytes(),
        expect!["line 2, column service: service is longer than 128 bytes"],
    );
}

#[test]
fn faults_and_rows_are_bounded() {
    let many = format!("{HEADER}{}", "nothing,,,,,,,\n".repeat(MAX_ROWS + 5));
    assert_eq!(sheet::parse(many.as_bytes()).unwrap_err().len(), MAX_FAULTS);
    let rows: String = (0..=MAX_ROWS)
        .map(|i| format!("serve,s{i},,,v1,,,\n"))
        .collect();
    let faults = sheet::parse(format!("{HEADER}{rows}").as_bytes()).unwrap_err();
    expect!["line 10002: more than 10000 rows"].assert_eq(&faults[0].to_string());
}

#[test]
fn a_move_may_follow_another_and_a_row_may_be_repeated() {
    let text = format!(
        "{HEADER}serve,a,,,v3,,,\nserve,a,,,v3,,,\n\
         move,a,,v1,v2,2026-05-04T06:00:00Z,2026-05-04T07:00:00Z,\n\
         move,a,,v2,v3,2026-05-04T07:00:00Z,2026-05-04T08:00:00Z,\n"
    );
    let sheet = sheet::parse(text.as_bytes()).unwrap();
    assert_eq!(sheet.rows.len(), 3);
    let (line, first) = sheet.moves().next().unwrap();
    assert_eq!((line, first.start), (4, Time::from_secs(1_777_874_400)));
}

#[test]
fn services_are_host_names_and_routes_are_paths() {
    let text = format!("{HEADER}serve,Card-Desk.BC_1,/Prints,,V1,,,\n");
    let sheet = sheet::parse(text.as_bytes()).unwrap();
    expect![[r#"2: Serve(Serve { service: "card-desk.bc_1", route: "/Prints", version: "V1" })"#]]
        .assert_eq(&listing(&sheet));
    let rows = "serve,caf\u{e9},,,v1,,,\nserve,a:80,,,v1,,,\nserve,a,/b?c,,v1,,,\n";
    check_faults(
        format!("{HEADER}{rows}").as_bytes(),
        expect![[r#"
        line 2, column service: service "café" is not a host name in lower case: letters, digits, -, . and _
        line 3, column service: service "a:80" is not a host name in lower case: letters, digits, -, . and _
        line 4, column route: route "/b?c" holds more than a path"#]],
    );
}

/// Cases drawn from a fixed seed.
fn fixed_seed() -> ProptestConfig {
    ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(11),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(fixed_seed())]

    /// Any bytes are read or refused with bounded faults.
    #[test]
    fn any_bytes_are_read_or_refused(bytes in prop::collection::vec(any::<u8>(), 0..600)) {
        if let Err(faults) = sheet::parse(&bytes) {
            prop_assert!((1..=MAX_FAULTS).contains(&faults.len()));
        }
    }

    /// Any fields under a valid header are read or refused, and each fault has a line.
    #[test]
    fn any_fields_are_read_or_refused(
        rows in prop::collection::vec(
            prop::collection::vec("(serve|move|out|in|v1|v2|a|/r|2026-05-04T06:00:00Z|\"| |,|\r|\n|x\u{e9})?", 0..10),
            0..20,
        ),
    ) {
        let body: String = rows.iter().map(|row| row.join(",") + "\n").collect();
        let text = format!("{HEADER}{body}");
        match sheet::parse(text.as_bytes()) {
            Ok(sheet) => prop_assert!(!sheet.rows.is_empty()),
            Err(faults) => {
                let lines = text.lines().count() as u64;
                prop_assert!(faults.iter().all(|f| f.line <= lines));
            }
        }
    }

    /// Columns may have any order, with unknown columns between them.
    #[test]
    fn the_order_of_columns_does_not_matter(order in Just((0..10_usize).collect::<Vec<_>>()).prop_shuffle()) {
        let plain = sheet::parse(recorded!("plain.csv")).unwrap();
        let text = std::str::from_utf8(recorded!("plain.csv")).unwrap();
        let shuffled: String = text
            .lines()
            .enumerate()
            .map(|(line, row)| {
                let mut fields: Vec<&str> = row.split(',').collect();
                fields.extend(if line == 0 { ["comment", "owner"] } else { ["a", ""] });
                let fields: Vec<&str> = order.iter().map(|&index| fields[index]).collect();
                fields.join(",") + "\r\n"
            })
            .collect();
        prop_assert_eq!(sheet::parse(shuffled.as_bytes()), Ok(plain));
    }
}

#[test]
fn the_header_has_the_documented_columns() {
    assert_eq!(Column::ALL.map(Column::name).join(",") + "\n", HEADER);
}

#[test]
fn the_documented_example_is_a_valid_sheet() {
    let page = include_str!("../../docs/SHEET.md");
    let start = page.find(HEADER).unwrap();
    let example = page[start..].split("```").next().unwrap();
    assert_eq!(sheet::parse(example.as_bytes()).unwrap().rows.len(), 4);
}
