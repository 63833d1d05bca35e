//! Control plane cost and convergence by number of nodes, with real processes on loopback.
//!
//! For each number of nodes, the run starts that many `buckthornd` processes and the log stand-in,
//! and announces a backend server to each node. It measures an idle window, changes published one
//! by one, backend servers replaced one by one, and the restart of a whole failure domain. Linear
//! regression over the points gives the slopes used in docs/CAPACITY.md.

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

/// Node counts unless `--nodes` is given.
const DEFAULT_NODES: &[usize] = &[9, 30, 60, 90];

/// Maximum number of node processes at one time.
const MAX_PROCESSES: usize = 300;

/// Measurements for one number of nodes; rates are means over the nodes unless stated otherwise.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Point {
    /// Number of nodes.
    pub nodes: usize,
    /// Time from the start until every node knows all others, in seconds.
    pub join_s: f64,
    /// Mean resident memory of a node, in MB.
    pub memory_mb: f64,
    /// Largest resident memory of a node, in MB.
    pub memory_worst_mb: f64,
    /// Mean CPU usage of an idle node, in percent of one core.
    pub cpu_percent: f64,
    /// Highest CPU usage of an idle node, in percent of one core.
    pub cpu_worst_percent: f64,
    /// Mean control bytes per second received and sent by an idle node.
    pub bytes_per_s: f64,
    /// Highest control bytes per second received and sent by an idle node.
    pub bytes_worst_per_s: f64,
    /// Control messages per second sent by an idle node.
    pub messages_per_s: f64,
    /// Log appends per second while the nodes are idle.
    pub appends_per_s: f64,
    /// Control bytes received and sent per node for one change, beyond the idle rate.
    pub bytes_per_change: f64,
    /// CPU time per node for one change, beyond the idle rate, in milliseconds.
    pub cpu_ms_per_change: f64,
    /// Control bytes received and sent per node for one replaced backend server, beyond the idle
    /// rate.
    pub bytes_per_replacement: f64,
    /// Median time from append until in force on the last node, in seconds.
    pub converge_p50_s: f64,
    /// Longest time from append until in force on the last node, in seconds.
    pub converge_worst_s: f64,
    /// Number of nodes in the failure domain that restarts at once.
    pub herd_nodes: usize,
    /// Time from their kill until every node knows all others again, in seconds.
    pub herd_s: f64,
    /// Log appends within that time.
    pub herd_appends: f64,
    /// Control bytes received and sent per node outside of that failure domain within that time,
    /// beyond the idle rate.
    pub herd_bytes: f64,
}

/// Results of a run, written as JSON.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Outcome {
    /// Measurements for each number of nodes.
    pub points: Vec<Point>,
    /// Fitted line for each figure.
    pub slopes: Vec<Slope>,
}

/// Line fitted to one figure.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Slope {
    /// Name of the figure, a field of [`Point`].
    pub figure: String,
    /// Line over the number of nodes.
    pub line: Line,
    /// Value extrapolated to 780 nodes.
    pub at_780: f64,
}

/// Runs the `scale` command.
///
/// # Errors
///
/// Fails when the daemon is missing, a node does not start, or a change does not converge.
pub fn run(flags: &flags::Scale) -> anyhow::Result<()> {
    let counts = parse_counts(flags.nodes.as_deref())?;
    let program = daemon_path()?;
    let mut points = Vec::new();
    for count in counts {
        eprintln!("measuring {count} nodes");
        let point = Fleet::start(&program, count)?.measure()?;
        println!("{}", format_point(&point));
        points.push(point);
    }
    let slopes = fit_slopes(&points);
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

/// Parses the node counts of `--nodes`.
fn parse_counts(text: Option<&str>) -> anyhow::Result<Vec<usize>> {
    let Some(text) = text else {
        return Ok(DEFAULT_NODES.to_vec());
    };
    text.split(',')
        .map(|part| {
            let count: usize = part
                .trim()
                .parse()
                .with_context(|| format!("--nodes: {part:?} is not a number"))?;
            ensure!(
                (1..=MAX_PROCESSES).contains(&count),
                "--nodes: {count} is not between 1 and {MAX_PROCESSES}"
            );
            Ok(count)
        })
        .collect()
}

/// Returns the path of the daemon, which must be built beside this program.
fn daemon_path() -> anyhow::Result<PathBuf> {
    let path = std::env::current_exe()?.with_file_name("buckthornd");
    ensure!(
        path.exists(),
        "buckthornd is not built beside this program: run cargo build --release --workspace first"
    );
    Ok(path)
}

/// Formats the measurements as one line of output.
fn format_point(point: &Point) -> String {
    format!(
        "{:>4} nodes: join {:.1} s, {:.1} MB (worst {:.1}), cpu {:.2}% (worst {:.2}), {:.0} B/s \
         (worst {:.0}), {:.2} messages/s, {:.2} appends/s, change {:.0} B {:.2} ms, replacement \
         {:.0} B, converged in {:.2} s (worst {:.2}), herd of {} back in {:.1} s with {:.0} appends \
         and {:.0} B per other node",
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

/// Name of a figure and its value in a point.
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

/// Fits a line to every figure; figures with too few points are left out.
fn fit_slopes(points: &[Point]) -> Vec<Slope> {
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
