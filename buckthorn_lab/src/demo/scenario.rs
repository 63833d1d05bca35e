//! What happens in the demo, and what has to hold.

use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use anyhow::{Context as _, ensure};
use buckthorn::clock::{Clock, Time};
use buckthorn::config::intent::{FULL_SHARE, Move, Phase};
use buckthorn::journal::record::{self, Body, CONFIG_STREAM};
use buckthorn::node::status::Status;
use buckthornctl::Exit;
use serde::Serialize;
use tokio::task::JoinHandle;

use super::Printer;
use crate::backend::Faults;
use crate::deployment::{Fleet, Plan, wait};
use crate::load::call::Deployment;
use crate::load::{self, Report};

/// Calls a second on the whole deployment.
const RATE: f64 = 300.0;

/// Length of the load.
const LOAD_TIME: Duration = Duration::from_secs(48);

/// Time from a sheet to the deadline of its moves.
const MOVE_TIME: Duration = Duration::from_secs(21);

/// Bound of the brief on a change being in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(10);

/// Bound on new work in a failure domain that is out: "a few seconds".
const NO_NEW_WORK: Duration = Duration::from_secs(3);

/// Time that a failure domain stays out.
const OUT_TIME: Duration = Duration::from_secs(7);

/// Time that the log stays away.
const LOG_AWAY: Duration = Duration::from_secs(4);

/// Longest wait for something that is to happen; over it the demo ends.
const PATIENCE: Duration = Duration::from_secs(30);

/// Most of a service's calls that a bad version may harm: one in a hundred.
const MAX_HARMED: f64 = 0.01;

/// What a demo writes as JSON.
#[derive(Debug, Serialize)]
struct Outcome {
    /// Calls sent.
    calls: u64,
    /// Calls answered in full.
    ok: u64,
    /// Steps of every move.
    steps: Vec<Step>,
}

/// One step of a move.
#[derive(Debug, Serialize)]
struct Step {
    /// Move.
    #[serde(rename = "move")]
    id: String,
    /// Time since the start, in seconds.
    at_s: f64,
    /// Share of the new version, in percent.
    share_percent: f64,
    /// Phase that the move entered.
    phase: &'static str,
    /// Why.
    reason: String,
}

/// Running demo.
pub(super) struct Scenario {
    /// Deployment.
    fleet: Fleet,
    /// Service with the good move and the one with the bad.
    services: [&'static str; 2],
    /// Failure domains.
    failure_domains: [&'static str; 3],
    /// Clock of the sheets.
    clock: Clock,
    /// When the demo began, by that clock.
    began: Time,
    /// Promises that broke.
    broken: Vec<String>,
}

impl Scenario {
    /// Starts a deployment with hosts of the new versions beside the old.
    pub(super) fn start(deployment: Deployment, printer: &mut Printer) -> anyhow::Result<Self> {
        let services = match deployment {
            Deployment::Fernleaf => ["card-desk", "proof-vault"],
            Deployment::Otjiwarongo => ["rungs", "replay"],
        };
        let plan = Plan::new(deployment)
            .with_version(services[0], "v2", 6)
            .with_version(services[1], "v2", 3);
        let clock = Clock::new();
        let fleet = Fleet::start(&plan)?;
        let bad = Faults {
            error_permille: 700,
            ..Faults::default()
        };
        fleet.set_faults(services[1], "v2", &bad);
        let took = fleet.wait_joined(PATIENCE)?;
        printer.print(&format!(
            "{} hosts in {} failure domains of {} know each other after {:.1} s",
            fleet.hosts.len(),
            plan.failure_domains.len(),
            plan.region,
            took.as_secs_f64()
        ));
        Ok(Self {
            fleet,
            services,
            failure_domains: plan.failure_domains,
            began: clock.now(),
            clock,
            broken: Vec::new(),
        })
    }

    /// Lets everything happen; returns the promises that broke.
    pub(super) fn run(
        mut self,
        printer: &mut Printer,
        json: Option<&Path>,
    ) -> anyhow::Result<Vec<String>> {
        self.first_sheet(printer)?;
        let load = self.send_load();
        self.moves_sheet(printer)?;
        self.failure_domain(printer)?;
        self.bad_move(printer)?;
        self.good_share(printer)?;
        self.log_and_node(printer)?;
        self.second_sheet(printer)?;
        self.good_move(printer)?;
        let report = self.finish(load, printer)?;
        self.check_report(&report, printer);
        if let Some(path) = json {
            let outcome = Outcome {
                calls: report.sent,
                ok: report.ok,
                steps: self.steps(),
            };
            std::fs::write(path, serde_json::to_string_pretty(&outcome)?)
                .with_context(|| format!("cannot write {}", path.display()))?;
        }
        self.graceful_stop(printer);
        Ok(self.broken)
    }

    /// Applies the sheet that says which versions serve.
    fn first_sheet(&mut self, printer: &Printer) -> anyhow::Result<()> {
        let [good, bad] = self.services;
        let sheet = format!(
            "action,service,route,from,to,start,deadline,failure_domain\r\n\
             serve,{good},,,v1,,,\r\nserve,{bad},,,v1,,,\r\n"
        );
        let took = self.apply(&sheet)?;
        printer.print(&format!(
            "first sheet: {good} and {bad} are served by v1; in force on every node after {}",
            millis(took)
        ));
        Ok(())
    }

    /// Applies the sheet with a good move and a bad one.
    fn moves_sheet(&mut self, printer: &Printer) -> anyhow::Result<()> {
        let [good, bad] = self.services;
        let start = self.clock.now();
        let deadline = start + MOVE_TIME;
        let sheet = format!(
            "action,service,route,from,to,start,deadline,failure_domain\n\
             serve,{good},,,v1,,,\nserve,{bad},,,v1,,,\n\
             move,{good},,v1,v2,{start},{deadline},\nmove,{bad},,v1,v2,{start},{deadline},\n"
        );
        let took = self.apply(&sheet)?;
        printer.print(&format!(
            "second sheet: both services are to move to v2 within {} s; {bad} v2 fails 7 calls in \
             10; in force everywhere after {}",
            MOVE_TIME.as_secs(),
            millis(took)
        ));
        Ok(())
    }

    /// Waits for the bad move to be taken back.
    fn bad_move(&mut self, printer: &Printer) -> anyhow::Result<()> {
        let service = self.services[1];
        wait(PATIENCE, "the bad version is taken back", || {
            printer.progress("waiting for the bad version to be taken back");
            self.find_move(service)
                .is_some_and(|m| m.phase == Phase::RolledBack)
        })?;
        let entry = self.find_move(service).context("the bad move is gone")?;
        printer.print(&format!(
            "{service} v2 was taken back {:.1} s after its sheet: {}",
            entry.changed.since(entry.start).as_secs_f64(),
            entry.reason
        ));
        Ok(())
    }

    /// Takes a failure domain out and brings it back.
    fn failure_domain(&mut self, printer: &Printer) -> anyhow::Result<()> {
        let failure_domain = self.failure_domains[1];
        let (exit, text) = self.fleet.run_ctl(&["out", failure_domain])?;
        ensure!(exit == Exit::Done, "out {failure_domain} failed: {text}");
        thread::sleep(NO_NEW_WORK);
        let before = self.work_in(failure_domain);
        thread::sleep(OUT_TIME.saturating_sub(NO_NEW_WORK));
        let after = self.work_in(failure_domain);
        if after > before {
            self.broken.push(format!(
                "{failure_domain} got {} calls later than {NO_NEW_WORK:?} after it went out",
                after - before
            ));
        }
        let (exit, text) = self.fleet.run_ctl(&["in", failure_domain])?;
        ensure!(exit == Exit::Done, "in {failure_domain} failed: {text}");
        printer.print(&format!(
            "{failure_domain} was out for {} s: {} new calls there after the first {} s; it is \
             back in",
            OUT_TIME.as_secs(),
            after - before,
            NO_NEW_WORK.as_secs()
        ));
        Ok(())
    }

    /// Waits until the good version carries everything; an outage of the log before that could make
    /// the move late, and rightly so.
    fn good_share(&self, printer: &Printer) -> anyhow::Result<()> {
        let service = self.services[0];
        wait(PATIENCE, "the good version carries everything", || {
            printer.progress("waiting for the good version to carry everything");
            self.find_move(service)
                .is_some_and(|m| m.share == FULL_SHARE || m.phase.is_ended())
        })?;
        Ok(())
    }

    /// Kills the log and, while it is away, a node.
    fn log_and_node(&mut self, printer: &Printer) -> anyhow::Result<()> {
        self.fleet.log.stop();
        let victim = self.fleet.hosts.iter().position(|host| {
            host.upstream.service == self.services[0]
                && host.upstream.version == "v1"
                && host.failure_domain == self.failure_domains[2]
        });
        let victim = victim.context("no host to kill")?;
        self.fleet.kill_node(victim);
        let name = self.fleet.hosts[victim].name.clone();
        printer.print(&format!("the log is killed, and so is the node of {name}"));
        thread::sleep(LOG_AWAY);
        self.fleet.log.restart()?;
        self.fleet.start_node(victim)?;
        let took = self.fleet.wait_joined(PATIENCE)?;
        printer.print(&format!(
            "the log is back after {} s; a new node on {name} and all others know each other {:.1} \
             s later",
            LOG_AWAY.as_secs(),
            took.as_secs_f64()
        ));
        Ok(())
    }

    /// Applies a sheet after the log came back.
    fn second_sheet(&mut self, printer: &Printer) -> anyhow::Result<()> {
        let sheet = format!(
            "action,service,route,from,to,start,deadline,failure_domain\n\
             serve,{},/archive,,v1,,,\n",
            self.services[1]
        );
        let took = self.apply(&sheet)?;
        printer.print(&format!(
            "third sheet: a new route; in force everywhere after {}",
            millis(took)
        ));
        Ok(())
    }

    /// Waits for the good move to be done, and checks that it was on time.
    fn good_move(&mut self, printer: &Printer) -> anyhow::Result<()> {
        let service = self.services[0];
        wait(PATIENCE * 2, "the good move is done", || {
            if let Some(entry) = self.find_move(service) {
                let (phase, share) = (entry.phase, f64::from(entry.share) / 10.0);
                printer.progress(&format!("{service} v2: {phase} at {share}%"));
            }
            let phase = self.find_move(service).map(|m| m.phase);
            phase.is_some_and(Phase::is_ended)
        })?;
        let entry = self.find_move(service).context("the good move is gone")?;
        if entry.phase != Phase::Done {
            self.broken.push(format!(
                "the good move ended as {}: {}",
                entry.phase, entry.reason
            ));
            return Ok(());
        }
        let full = self.full_since(&entry.id)?;
        if full > entry.deadline {
            let late = full.since(entry.deadline);
            self.broken.push(format!(
                "the good move was late by {:.1} s",
                late.as_secs_f64()
            ));
        }
        let spare = entry.deadline.since(full).as_secs_f64();
        printer.print(&format!(
            "{service} v2 carries all traffic, {spare:.1} s before its deadline; watched and done"
        ));
        Ok(())
    }

    /// Steps of every move, as the log holds them.
    fn steps(&self) -> Vec<Step> {
        let records = self.fleet.log.records(CONFIG_STREAM);
        let steps = records
            .iter()
            .filter_map(|r| match record::decode(&r.payload) {
                Ok(Body::Step(step)) => Some(step),
                _ => None,
            });
        steps
            .map(|step| Step {
                id: step.id.to_string(),
                at_s: step.at.since(self.began).as_secs_f64(),
                share_percent: f64::from(step.share) / 10.0,
                phase: step.phase.as_str(),
                reason: step.reason,
            })
            .collect()
    }

    /// When a move's new version first carried everything.
    fn full_since(&self, id: &str) -> anyhow::Result<Time> {
        let records = self.fleet.log.records(CONFIG_STREAM);
        let steps = records
            .iter()
            .filter_map(|r| match record::decode(&r.payload) {
                Ok(Body::Step(step)) if *step.id == *id && step.share == FULL_SHARE => {
                    Some(step.at)
                }
                _ => None,
            });
        steps.min().context("the move never carried everything")
    }

    /// Waits for the load to end.
    fn finish(
        &self,
        load: JoinHandle<anyhow::Result<Report>>,
        printer: &Printer,
    ) -> anyhow::Result<Report> {
        while !load.is_finished() {
            printer.progress("waiting for the load to end");
            thread::sleep(Duration::from_millis(200));
        }
        self.fleet.block_on(load).context("the load broke off")?
    }

    /// Compares what came of the calls with the promises.
    fn check_report(&mut self, report: &Report, printer: &Printer) {
        let doubles = self.fleet.ledger.duplicates().len();
        printer.print(&format!(
            "{} calls: {} answered in full, {} shorts, {} strangers, {} orders run twice",
            report.sent, report.ok, report.truncated, report.mismatched, doubles
        ));
        for (kind, summary) in &report.latency {
            printer.print(&format!(
                "  {kind:<9} p50 {:.1} ms, p99 {:.1} ms, p99.9 {:.1} ms",
                summary.p50_ms, summary.p99_ms, summary.p999_ms
            ));
        }
        for (list, what) in [
            (&report.not_run, "refused as not run"),
            (&report.unknown, "of unknown outcome"),
            (&report.status, "answered with"),
        ] {
            for (reason, count) in list {
                printer.print(&format!("  {count} {what}: {reason}"));
            }
        }
        let harmed = report.sent - report.ok;
        let share = harmed as f64 / report.sent.max(1) as f64;
        printer.print(&format!(
            "  {harmed} calls harmed in all, {:.2}%",
            share * 100.0
        ));
        if share > MAX_HARMED {
            self.broken
                .push(format!("{:.2}% of the calls were harmed", share * 100.0));
        }
        if doubles > 0 {
            self.broken.push(format!("{doubles} orders ran twice"));
        }
        if report.truncated > 0 || report.mismatched > 0 {
            self.broken.push("an answer was short or another's".into());
        }
    }

    /// Stops one node gracefully.
    fn graceful_stop(&mut self, printer: &Printer) {
        let drained = self.fleet.stop_node(0);
        printer.print(&format!("one node is stopped gracefully: {drained:?}"));
        if drained != Some(buckthorn::proxy::Drained::Clean) {
            self.broken
                .push("a planned stop cut calls in flight".into());
        }
    }

    /// Applies a sheet and waits until it is in force everywhere.
    fn apply(&mut self, sheet: &str) -> anyhow::Result<Duration> {
        let began = Instant::now();
        self.fleet.apply(sheet)?;
        let version = self.intent_version()?;
        let applied = began.elapsed();
        self.fleet.wait_version(version, IN_FORCE)?;
        Ok(began.elapsed().saturating_sub(applied))
    }

    /// Version of the operators' last change, as the command line tells it.
    fn intent_version(&self) -> anyhow::Result<u64> {
        let (exit, text) = self.fleet.run_ctl(&["--json", "status"])?;
        ensure!(exit == Exit::Done, "status failed: {text}");
        let status: serde_json::Value = serde_json::from_str(text.trim())?;
        status["intent_version"]
            .as_u64()
            .context("status tells no intent version")
    }

    /// Sends load to the nodes of the first failure domain and of the new versions.
    fn send_load(&self) -> JoinHandle<anyhow::Result<Report>> {
        let stays = self.failure_domains[0];
        let mut settings = load::Settings::new(self.fleet.targets(|h| h.failure_domain == stays));
        settings.rate = RATE;
        settings.duration = LOAD_TIME;
        if self.services[0] == "rungs" {
            settings.deployment = Deployment::Otjiwarongo;
        }
        self.fleet.handle().spawn(load::send(settings))
    }

    /// Requests that the backend servers of a failure domain have refused or run.
    fn work_in(&self, failure_domain: &str) -> u64 {
        let hosts = self
            .fleet
            .hosts
            .iter()
            .filter(|h| h.failure_domain == failure_domain);
        hosts.map(|host| host.backend.requests()).sum()
    }

    /// Status of some node that runs.
    fn status(&self) -> Option<Status> {
        self.fleet.nodes().find_map(buckthorn::node::Node::status)
    }

    /// Move of a service, ended or not, as a node folded it.
    fn find_move(&self, service: &str) -> Option<Move> {
        self.status()?
            .moves
            .into_iter()
            .find(|m| *m.service == *service)
    }
}

/// A duration in milliseconds.
fn millis(duration: Duration) -> String {
    format!("{:.0} ms", duration.as_secs_f64() * 1_000.0)
}
