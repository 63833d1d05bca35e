//! The commands. All but `explain` open a [`Session`] on the log; each writes to an [`Output`].

use std::io::Read as _;
use std::path::Path;
use std::time::{Duration, Instant};

use anyhow::Context as _;
use buckthorn::clock::Clock;
use buckthorn::config::intent::Phase;
use buckthorn::config::plan::{self, Plan, percent};
use buckthorn::config::sheet::{self, Fault};
use serde_json::{Value, json};

use crate::Exit;
use crate::explain;
use crate::flags::BuckthornctlCmd;
use crate::output::Output;
use crate::report;
use crate::session::{PublishOutcome, Session};
use crate::settings::Settings;
use crate::status::{self, Status};

/// Longest wait of one long poll by `watch`.
const WATCH_POLL_TIMEOUT: Duration = Duration::from_secs(10);

/// Error that prevents a plan from being made.
enum PlanError {
    /// An argument names something that does not exist.
    InvalidInput(String),
    /// The sheet is malformed or contradicts the state in force.
    InvalidSheet(Vec<Fault>),
}

/// Runs one command and returns its exit code.
pub fn run(command: &BuckthornctlCmd, settings: &Settings, output: &mut Output<'_>) -> Exit {
    match command {
        BuckthornctlCmd::Plan(flags) => with_sheet(&flags.sheet, output, |bytes, output| {
            show_plan(settings, output, |session| plan_sheet(session, bytes))
        }),
        BuckthornctlCmd::Apply(flags) => with_sheet(&flags.sheet, output, |bytes, output| {
            publish(settings, output, |session| plan_sheet(session, bytes))
        }),
        BuckthornctlCmd::Out(flags) => publish(settings, output, |session| {
            plan_failure_domain(session, &flags.failure_domain, true)
        }),
        BuckthornctlCmd::In(flags) => publish(settings, output, |session| {
            plan_failure_domain(session, &flags.failure_domain, false)
        }),
        BuckthornctlCmd::Status(_) => show_status(settings, output),
        BuckthornctlCmd::Watch(flags) => watch(settings, output, &flags.id),
        BuckthornctlCmd::History(_) => show_history(settings, output),
        BuckthornctlCmd::Explain(flags) => explain::run(&flags.request, &flags.log, output),
    }
}

/// Reads a sheet and calls `then` with its bytes.
fn with_sheet(
    path: &Path,
    output: &mut Output<'_>,
    then: impl FnOnce(&[u8], &mut Output<'_>) -> Exit,
) -> Exit {
    match read_sheet(path) {
        Ok(bytes) => then(&bytes, output),
        Err(error) => output.bad_input(&error),
    }
}

/// Reads a sheet. One byte more than allowed is enough for the parser to refuse it as too long.
fn read_sheet(path: &Path) -> anyhow::Result<Vec<u8>> {
    let limit = sheet::MAX_BYTES as u64 + 1;
    let mut bytes = Vec::new();
    std::fs::File::open(path)
        .and_then(|file| file.take(limit).read_to_end(&mut bytes))
        .with_context(|| format!("cannot read the sheet {}", path.display()))?;
    Ok(bytes)
}

/// Plans the changes that a sheet makes to the state in force.
fn plan_sheet(session: &Session<'_>, bytes: &[u8]) -> Result<Plan, PlanError> {
    let sheet = sheet::parse(bytes).map_err(PlanError::InvalidSheet)?;
    plan::compute(session.state(), &sheet, Clock::new().now()).map_err(PlanError::InvalidSheet)
}

/// Plans taking a failure domain out of service or bringing it back.
fn plan_failure_domain(session: &Session<'_>, name: &str, is_out: bool) -> Result<Plan, PlanError> {
    plan::set_failure_domain(session.state(), name, is_out).map_err(PlanError::InvalidInput)
}

/// Prints a plan without publishing it.
fn show_plan(
    settings: &Settings,
    output: &mut Output<'_>,
    make_plan: impl Fn(&Session<'_>) -> Result<Plan, PlanError>,
) -> Exit {
    let session = match Session::open(settings) {
        Ok(session) => session,
        Err(error) => return output.fail(Exit::Failed, error),
    };
    match make_plan(&session) {
        Ok(plan) => {
            let summary = match plan.is_change() {
                true => "not published; apply publishes it",
                false => "nothing to change",
            };
            output.result(&plan_json(&plan, "planned"), plan_text(&plan, summary));
            Exit::Done
        }
        Err(error) => report_plan_error(output, error),
    }
}

/// Makes a plan and publishes it.
fn publish(
    settings: &Settings,
    output: &mut Output<'_>,
    make_plan: impl Fn(&Session<'_>) -> Result<Plan, PlanError>,
) -> Exit {
    let mut session = match Session::open(settings) {
        Ok(session) => session,
        Err(error) => return output.fail(Exit::Failed, error),
    };
    let plan = match make_plan(&session) {
        Ok(plan) => plan,
        Err(error) => return report_plan_error(output, error),
    };
    if !plan.is_change() {
        output.result(
            &plan_json(&plan, "unchanged"),
            plan_text(&plan, "nothing to change"),
        );
        return Exit::Done;
    }
    let change = plan.change(settings.author.as_str(), Clock::new().now());
    match session.publish(&change) {
        PublishOutcome::Accepted => {
            let summary = format!("published, version {}", session.state().intent_version);
            let mut json = plan_json(&plan, "published");
            json["version"] = session.state().intent_version.into();
            output.result(&json, plan_text(&plan, &summary));
            Exit::Done
        }
        PublishOutcome::Refused { reason } => match make_plan(&session) {
            // The change that came first had the same effect.
            Ok(plan) if !plan.is_change() => {
                let summary = "nothing to change, someone else has published it";
                output.result(&plan_json(&plan, "unchanged"), plan_text(&plan, summary));
                Exit::Done
            }
            _ => {
                let last = session.state().history.iter().rev().find(|e| e.is_accepted);
                let last = last.map_or(String::new(), |entry| {
                    format!(
                        " (last change: {} by {}: {})",
                        entry.at, entry.author, entry.text
                    )
                });
                let error = format!("refused, nothing has changed: {reason}{last}; plan it again");
                output.fail(Exit::Overtaken, error)
            }
        },
        PublishOutcome::Failed { reason } => {
            output.fail(Exit::Failed, format!("not published: {reason}"))
        }
        PublishOutcome::Unknown { id, reason } => {
            let error = format!(
                "outcome unknown: {reason}; look for {id} in history, or apply again: \
                 a change that is already in force is not published twice"
            );
            output.fail(Exit::Failed, error)
        }
    }
}

/// Prints why a plan could not be made.
fn report_plan_error(output: &mut Output<'_>, error: PlanError) -> Exit {
    let faults = match error {
        PlanError::InvalidInput(text) => return output.fail(Exit::BadInput, text),
        PlanError::InvalidSheet(faults) => faults,
    };
    let lines: Vec<String> = faults.iter().map(Fault::to_string).collect();
    let json = json!({
        "error": "the sheet was refused, nothing was published",
        "exit": Exit::BadInput.code(),
        "faults": faults,
    });
    let text = format!(
        "{}\nthe sheet was refused, nothing was published",
        lines.join("\n")
    );
    output.result(&json, text);
    Exit::BadInput
}

/// Renders a plan as JSON; `result` is `planned`, `unchanged` or `published`.
fn plan_json(plan: &Plan, result: &str) -> Value {
    json!({
        "result": result,
        "base": plan.base,
        "operations": plan.operations.len(),
        "lines": plan.lines,
    })
}

/// Renders a plan as text, with a summary as the last line.
fn plan_text(plan: &Plan, summary: &str) -> String {
    let mut lines: Vec<String> = plan.lines.iter().map(ToString::to_string).collect();
    lines.push(summary.to_owned());
    lines.join("\n")
}

/// Prints the configuration in force and the reports on nodes and backend servers.
fn show_status(settings: &Settings, output: &mut Output<'_>) -> Exit {
    let session = match Session::open(settings) {
        Ok(session) => session,
        Err(error) => return output.fail(Exit::Failed, error),
    };
    let state = session.state();
    let domains = &state.intent.failure_domains;
    let names: Vec<&str> = domains.iter().map(|domain| &*domain.name).collect();
    let reports = match report::read_newest(&*settings.log, &names) {
        Ok(reports) => reports,
        Err(error) => {
            output.note(format!(
                "cannot read the reports on nodes and backend servers: {error:#}"
            ));
            Vec::new()
        }
    };
    let status = Status::new(state, &reports, Clock::new().now());
    output.result(&status, status::render(&status));
    Exit::Done
}

/// Prints the last accepted and refused changes.
fn show_history(settings: &Settings, output: &mut Output<'_>) -> Exit {
    let session = match Session::open(settings) {
        Ok(session) => session,
        Err(error) => return output.fail(Exit::Failed, error),
    };
    let entries: Vec<status::HistoryEntry> =
        session.state().history.iter().map(Into::into).collect();
    output.result(&entries, status::render_history(&entries));
    Exit::Done
}

/// Prints each step of a move until it ends.
fn watch(settings: &Settings, output: &mut Output<'_>, id: &str) -> Exit {
    let mut session = match Session::open(settings) {
        Ok(session) => session,
        Err(error) => return output.fail(Exit::Failed, error),
    };
    let mut last_shown = None;
    let mut last_read = Instant::now();
    loop {
        let Some(entry) = session.state().intent.find_move(id) else {
            let exit = match last_shown {
                Some(_) => Exit::Failed,
                None => Exit::BadInput,
            };
            return output.fail(exit, format!("no move {id}; status lists them"));
        };
        if last_shown != Some((entry.phase, entry.share)) {
            last_shown = Some((entry.phase, entry.share));
            let line = status::MoveStatus::from(entry);
            let text = format!(
                "{}  {}  {} on {}  {}",
                line.changed,
                entry.phase,
                percent(entry.share),
                entry.to,
                entry.reason
            );
            output.result(&line, text);
        }
        match entry.phase {
            Phase::Done => return Exit::Done,
            Phase::RolledBack => return Exit::Failed,
            Phase::Cancelled => return Exit::Overtaken,
            Phase::Waiting | Phase::Shifting | Phase::Holding | Phase::Watching => {}
        }
        match session.wait(WATCH_POLL_TIMEOUT) {
            Ok(()) => last_read = Instant::now(),
            Err(error) if last_read.elapsed() >= settings.timeout => {
                return output.fail(
                    Exit::Failed,
                    format!("the move's outcome is unknown: {error:#}"),
                );
            }
            Err(error) => {
                output.note(format!("retrying: {error:#}"));
                if let Err(error) = session.refresh() {
                    return output.fail(
                        Exit::Failed,
                        format!("the move's outcome is unknown: {error:#}"),
                    );
                }
            }
        }
    }
}
