//! Commands against the log stand-in, including faults of the log.

mod support;

use std::time::Duration;

use buckthorn::journal::record::{CHECKPOINT_STREAM, CONFIG_STREAM, REPORT_STREAM};
use buckthorn::journal::{checkpoint, record};
use buckthorn::log::Log as _;
use buckthorn_lab::log::Faults;
use buckthornctl::flags::Buckthornctl;
use buckthornctl::settings::{Environment, Settings};
use expect_test::expect;
use serde_json::Value;
use support::Fixture;

/// Sheet that serves two services and moves one of them.
const SHEET: &str = "\
action,service,route,from,to,start,deadline,failure_domain
serve,card-desk,,,v1,,,
serve,proof-vault,,,v7,,,
move,card-desk,,v1,v2,2990-05-04T06:30:00+02:00,2990-05-04T08:30:00+02:00,
out,,,,,,,east
";

#[test]
fn a_sheet_is_planned_applied_and_shown() {
    let fixture = Fixture::new();
    let sheet = fixture.sheet(SHEET);
    let run = fixture.run(&["plan", &sheet]);
    expect![[r#"
        + card-desk: is served by v1
        + proof-vault: is served by v7
        + move card-desk-v2-e90c19: card-desk from v1 to v2, starts 2990-05-04T04:30:00.000Z, due 2990-05-04T06:30:00.000Z
        ~ failure domain east: is taken out of service
        = failure domain west: not named, stays in service
        not published; apply publishes it
    "#]].assert_eq(&run.out);
    assert_eq!((run.code, fixture.changes()), (0, 0));

    let run = fixture.run(&["apply", &sheet]);
    assert_eq!((run.code, fixture.changes()), (0, 1));
    expect!["published, version 3"].assert_eq(run.out.lines().last().unwrap());
    let run = fixture.run(&["apply", &sheet]);
    assert_eq!((run.code, fixture.changes()), (0, 1), "{}", run.out);
    expect!["nothing to change"].assert_eq(run.out.lines().last().unwrap());

    let run = fixture.run(&["status"]);
    expect![[r#"
        configuration version 3 (operators' 3), controller none yet
        services
          card-desk    v1 100%
          proof-vault  v7 100%
        moves
          card-desk-v2-e90c19  waiting  0%  by 2990-05-04T06:30:00.000Z  waiting for its start
        failure domains
          east  bc-lower  out
          west  bc-lower  in
        nodes: none
        backend servers: none
    "#]]
    .assert_eq(&run.out);
    let report = r#"{"failure_domain":"west","host":"h1","at":1,"version":3,"nodes":3,
        "lagging":1,"behind":["h2"],"backend_servers":[],"from_a_newer_release":1}"#;
    fixture.client.append(REPORT_STREAM, "report", report);
    let run = fixture.run(&["status", "--json"]);
    let status: Value = serde_json::from_str(&run.out).unwrap();
    assert_eq!(status["moves"][0]["state"], "waiting");
    assert_eq!(status["failure_domains"][0]["is_in_service"], false);
    assert_eq!(status["nodes"][0]["holding"], 2);
}

#[test]
fn a_bad_sheet_publishes_nothing() {
    let fixture = Fixture::new();
    let sheet = fixture.sheet(
        "action,service,route,from,to,start,deadline,failure_domain\n\
         serve,card-desk,,,v1,,,\n\
         move,card-desk,,v0,v2,2990-05-04T06:30:00Z,2990-05-04T08:30:00Z,\n\
         out,,,,,,,wets\n",
    );
    let run = fixture.run(&["apply", &sheet]);
    assert_eq!((run.code, fixture.changes()), (2, 0));
    expect![[r#"
        line 3, column from: contradicts line 2: v0 is not the version that it serves, v1 is
        the sheet was refused, nothing was published
    "#]]
    .assert_eq(&run.out);
    let run = fixture.run(&["apply", &sheet, "--json"]);
    let json: Value = serde_json::from_str(&run.out).unwrap();
    assert_eq!(json["faults"][0]["column"], "from");
    assert_eq!(fixture.run(&["apply", "/nowhere.csv"]).code, 2);
    assert_eq!(fixture.run(&["out", "wets"]).code, 2);
    assert_eq!(fixture.run(&["watch", "wets"]).code, 2);
}

#[test]
fn a_failure_domain_is_taken_out_and_brought_back() {
    let fixture = Fixture::new();
    for (command, changes) in [("out", 1), ("out", 1), ("in", 2), ("in", 2)] {
        assert_eq!(fixture.run(&[command, "east"]).code, 0);
        assert_eq!(fixture.changes(), changes, "{command}");
    }
}

#[test]
fn a_change_is_not_published_twice_after_a_lost_reply() {
    let fixture = Fixture::new();
    fixture.server.set_faults(Faults {
        lose_every: 1,
        ..Faults::default()
    });
    let run = fixture.run(&["out", "east"]);
    assert_eq!(
        (run.code, fixture.changes()),
        (0, 1),
        "{} {}",
        run.out,
        run.err
    );
}

#[test]
fn a_change_refused_by_the_log_at_first_is_published_once() {
    let fixture = Fixture::new();
    fixture.server.set_faults(Faults {
        max_appends_per_second: 1,
        ..Faults::default()
    });
    for _ in 0..3 {
        fixture.client.append("other", "x", "x");
    }
    assert_eq!(fixture.run(&["out", "east"]).code, 0);
    assert_eq!(fixture.changes(), 1);
}

#[test]
fn commands_fail_while_the_log_is_unreachable() {
    let mut fixture = Fixture::new();
    fixture.server.stop();
    for command in [
        ["out", "east"],
        ["status", ""],
        ["history", ""],
        ["watch", "x"],
    ] {
        let args: Vec<&str> = command.into_iter().filter(|a| !a.is_empty()).collect();
        let run = fixture.run(&[&args[..], &["--timeout", "0"]].concat());
        assert_eq!(run.code, 1, "{command:?}");
        assert!(!run.err.is_empty());
    }
    fixture.server.restart().unwrap();
    assert_eq!(fixture.run(&["out", "east"]).code, 0);
}

#[test]
fn a_trimmed_log_is_read_from_its_checkpoint() {
    let fixture = Fixture::new();
    fixture.run(&["apply", &fixture.sheet(SHEET)]);
    let state = fixture.state();
    fixture.server.trim(CONFIG_STREAM, state.next - 1);
    let run = fixture.run(&["status", "--timeout", "0"]);
    assert_eq!(run.code, 1);
    assert!(
        run.err.contains("no checkpoint reaches that far"),
        "{}",
        run.err
    );

    fixture
        .client
        .append(CHECKPOINT_STREAM, "c", &checkpoint::encode(&state));
    fixture.client.append(CHECKPOINT_STREAM, "d", "not a state");
    let run = fixture.run(&["apply", &fixture.sheet(SHEET)]);
    assert_eq!(
        (run.code, run.out.lines().last().unwrap()),
        (0, "nothing to change")
    );
    assert_eq!(fixture.run(&["in", "east"]).code, 0);
}

#[test]
fn the_second_of_two_concurrent_changes_is_refused() {
    let fixture = Fixture::new();
    let codes = fixture.race(&["out", "east"], &["out", "west"]);
    assert!(matches!(codes, [0, 3] | [3, 0]), "{codes:?}");
    assert_eq!(
        fixture
            .state()
            .intent
            .failure_domains
            .iter()
            .filter(|d| d.is_out)
            .count(),
        1
    );

    // Two operators who publish the same sheet both succeed.
    let sheet = fixture.sheet(SHEET);
    let codes = fixture.race(&["apply", &sheet], &["apply", &sheet]);
    assert_eq!(codes, [0, 0]);
    let run = fixture.run(&["history"]);
    assert!(
        run.out.contains("refused") && run.out.contains("accepted"),
        "{}",
        run.out
    );
}

#[test]
fn watch_follows_a_move_to_its_end() {
    for (end, code) in [("done", 0), ("taken_back", 1), ("cancelled", 3)] {
        let fixture = Fixture::new();
        fixture.run(&["apply", &fixture.sheet(SHEET)]);
        let id = fixture.state().intent.moves[0].id.clone();
        let watched = std::thread::scope(|scope| {
            let watch = scope.spawn(|| fixture.run(&["watch", &id]));
            fixture.end_move(&id, end);
            watch.join().unwrap()
        });
        assert_eq!(watched.code, code, "{end}: {} {}", watched.out, watched.err);
        assert!(watched.out.lines().count() >= 1);
    }
}

#[test]
fn a_record_of_an_unknown_schema_is_refused_and_skipped() {
    let fixture = Fixture::new();
    fixture
        .client
        .append(CONFIG_STREAM, "future", r#"{"schema":2,"body":{}}"#);
    assert_eq!(fixture.run(&["out", "east"]).code, 0);
    let run = fixture.run(&["history", "--json"]);
    let json: Value = serde_json::from_str(&run.out).unwrap();
    assert_eq!(json[0]["is_accepted"], false);
    assert!(record::decode("{}").is_err());
    assert!(
        fixture
            .client
            .read(CONFIG_STREAM, 0, Duration::ZERO)
            .is_ok()
    );
}

#[test]
fn settings_that_are_missing_or_malformed_are_named() {
    let check = |args: &[&str], expected: expect_test::Expect| {
        let args = args.iter().map(Into::into).collect();
        let flags = Buckthornctl::from_vec(args).unwrap();
        let error = Settings::new(&flags, &Environment::default())
            .err()
            .unwrap();
        expected.assert_eq(&format!("{error:#}"));
    };
    check(
        &["status"],
        expect!["--platform or BUCKTHORN_PLATFORM is needed, such as http://10.0.0.5:7400"],
    );
    check(
        &["status", "--platform", "10.0.0.5:7400"],
        expect![[r#"--platform: platform URL "10.0.0.5:7400" does not start with http://"#]],
    );
    let long = [
        "status",
        "--platform",
        "http://h",
        "--timeout",
        "99999999999999",
    ];
    check(&long, expect!["--timeout is at most 86400 seconds"]);
    assert!(Buckthornctl::from_vec(vec!["apply".into()]).is_err());
    assert!(Buckthornctl::from_vec(vec!["publish".into()]).is_err());
}
