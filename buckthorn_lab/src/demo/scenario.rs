//! Steps of the demo and the guarantees that it checks.

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

/// Calls per second on the whole deployment.
const RATE: f64 = 300.0;

/// Duration of the load.
const LOAD_DURATION: Duration = Duration::from_secs(48);

/// Time from a sheet to the deadline of its moves.
const MOVE_TIME: Duration = Duration::from_secs(21);

/// Required limit for a change to be in force on every node.
const CONVERGENCE_LIMIT: Duration = Duration::from_secs(10);

/// Time after which a failure domain that was taken out must get no new calls; the requirement says
/// "a few seconds".
const TAKE_OUT_LIMIT: Duration = Duration::from_secs(3);

/// Time that a failure domain stays out.
const OUT_DURATION: Duration = Duration::from_secs(7);

/// Duration of the log outage.
const LOG_OUTAGE: Duration = Duration::from_secs(4);

/// Timeout for an expected event, after which the demo fails.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Maximum share of calls that may fail, the bad version included: one in a hundred.
const MAX_FAILED_SHARE: f64 = 0.01;

/// JSON output of the demo.
#[derive(Debug, Serialize)]
struct Outcome {
    /// Number of calls sent.
    calls: u64,
    /// Number of calls with a complete response.
    ok: u64,
    /// Steps of every move, in log order.
    steps: Vec<Step>,
}

/// One step of a move.
#[derive(Debug, Serialize)]
struct Step {
    /// Identifier of the move.
    #[serde(rename = "move")]
    id: String,
    /// Time since the start of the demo, in seconds.
    at_s: f64,
    /// Share of the new version, in percent.
    share_percent: f64,
    /// Phase that the move entered.
    phase: &'static str,
    /// Reason for the step.
    reason: String,
}

/// A running demo.
pub(super) struct Scenario {
    /// Embedded deployment.
    fleet: Fleet,
    /// Service with the good move, then the one with the bad move.
    services: [&'static str; 2],
    /// Failure domains of the deployment.
    failure_domains: [&'static str; 3],
    /// Clock for times in sheets.
    clock: Clock,
    /// When the demo started, by that clock.
    started: Time,
    /// Violated guarantees.
    violations: Vec<String>,
}

impl Scenario {
    /// Starts a deployment with additional hosts that run the new versions.
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
        let took = fleet.wait_joined(WAIT_TIMEOUT)?;
        printer.print(&format!(
            "{} hosts in {} failure domains of {} joined after {:.1} s",
            fleet.hosts.len(),
            plan.failure_domains.len(),
            plan.region,
            took.as_secs_f64()
        ));
        Ok(Self {
            fleet,
            services,
            failure_domains: plan.failure_domains,
            started: clock.now(),
            clock,
            violations: Vec::new(),
        })
    }

    /// Runs all steps; returns the violated guarantees.
    pub(super) fn run(
        mut self,
        printer: &mut Printer,
        json: Option<&Path>,
    ) -> anyhow::Result<Vec<String>> {
        self.apply_first_sheet(printer)?;
        let load = self.send_load();
        self.apply_moves_sheet(printer)?;
        self.cycle_failure_domain(printer)?;
        self.wait_rollback(printer)?;
        self.wait_full_share(printer)?;
        self.restart_log_and_node(printer)?;
        self.apply_third_sheet(printer)?;
        self.wait_good_move(printer)?;
        let report = self.wait_load(load, printer)?;
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
        Ok(self.violations)
    }

    /// Applies the sheet that sets the versions in service.
    fn apply_first_sheet(&mut self, printer: &Printer) -> anyhow::Result<()> {
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
    fn apply_moves_sheet(&mut self, printer: &Printer) -> anyhow::Result<()> {
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
             10; in force on every node after {}",
            MOVE_TIME.as_secs(),
            millis(took)
        ));
        Ok(())
    }

    /// Waits until the bad move is rolled back.
    fn wait_rollback(&mut self, printer: &Printer) -> anyhow::Result<()> {
        let service = self.services[1];
        wait(WAIT_TIMEOUT, "the bad version is rolled back", || {
            printer.progress("waiting for the bad version to be rolled back");
            self.find_move(service)
                .is_some_and(|m| m.phase == Phase::RolledBack)
        })?;
        let entry = self.find_move(service).context("the bad move is missing")?;
        printer.print(&format!(
            "{service} v2 was rolled back {:.1} s after its sheet: {}",
            entry.changed.since(entry.start).as_secs_f64(),
            entry.reason
        ));
        Ok(())
    }

    /// Takes a failure domain out and back in, and checks that it gets no new calls while out.
    fn cycle_failure_domain(&mut self, printer: &Printer) -> anyhow::Result<()> {
        let failure_domain = self.failure_domains[1];
        let (exit, text) = self.fleet.run_ctl(&["out", failure_domain])?;
        ensure!(exit == Exit::Done, "out {failure_domain} failed: {text}");
        thread::sleep(TAKE_OUT_LIMIT);
        let before = self.requests_in(failure_domain);
        thread::sleep(OUT_DURATION.saturating_sub(TAKE_OUT_LIMIT));
        let after = self.requests_in(failure_domain);
        if after > before {
            self.violations.push(format!(
                "{failure_domain} got {} calls later than {TAKE_OUT_LIMIT:?} after it went out",
                after - before
            ));
        }
        let (exit, text) = self.fleet.run_ctl(&["in", failure_domain])?;
        ensure!(exit == Exit::Done, "in {failure_domain} failed: {text}");
        printer.print(&format!(
            "{failure_domain} was out for {} s and got {} new calls after the first {} s; it is \
             back in service",
            OUT_DURATION.as_secs(),
            after - before,
            TAKE_OUT_LIMIT.as_secs()
        ));
        Ok(())
    }

    /// Waits until the good version serves all traffic. The log outage comes only after that: an
    /// outage during the move could delay it past its deadline, which would be no violation.
    fn wait_full_share(&self, printer: &Printer) -> anyhow::Result<()> {
        let service = self.services[0];
        wait(WAIT_TIMEOUT, "the good version serves all traffic", || {
            printer.progress("waiting for the good version to serve all traffic");
            self.find_move(service)
                .is_some_and(|m| m.share == FULL_SHARE || m.phase.is_ended())
        })?;
        Ok(())
    }

    /// Kills the log and, during the outage, a node; then restarts both.
    fn restart_log_and_node(&mut self, printer: &Printer) -> anyhow::Result<()> {
        self.fleet.log.stop();
        let victim = self.fleet.hosts.iter().position(|host| {
            host.upstream.service == self.services[0]
                && host.upstream.version == "v1"
                && host.failure_domain == self.failure_domains[2]
        });
        let victim = victim.context("no host to kill")?;
        self.fleet.kill_node(victim);
        let name = self.fleet.hosts[victim].name.clone();
        printer.print(&format!("the log and the node of {name} are killed"));
        thread::sleep(LOG_OUTAGE);
        self.fleet.log.restart()?;
        self.fleet.start_node(victim)?;
        let took = self.fleet.wait_joined(WAIT_TIMEOUT)?;
        printer.print(&format!(
            "the log is back after {} s; a new node on {name} joined all others {:.1} s later",
            LOG_OUTAGE.as_secs(),
            took.as_secs_f64()
        ));
        Ok(())
    }

    /// Applies a sheet with a new route after the log outage.
    fn apply_third_sheet(&mut self, printer: &Printer) -> anyhow::Result<()> {
        let sheet = format!(
            "action,service,route,from,to,start,deadline,failure_domain\n\
             serve,{},/archive,,v1,,,\n",
            self.services[1]
        );
        let took = self.apply(&sheet)?;
        printer.print(&format!(
            "third sheet: a new route; in force on every node after {}",
            millis(took)
        ));
        Ok(())
    }

    /// Waits until the good move is done and checks that it met its deadline.
    fn wait_good_move(&mut self, printer: &Printer) -> anyhow::Result<()> {
        let service = self.services[0];
        wait(WAIT_TIMEOUT * 2, "the good move is done", || {
            if let Some(entry) = self.find_move(service) {
                let (phase, share) = (entry.phase, f64::from(entry.share) / 10.0);
                printer.progress(&format!("{service} v2: {phase} at {share}%"));
            }
            let phase = self.find_move(service).map(|m| m.phase);
            phase.is_some_and(Phase::is_ended)
        })?;
        let entry = self
            .find_move(service)
            .context("the good move is missing")?;
        if entry.phase != Phase::Done {
            self.violations.push(format!(
                "the good move ended as {}: {}",
                entry.phase, entry.reason
            ));
            return Ok(());
        }
        let full_at = self.full_share_at(&entry.id)?;
        if full_at > entry.deadline {
            let late = full_at.since(entry.deadline);
            self.violations.push(format!(
                "the good move was late by {:.1} s",
                late.as_secs_f64()
            ));
        }
        let spare = entry.deadline.since(full_at).as_secs_f64();
        printer.print(&format!(
            "{service} v2 served all traffic {spare:.1} s before its deadline; the move is done"
        ));
        Ok(())
    }

    /// Reads the steps of every move from the log.
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
                at_s: step.at.since(self.started).as_secs_f64(),
                share_percent: f64::from(step.share) / 10.0,
                phase: step.phase.as_str(),
                reason: step.reason,
            })
            .collect()
    }

    /// Returns the time of a move's first step to the full share.
    fn full_share_at(&self, id: &str) -> anyhow::Result<Time> {
        let records = self.fleet.log.records(CONFIG_STREAM);
        let steps = records
            .iter()
            .filter_map(|r| match record::decode(&r.payload) {
                Ok(Body::Step(step)) if *step.id == *id && step.share == FULL_SHARE => {
                    Some(step.at)
                }
                _ => None,
            });
        steps.min().context("the move never reached the full share")
    }

    /// Waits until the load ends.
    fn wait_load(
        &self,
        load: JoinHandle<anyhow::Result<Report>>,
        printer: &Printer,
    ) -> anyhow::Result<Report> {
        while !load.is_finished() {
            printer.progress("waiting for the load to end");
            thread::sleep(Duration::from_millis(200));
        }
        self.fleet.block_on(load).context("the load task failed")?
    }

    /// Prints the results of the load and checks them against the guarantees.
    fn check_report(&mut self, report: &Report, printer: &Printer) {
        let duplicates = self.fleet.ledger.duplicates().len();
        printer.print(&format!(
            "{} calls: {} complete responses, {} truncated, {} mismatched, {} orders run twice",
            report.sent, report.ok, report.truncated, report.mismatched, duplicates
        ));
        for (kind, summary) in &report.latency {
            printer.print(&format!(
                "  {kind:<9} p50 {:.1} ms, p99 {:.1} ms, p99.9 {:.1} ms",
                summary.p50_ms, summary.p99_ms, summary.p999_ms
            ));
        }
        for (list, what) in [
            (&report.not_run, "refused, not run"),
            (&report.unknown, "of unknown outcome"),
            (&report.status, "with error status"),
        ] {
            for (reason, count) in list {
                printer.print(&format!("  {count} {what}: {reason}"));
            }
        }
        let failed = report.sent - report.ok;
        let share = failed as f64 / report.sent.max(1) as f64;
        printer.print(&format!(
            "  {failed} calls failed in all, {:.2}%",
            share * 100.0
        ));
        if share > MAX_FAILED_SHARE {
            self.violations
                .push(format!("{:.2}% of the calls failed", share * 100.0));
        }
        if duplicates > 0 {
            self.violations
                .push(format!("{duplicates} orders ran twice"));
        }
        if report.truncated > 0 || report.mismatched > 0 {
            self.violations
                .push("a response was truncated or mismatched".into());
        }
    }

    /// Stops one node gracefully and checks that it drains without aborting calls.
    fn graceful_stop(&mut self, printer: &Printer) {
        let drained = self.fleet.stop_node(0);
        printer.print(&format!("one node was stopped gracefully: {drained:?}"));
        if drained != Some(buckthorn::proxy::Drained::Clean) {
            self.violations
                .push("a graceful stop aborted calls in flight".into());
        }
    }

    /// Applies a sheet and waits until it is in force on every node; returns the duration of that
    /// wait, without the command itself.
    fn apply(&mut self, sheet: &str) -> anyhow::Result<Duration> {
        let started = Instant::now();
        self.fleet.apply(sheet)?;
        let version = self.intent_version()?;
        let applied = started.elapsed();
        self.fleet.wait_version(version, CONVERGENCE_LIMIT)?;
        Ok(started.elapsed().saturating_sub(applied))
    }

    /// Returns the intent version that `buckthornctl status` prints.
    fn intent_version(&self) -> anyhow::Result<u64> {
        let (exit, text) = self.fleet.run_ctl(&["--json", "status"])?;
        ensure!(exit == Exit::Done, "status failed: {text}");
        let status: serde_json::Value = serde_json::from_str(text.trim())?;
        status["intent_version"]
            .as_u64()
            .context("status has no intent version")
    }

    /// Starts the load on the nodes of the first failure domain, which stays in service.
    fn send_load(&self) -> JoinHandle<anyhow::Result<Report>> {
        let in_service = self.failure_domains[0];
        let mut settings =
            load::Settings::new(self.fleet.targets(|h| h.failure_domain == in_service));
        settings.rate = RATE;
        settings.duration = LOAD_DURATION;
        if self.services[0] == "rungs" {
            settings.deployment = Deployment::Otjiwarongo;
        }
        self.fleet.handle().spawn(load::send(settings))
    }

    /// Number of requests received by the backend servers of a failure domain.
    fn requests_in(&self, failure_domain: &str) -> u64 {
        let hosts = self
            .fleet
            .hosts
            .iter()
            .filter(|h| h.failure_domain == failure_domain);
        hosts.map(|host| host.backend.requests()).sum()
    }

    /// Returns the status of any running node.
    fn status(&self) -> Option<Status> {
        self.fleet.nodes().find_map(buckthorn::node::Node::status)
    }

    /// Returns the move of a service, ended or not, from the status of a node.
    fn find_move(&self, service: &str) -> Option<Move> {
        self.status()?
            .moves
            .into_iter()
            .find(|m| *m.service == *service)
    }
}

/// Formats a duration in milliseconds.
fn millis(duration: Duration) -> String {
    format!("{:.0} ms", duration.as_secs_f64() * 1_000.0)
}
