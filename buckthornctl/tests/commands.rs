//! The commands against the log stand-in, faults included.

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
use support::Bench;

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
    let bench = Bench::new();
    let sheet = bench.sheet(SHEET);
    let run = bench.run(&["plan", &sheet]);
    expect![[r#"
        + card-desk: is served by v1
        + proof-vault: is served by v7
        + move card-desk-v2-e90c19: card-desk from v1 to v2, starts 2990-05-04T04:30:00.000Z, due 2990-05-04T06:30:00.000Z
        ~ failure domain east: is taken out of service
        = failure domain west: not named, stays in service
        not published; apply publishes it
    "#]].assert_eq(&run.out);
    assert_eq!((run.code, bench.changes()), (0, 0));

    let run = bench.run(&["apply", &sheet]);
    assert_eq!((run.code, bench.changes()), (0, 1));
    expect!["published, version 3"].assert_eq(run.out.lines().last().unwrap());
    let run = bench.run(&["apply", &sheet]);
    assert_eq!((run.code, bench.changes()), (0, 1), "{}", run.out);
    expect!["nothing to change"].assert_eq(run.out.lines().last().unwrap());

    let run = bench.run(&["status"]);
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
    bench.client.append(REPORT_STREAM, "report", report);
    let run = bench.run(&["status", "--json"]);
    let status: Value = serde_json::from_str(&run.out).unwrap();
    assert_eq!(status["moves"][0]["state"], "waiting");
    assert_eq!(status["failure_domains"][0]["is_in_service"], false);
    assert_eq!(status["nodes"][0]["holding"], 2);
}

#[test]
fn a_bad_sheet_publishes_nothing() {
    let bench = Bench::new();
    let sheet = bench.sheet(
        "action,service,route,from,to,start,deadline,failure_domain\n\
         serve,card-desk,,,v1,,,\n\
         move,card-desk,,v0,v2,2990-05-04T06:30:00Z,2990-05-04T08:30:00Z,\n\
         out,,,,,,,wets\n",
    );
    let run = bench.run(&["apply", &sheet]);
    assert_eq!((run.code, bench.changes()), (2, 0));
    expect![[r#"
        line 3, column from: contradicts line 2: v0 is not the version that it serves, v1 is
        the sheet was refused, nothing was published
    "#]]
    .assert_eq(&run.out);
    let run = bench.run(&["apply", &sheet, "--json"]);
    let json: Value = serde_json::from_str(&run.out).unwrap();
    assert_eq!(json["faults"][0]["column"], "from");
    assert_eq!(bench.run(&["apply", "/nowhere.csv"]).code, 2);
    assert_eq!(bench.run(&["out", "wets"]).code, 2);
    assert_eq!(bench.run(&["watch", "wets"]).code, 2);
}

#[test]
fn a_failure_domain_goes_out_and_comes_back() {
    let bench = Bench::new();
    for (command, changes) in [("out", 1), ("out", 1), ("in", 2), ("in", 2)] {
        assert_eq!(bench.run(&[command, "east"]).code, 0);
        assert_eq!(bench.changes(), changes, "{command}");
    }
}

#[test]
fn a_lost_reply_is_looked_up_and_not_published_twice() {
    let bench = Bench::new();
    bench.server.set_faults(Faults {
        lose_every: 1,
        ..Faults::default()
    });
    let run = bench.run(&["out", "east"]);
    assert_eq!(
        (run.code, bench.changes()),
        (0, 1),
        "{} {}",
        run.out,
        run.err
    );
}

#[test]
fn a_change_that_the_log_refuses_for_a_while_is_published_once() {
    let bench = Bench::new();
    bench.server.set_faults(Faults {
        max_appends_per_second: 1,
        ..Faults::default()
    });
    for _ in 0..3 {
        bench.client.append("other", "x", "x");
    }
    assert_eq!(bench.run(&["out", "east"]).code, 0);
    assert_eq!(bench.changes(), 1);
}

#[test]
fn a_log_that_stays_away_fails_the_command() {
    let mut bench = Bench::new();
    bench.server.stop();
    for command in [
        ["out", "east"],
        ["status", ""],
        ["history", ""],
        ["watch", "x"],
    ] {
        let args: Vec<&str> = command.into_iter().filter(|a| !a.is_empty()).collect();
        let run = bench.run(&[&args[..], &["--timeout", "0"]].concat());
        assert_eq!(run.code, 1, "{command:?}");
        assert!(!run.err.is_empty());
    }
    bench.server.restart().unwrap();
    assert_eq!(bench.run(&["out", "east"]).code, 0);
}

#[test]
fn a_trimmed_log_is_read_from_its_checkpoint() {
    let bench = Bench::new();
    bench.run(&["apply", &bench.sheet(SHEET)]);
    let state = bench.state();
    bench.server.trim(CONFIG_STREAM, state.next - 1);
    let run = bench.run(&["status", "--timeout", "0"]);
    assert_eq!(run.code, 1);
    assert!(
        run.err.contains("no checkpoint reaches that far"),
        "{}",
        run.err
    );

    bench
        .client
        .append(CHECKPOINT_STREAM, "c", &checkpoint::encode(&state));
    bench.client.append(CHECKPOINT_STREAM, "d", "not a state");
    let run = bench.run(&["apply", &bench.sheet(SHEET)]);
    assert_eq!(
        (run.code, run.out.lines().last().unwrap()),
        (0, "nothing to change")
    );
    assert_eq!(bench.run(&["in", "east"]).code, 0);
}

#[test]
fn the_second_of_two_operators_is_told_who_came_first() {
    let bench = Bench::new();
    let codes = bench.race(&["out", "east"], &["out", "west"]);
    assert!(matches!(codes, [0, 3] | [3, 0]), "{codes:?}");
    assert_eq!(
        bench
            .state()
            .intent
            .failure_domains
            .iter()
            .filter(|d| d.is_out)
            .count(),
        1
    );

    // Two who publish the very same thing are both done.
    let sheet = bench.sheet(SHEET);
    let codes = bench.race(&["apply", &sheet], &["apply", &sheet]);
    assert_eq!(codes, [0, 0]);
    let run = bench.run(&["history"]);
    assert!(
        run.out.contains("refused") && run.out.contains("accepted"),
        "{}",
        run.out
    );
}

#[test]
fn watch_follows_a_move_to_its_end() {
    for (phases, code) in [("done", 0), ("taken_back", 1), ("cancelled", 3)] {
        let bench = Bench::new();
        bench.run(&["apply", &bench.sheet(SHEET)]);
        let id = bench.state().intent.moves[0].id.clone();
        let watched = std::thread::scope(|scope| {
            let watch = scope.spawn(|| bench.run(&["watch", &id]));
            bench.end_move(&id, phases);
            watch.join().unwrap()
        });
        assert_eq!(
            watched.code, code,
            "{phases}: {} {}",
            watched.out, watched.err
        );
        assert!(watched.out.lines().count() >= 1);
    }
}

#[test]
fn a_record_of_another_schema_is_passed_over() {
    let bench = Bench::new();
    bench
        .client
        .append(CONFIG_STREAM, "future", r#"{"schema":2,"body":{}}"#);
    assert_eq!(bench.run(&["out", "east"]).code, 0);
    let run = bench.run(&["history", "--json"]);
    let json: Value = serde_json::from_str(&run.out).unwrap();
    assert_eq!(json[0]["is_accepted"], false);
    assert!(record::decode("{}").is_err());
    assert!(bench.client.read(CONFIG_STREAM, 0, Duration::ZERO).is_ok());
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
