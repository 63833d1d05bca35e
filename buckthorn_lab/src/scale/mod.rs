//! Control cost and convergence against the number of nodes, with real processes on loopback.
//!
//! For each number of nodes the run starts that many `buckthornd` processes with a stand-in of the
//! log, announces a backend server to each, and measures a quiet window, changes published one by
//! one, and backend servers replaced one by one. Lines of least squares through the points give
//! the slopes that docs/CAPACITY.md works with.

pub mod fit;
mod fleet;
pub mod process;
mod rate;

use std::path::PathBuf;

use anyhow::{Context as _, ensure};
use serde::{Deserialize, Serialize};

use self::fit::Line;
use self::fleet::Fleet;
use crate::flags;

/// Node counts when none are given.
const DEFAULT_NODES: &[usize] = &[9, 30, 60, 90];

/// Most processes of one run.
const MAX_PROCESSES: usize = 300;

/// Figures for one number of nodes; rates are means over the nodes.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Point {
    /// Nodes.
    pub nodes: usize,
    /// Time until every node knew every other, in seconds.
    pub join_s: f64,
    /// Resident memory of a node in megabytes, mean.
    pub memory_mb: f64,
    /// Resident memory of a node in megabytes, largest.
    pub memory_worst_mb: f64,
    /// Share of a core that a quiet node spends, in percent.
    pub cpu_percent: f64,
    /// Share of a core that the busiest quiet node spends, in percent.
    pub cpu_worst_percent: f64,
    /// Control bytes in and out of a quiet node a second, mean.
    pub bytes_per_s: f64,
    /// Control bytes in and out of the busiest quiet node a second.
    pub bytes_worst_per_s: f64,
    /// Control messages that a quiet node sends a second.
    pub messages_per_s: f64,
    /// Appends a second on the log while quiet.
    pub appends_per_s: f64,
    /// Control bytes in and out of a node for one change, beyond the quiet rate.
    pub bytes_per_change: f64,
    /// Processor time of a node for one change in milliseconds, beyond the quiet rate.
    pub cpu_ms_per_change: f64,
    /// Control bytes in and out of a node for one backend server replaced, beyond the quiet rate.
    pub bytes_per_replacement: f64,
    /// Median time from append to in force on the last node, in seconds.
    pub converge_p50_s: f64,
    /// Longest such time.
    pub converge_worst_s: f64,
    /// Nodes of the failure domain that restarts at once.
    pub herd_nodes: usize,
    /// Time until they and all others know each other again, in seconds.
    pub herd_s: f64,
    /// Appends on the log within that time.
    pub herd_appends: f64,
    /// Control bytes in and out of a node outside of it within that time, beyond the quiet rate.
    pub herd_bytes: f64,
}

/// Result of a run.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Outcome {
    /// Figures for each number of nodes.
    pub points: Vec<Point>,
    /// Lines through the figures.
    pub slopes: Vec<Slope>,
}

/// Line through one figure.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Slope {
    /// Figure.
    pub figure: String,
    /// Line against the number of nodes.
    pub line: Line,
    /// Value at 780 nodes, extrapolated.
    pub at_780: f64,
}

/// Runs the command.
///
/// # Errors
///
/// Fails when the daemon is missing, a node does not start, or a change does not converge.
pub fn run(flags: &flags::Scale) -> anyhow::Result<()> {
    let counts = parse_counts(flags.nodes.as_deref())?;
    let program = daemon()?;
    let mut points = Vec::new();
    for count in counts {
        eprintln!("measuring {count} nodes");
        let point = Fleet::start(&program, count)?.measure()?;
        println!("{}", line(&point));
        points.push(point);
    }
    let slopes = slopes(&points);
    for slope in &slopes {
        println!(
            "{:<24} {:>12.4} + {:>10.6} x nodes (residual {:.4}); at 780: {:.4}",
            slope.figure, slope.line.intercept, slope.line.slope, slope.line.residual, slope.at_780
        );
    }
    if let Some(path) = &flags.json {
        std::fs::write(
            path,
            serde_json::to_string_pretty(&Outcome { points, slopes })?,
        )?;
    }
    Ok(())
}

/// Node counts of the command line.
fn parse_counts(text: Option<&str>) -> anyhow::Result<Vec<usize>> {
    let Some(text) = text else {
        return Ok(DEFAULT_NODES.to_vec());
    };
    text.split(',')
        .map(|part| {
            let count: usize = part
                .trim()
                .parse()
                .with_context(|| format!("--nodes: {part:?} is no number"))?;
            ensure!(
                (1..=MAX_PROCESSES).contains(&count),
                "--nodes: {count} is not between 1 and {MAX_PROCESSES}"
            );
            Ok(count)
        })
        .collect()
}

/// Path of the daemon, built beside this program.
fn daemon() -> anyhow::Result<PathBuf> {
    let path = std::env::current_exe()?.with_file_name("buckthornd");
    ensure!(
        path.exists(),
        "buckthornd is not built beside this program: run cargo build --release --workspace first"
    );
    Ok(path)
}

/// One line of the table.
fn line(point: &Point) -> String {
    format!(
        "{:>4} nodes: join {:.1} s, {:.1} MB (worst {:.1}), cpu {:.2}% (worst {:.2}), {:.0} B/s \
         (worst {:.0}), {:.2} messages/s, {:.2} appends/s, change {:.0} B {:.2} ms, replacement \
         {:.0} B, converged in {:.2} s (worst {:.2}), herd of {} back in {:.1} s with {:.0} appends \
         and {:.0} B at each other node",
        point.nodes,
        point.join_s,
        point.memory_mb,
        point.memory_worst_mb,
        point.cpu_percent,
        point.cpu_worst_percent,
        point.bytes_per_s,
        point.bytes_worst_per_s,
        point.messages_per_s,
        point.appends_per_s,
        point.bytes_per_change,
        point.cpu_ms_per_change,
        point.bytes_per_replacement,
        point.converge_p50_s,
        point.converge_worst_s,
        point.herd_nodes,
        point.herd_s,
        point.herd_appends,
        point.herd_bytes,
    )
}

/// Name and value of a figure.
type Figure = (&'static str, fn(&Point) -> f64);

/// Figures that lines are fitted to.
const FIGURES: &[Figure] = &[
    ("join_s", |p| p.join_s),
    ("memory_mb", |p| p.memory_mb),
    ("memory_worst_mb", |p| p.memory_worst_mb),
    ("cpu_percent", |p| p.cpu_percent),
    ("cpu_worst_percent", |p| p.cpu_worst_percent),
    ("bytes_per_s", |p| p.bytes_per_s),
    ("bytes_worst_per_s", |p| p.bytes_worst_per_s),
    ("messages_per_s", |p| p.messages_per_s),
    ("appends_per_s", |p| p.appends_per_s),
    ("bytes_per_change", |p| p.bytes_per_change),
    ("cpu_ms_per_change", |p| p.cpu_ms_per_change),
    ("bytes_per_replacement", |p| p.bytes_per_replacement),
    ("converge_p50_s", |p| p.converge_p50_s),
    ("converge_worst_s", |p| p.converge_worst_s),
    ("herd_s", |p| p.herd_s),
    ("herd_appends", |p| p.herd_appends),
    ("herd_bytes", |p| p.herd_bytes),
];

/// Lines through every figure.
fn slopes(points: &[Point]) -> Vec<Slope> {
    FIGURES
        .iter()
        .filter_map(|(figure, value)| {
            let xy: Vec<(f64, f64)> = points
                .iter()
                .map(|point| (point.nodes as f64, value(point)))
                .collect();
            let line = Line::fit(&xy)?;
            Some(Slope {
                figure: (*figure).to_owned(),
                line,
                at_780: line.at(780.0),
            })
        })
        .collect()
}
