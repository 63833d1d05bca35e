//! Sheets compared with the state in force.

mod sheet_state;

use buckthorn::clock::Time;
use buckthorn::config::intent::{FULL_SHARE, Phase};
use buckthorn::config::plan::{self, Plan};
use buckthorn::config::sheet;
use buckthorn::journal::fold::{Outcome, State};
use expect_test::{Expect, expect};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use sheet_state::StateFixture;

/// Header of a sheet.
const HEADER: &str = "action,service,route,from,to,start,deadline,failure_domain\n";

/// Time at which the sheets are applied.
const NOW: Time = Time::from_secs(1_777_870_000);

/// Rows of a service with one move.
const MOVING: &str = "serve,card-desk,,,v1,,,\n\
     move,card-desk,,v1,v2,2026-05-04T06:30:00Z,2026-05-04T08:30:00Z,\n";

/// Plan of rows.
fn plan(state: &State, rows: &str, now: Time) -> Result<Plan, String> {
    let text = format!("{HEADER}{rows}");
    let sheet = sheet::parse(text.as_bytes());
    let plan = sheet.and_then(|sheet| plan::compute(state, &sheet, now));
    plan.map_err(|faults| {
        let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
        lines.join("\n")
    })
}

/// Lines of a plan, or its faults.
fn text(state: &State, rows: &str, now: Time) -> String {
    match plan(state, rows, now) {
        Ok(plan) => {
            let lines: Vec<String> = plan.lines.iter().map(ToString::to_string).collect();
            format!("{}\n{} operations", lines.join("\n"), plan.operations.len())
        }
        Err(faults) => faults,
    }
}

/// Checks the plan of rows.
fn check(state: &State, rows: &str, expected: Expect) {
    expected.assert_eq(&text(state, rows, NOW));
}

/// State to which rows have been applied.
fn applied(rows: &str) -> StateFixture {
    let mut fixture = StateFixture::new(&["east", "west"]);
    apply(&mut fixture, rows);
    fixture
}

/// Applies rows.
fn apply(fixture: &mut StateFixture, rows: &str) {
    let change = plan(&fixture.state, rows, NOW).unwrap().change("ada", NOW);
    assert_eq!(fixture.change(change), Outcome::Applied);
}

#[test]
fn a_first_sheet_adds_everything() {
    let fixture = StateFixture::new(&["east", "west"]);
    check(
        &fixture.state,
        &format!("{MOVING}out,,,,,,,east\n"),
        expect![[r#"
            + card-desk: is served by v1
            + move card-desk-v2-400a00: card-desk from v1 to v2, starts 2026-05-04T06:30:00.000Z, due 2026-05-04T08:30:00.000Z
            ~ failure domain east: is taken out of service
            = failure domain west: not named, stays in service
            3 operations"#]],
    );
}

#[test]
fn the_same_sheet_is_no_change_at_any_later_time() {
    let mut fixture = applied(MOVING);
    check(
        &fixture.state,
        MOVING,
        expect![[r#"
        = card-desk: stays on v1
        = move card-desk-v2-400a00: is known (waiting at 0%)
        = failure domain east: not named, stays in service
        = failure domain west: not named, stays in service
        0 operations"#]],
    );
    let id = fixture.state.intent.moves[0].id.clone();
    fixture.step(&id, Phase::Shifting, 100);
    check(
        &fixture.state,
        MOVING,
        expect![[r#"
        = card-desk: stays on v1
        = move card-desk-v2-400a00: is known (shifting at 10%)
        = failure domain east: not named, stays in service
        = failure domain west: not named, stays in service
        0 operations"#]],
    );
    fixture.step(&id, Phase::Watching, FULL_SHARE);
    fixture.step(&id, Phase::Done, FULL_SHARE);
    check(
        &fixture.state,
        MOVING,
        expect![[r#"
        = card-desk: has moved from v1 to v2
        = move card-desk-v2-400a00: is known (done at 100%)
        = failure domain east: not named, stays in service
        = failure domain west: not named, stays in service
        0 operations"#]],
    );
    let next_day = Time(NOW.0 + 86_400_000_000);
    let before = text(&fixture.state, MOVING, next_day);
    expect![[r#"
        = card-desk: has moved from v1 to v2
        = move card-desk-v2-400a00: is known (done at 100%)
        = failure domain east: not named, stays in service
        = failure domain west: not named, stays in service
        0 operations"#]]
    .assert_eq(&before);
    // The intent drops moves that ended long ago.
    fixture.state.intent.moves.clear();
    expect![[r#"
        = card-desk: has moved from v1 to v2
        = move card-desk-v2-400a00: is over, v2 serves
        = failure domain east: not named, stays in service
        = failure domain west: not named, stays in service
        0 operations"#]]
    .assert_eq(&text(&fixture.state, MOVING, next_day));
}

#[test]
fn what_the_sheet_does_not_name_stays_and_moves_not_begun_are_withdrawn() {
    let rows = format!(
        "{MOVING}serve,rungs,,,r1,,,\nserve,rungs,/seeding,,r9,,,\n\
         move,rungs,,r1,r2,2026-05-04T06:30:00Z,2026-05-04T08:30:00Z,\nout,,,,,,,west\n"
    );
    let mut fixture = applied(&rows);
    let begun = fixture.state.intent.moves[0].id.clone();
    fixture.step(&begun, Phase::Shifting, 55);
    check(
        &fixture.state,
        "in,,,,,,,east\n",
        expect![[r#"
        = move card-desk-v2-400a00: not named but begun, goes on (shifting at 5.5%)
        - move rungs-r2-e7f568: not named and not begun, is withdrawn
        = failure domain east: stays in service
        = card-desk: not named, stays on v1
        = rungs: not named, stays on r1, r9 for /seeding
        = failure domain west: not named, stays out of service
        1 operations"#]],
    );
    apply(&mut fixture, "in,,,,,,,east\n");
    let phases: Vec<Phase> = fixture.state.intent.moves.iter().map(|m| m.phase).collect();
    assert_eq!(phases, [Phase::Shifting, Phase::Cancelled]);
    // Named again, the withdrawn move is planned anew.
    check(
        &fixture.state,
        &rows,
        expect![[r#"
        = card-desk: stays on v1
        = rungs: stays on r1
        = rungs/seeding: stays on r9
        = move card-desk-v2-400a00: is known (shifting at 5.5%)
        + move rungs-r2-e7f568: rungs from r1 to r2, starts 2026-05-04T06:30:00.000Z, due 2026-05-04T08:30:00.000Z
        = failure domain west: stays out of service
        = failure domain east: not named, stays in service
        1 operations"#]],
    );
    apply(&mut fixture, &rows);
    assert_eq!(fixture.state.intent.moves[1].phase, Phase::Waiting);
}

#[test]
fn a_rolled_back_move_is_not_retried_without_a_change() {
    let mut fixture = applied(MOVING);
    let id = fixture.state.intent.moves[0].id.clone();
    fixture.step(&id, Phase::Shifting, 10);
    fixture.step(&id, Phase::RolledBack, 0);
    check(
        &fixture.state,
        MOVING,
        expect![[r#"
        = card-desk: stays on v1
        ! move card-desk-v2-400a00: was taken back (as planned); give it another start or deadline to try again
        = failure domain east: not named, stays in service
        = failure domain west: not named, stays in service
        0 operations"#]],
    );
    check(
        &fixture.state,
        &MOVING.replace("08:30", "09:30"),
        expect![[r#"
            = card-desk: stays on v1
            + move card-desk-v2-cc6e77: card-desk from v1 to v2, starts 2026-05-04T06:30:00.000Z, due 2026-05-04T09:30:00.000Z
            = failure domain east: not named, stays in service
            = failure domain west: not named, stays in service
            1 operations"#]],
    );
}

#[test]
fn another_target_or_time_replaces_a_move() {
    let mut fixture = applied(MOVING);
    let later = MOVING.replace("08:30", "09:30");
    check(
        &fixture.state,
        &later,
        expect![[r#"
        - move card-desk-v2-400a00: not named and not begun, is withdrawn
        = card-desk: stays on v1
        + move card-desk-v2-cc6e77: card-desk from v1 to v2, starts 2026-05-04T06:30:00.000Z, due 2026-05-04T09:30:00.000Z
        = failure domain east: not named, stays in service
        = failure domain west: not named, stays in service
        2 operations"#]],
    );
    let id = fixture.state.intent.moves[0].id.clone();
    fixture.step(&id, Phase::Shifting, 500);
    check(
        &fixture.state,
        &later,
        expect![[r#"
        - move card-desk-v2-400a00: shifting at 50%, is replaced: its traffic returns to v1 first
        = card-desk: stays on v1
        + move card-desk-v2-cc6e77: card-desk from v1 to v2, starts 2026-05-04T06:30:00.000Z, due 2026-05-04T09:30:00.000Z
        = failure domain east: not named, stays in service
        = failure domain west: not named, stays in service
        1 operations"#]],
    );
    apply(&mut fixture, &later);
    let open = fixture
        .state
        .intent
        .moves
        .iter()
        .filter(|m| !m.phase.is_ended());
    assert_eq!(open.count(), 1);
}

#[test]
fn a_move_may_follow_one_in_force_but_not_one_withdrawn() {
    let fixture = applied(MOVING);
    let second = "move,card-desk,,v2,v3,2026-05-04T09:00:00Z,2026-05-04T10:00:00Z,\n";
    check(
        &fixture.state,
        &format!("{MOVING}{second}"),
        expect![[r#"
        = card-desk: stays on v1
        = move card-desk-v2-400a00: is known (waiting at 0%)
        + move card-desk-v3-22abd0: card-desk from v2 to v3, starts 2026-05-04T09:00:00.000Z, due 2026-05-04T10:00:00.000Z
        = failure domain east: not named, stays in service
        = failure domain west: not named, stays in service
        1 operations"#]],
    );
    check(
        &fixture.state,
        second,
        expect!["line 2, column from: v2 is not serving card-desk, v1 is"],
    );
    let mut both = applied(&format!("{MOVING}{second}"));
    check(
        &both.state,
        second,
        expect![
            "line 2, column from: v2 is not serving card-desk, v1 is, and the move that leads to it is not in the sheet"
        ],
    );
    let first = both.state.intent.moves[0].id.clone();
    both.step(&first, Phase::RolledBack, 0);
    check(
        &both.state,
        second,
        expect!["line 2, column from: v2 is not serving card-desk, v1 is"],
    );
    check(
        &both.state,
        &format!("{MOVING}{second}"),
        expect![[r#"
        = card-desk: stays on v1
        ! move card-desk-v2-400a00: was taken back (as planned); give it another start or deadline to try again
        ! move card-desk-v3-22abd0: stays withdrawn: v2 is not serving card-desk, v1 is
        = failure domain east: not named, stays in service
        = failure domain west: not named, stays in service
        0 operations"#]],
    );
}

#[test]
fn a_serve_row_may_name_the_target_of_a_move() {
    let mut fixture = applied(MOVING);
    let id = fixture.state.intent.moves[0].id.clone();
    check(
        &fixture.state,
        "serve,card-desk,,,v2,,,\n",
        expect![
            "line 2, column to: card-desk is served by v1; a move is needed to change it to v2"
        ],
    );
    fixture.step(&id, Phase::Shifting, 10);
    check(
        &fixture.state,
        "serve,card-desk,,,v2,,,\n",
        expect![[r#"
        = move card-desk-v2-400a00: not named but begun, goes on (shifting at 1%)
        = card-desk: stays on v1, a move to v2 is open
        = failure domain east: not named, stays in service
        = failure domain west: not named, stays in service
        0 operations"#]],
    );
}

#[test]
fn rows_that_contradict_the_state_are_refused_with_line_and_column() {
    let fixture = applied(MOVING);
    let rows = "serve,card-desk,,,v7,,,\n\
         move,rungs,,r1,r2,2026-05-04T06:30:00Z,2026-05-04T08:30:00Z,\n\
         move,card-desk,,v7,v8,2026-05-04T06:30:00Z,2026-05-04T08:30:00Z,\n\
         out,,,,,,,north\n";
    check(
        &fixture.state,
        rows,
        expect![[r#"
        line 2, column to: card-desk is served by v1; a move is needed to change it to v7
        line 3, column service: rungs is not served; a serve row is needed first
        line 4, column from: v7 is not serving card-desk, v1 is
        line 5, column failure_domain: unknown failure domain north, known are east, west"#]],
    );
    let past = "move,card-desk,,v1,v3,2026-05-03T06:30:00Z,2026-05-03T08:30:00Z,\n";
    check(
        &fixture.state,
        past,
        expect!["line 2, column deadline: 2026-05-03T08:30:00.000Z is in the past"],
    );
    check(
        &State::new(),
        "in,,,,,,,north\n",
        expect!["line 2, column failure_domain: unknown failure domain north, none is registered"],
    );
    assert!(plan::set_failure_domain(&fixture.state, "north", true).is_err());
}

/// Rows of a random sheet; most contradict the state or each other.
fn any_rows() -> impl Strategy<Value = String> {
    let row = (
        0_u8..6,
        0_u8..2,
        0_u8..2,
        1_u8..4,
        1_u8..4,
        0_u8..4,
        1_u8..4,
    )
        .prop_map(|(kind, service, route, from, to, start, len)| {
            let route = ["", "/r"][usize::from(route)];
            let time = |hour: u8| format!("2026-05-04T{:02}:00:00Z", 5 + hour);
            match kind {
                0 | 1 => format!("serve,s{service},{route},,v{to},,,\n"),
                2 | 3 => format!(
                    "move,s{service},{route},v{from},v{to},{},{},\n",
                    time(start),
                    time(start + len)
                ),
                4 => format!("out,,,,,,,d{service}\n"),
                _ => format!("in,,,,,,,d{service}\n"),
            }
        });
    prop::collection::vec(row, 1..5).prop_map(|rows| rows.concat())
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(13),
        ..ProptestConfig::default()
    })]

    /// The fold accepts every computed plan, and the same sheet is no change afterwards.
    #[test]
    fn a_plan_is_accepted_once(
        days in prop::collection::vec((any_rows(), 0_u8..6, 0_u8..4), 1..8),
    ) {
        let mut fixture = StateFixture::new(&["d0", "d1"]);
        for (rows, steps, which) in days {
            if let Ok(plan) = plan(&fixture.state, &rows, NOW) {
                if plan.is_change() {
                    prop_assert_eq!(fixture.change(plan.change("ada", NOW)), Outcome::Applied);
                }
                let again = self::plan(&fixture.state, &rows, NOW);
                prop_assert!(again.as_ref().is_ok_and(|p| !p.is_change()), "{rows}{again:?}");
            }
            fixture.advance_a_move(usize::from(which), usize::from(steps));
        }
    }
}
