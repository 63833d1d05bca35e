//! Self-contained HTML page with charts and tables, generated from the JSON files of experiments.
//!
//! For each experiment whose file is missing, the page shows the command that measures it.

mod chart;
mod page;

use std::path::{Path, PathBuf};

use anyhow::{Context as _, ensure};
use serde_json::Value;

use self::chart::{Chart, Interpolation};
use self::page::Page;
use crate::flags;

/// Directory unless `--dir` is given.
const DEFAULT_DIR: &str = "measures";

/// File name of the page in the directory.
const PAGE_NAME: &str = "report.html";

/// Maximum size of one JSON file, in bytes.
const MAX_FILE_BYTES: u64 = 64 * 1024 * 1024;

/// Section of the page for one experiment.
#[derive(Debug)]
struct Section {
    /// Heading of the section.
    title: &'static str,
    /// JSON file with the results.
    file: &'static str,
    /// Arguments of the lab's command line that write the file.
    command: &'static str,
    /// Charts above the tables.
    charts: &'static [Chart],
}

/// Sections in page order.
const SECTIONS: &[Section] = &[
    Section {
        title: "Control plane cost and convergence by number of nodes",
        file: "scale.json",
        command: "scale --json measures/scale.json",
        charts: &[
            Chart {
                title: "Time from append until in force on the last node",
                rows: "/points",
                group: &[],
                x: "nodes",
                x_label: "nodes",
                ys: &["converge_p50_s", "converge_worst_s"],
                y_label: "seconds",
                interpolation: Interpolation::Linear,
            },
            Chart {
                title: "Control traffic of an idle node, in and out",
                rows: "/points",
                group: &[],
                x: "nodes",
                x_label: "nodes",
                ys: &["bytes_per_s", "bytes_worst_per_s"],
                y_label: "bytes per second",
                interpolation: Interpolation::Linear,
            },
            Chart {
                title: "CPU usage of an idle node",
                rows: "/points",
                group: &[],
                x: "nodes",
                x_label: "nodes",
                ys: &["cpu_percent", "cpu_worst_percent"],
                y_label: "percent of a core",
                interpolation: Interpolation::Linear,
            },
            Chart {
                title: "Resident memory of a node",
                rows: "/points",
                group: &[],
                x: "nodes",
                x_label: "nodes",
                ys: &["memory_mb", "memory_worst_mb"],
                y_label: "megabytes",
                interpolation: Interpolation::Linear,
            },
        ],
    },
    Section {
        title: "Convergence under faults, in virtual time",
        file: "convergence.json",
        command: "convergence --json measures/convergence.json",
        charts: &[Chart {
            title: "Longest time from append until in force on every node",
            rows: "/rows",
            group: &["way", "loss", "fault"],
            x: "nodes",
            x_label: "nodes",
            ys: &["worst_ms"],
            y_label: "milliseconds",
            interpolation: Interpolation::Linear,
        }],
    },
    Section {
        title: "Added latency per call",
        file: "latency.json",
        command: "load --latency --json measures/latency.json",
        charts: &[],
    },
    Section {
        title: "Good and bad moves",
        file: "moves.json",
        command: "moves --json measures/moves.json",
        charts: &[],
    },
    Section {
        title: "Shares of moves over time in the demo",
        file: "demo.json",
        command: "demo --json measures/demo.json",
        charts: &[Chart {
            title: "Share of the new version",
            rows: "/steps",
            group: &["move"],
            x: "at_s",
            x_label: "seconds",
            ys: &["share_percent"],
            y_label: "percent",
            interpolation: Interpolation::Steps,
        }],
    },
    Section {
        title: "Calls while a failure domain is taken out and back in",
        file: "domain.json",
        command: "domain --json measures/domain.json",
        charts: &[Chart {
            title: "Success rate while the failure domain is out",
            rows: "",
            group: &["site", "policy", "urgency"],
            x: "load",
            x_label: "load, in capacities",
            ys: &["/during/0"],
            y_label: "share of calls",
            interpolation: Interpolation::Linear,
        }],
    },
    Section {
        title: "Retry storm and cold start",
        file: "storm.json",
        command: "storm --json measures/storm.json",
        charts: &[Chart {
            title: "Goodput against offered load",
            rows: "/overload",
            group: &["site", "policy"],
            x: "load",
            x_label: "offered load, in capacities",
            ys: &["goodput"],
            y_label: "goodput, in capacities",
            interpolation: Interpolation::Linear,
        }],
    },
];

/// Runs the `report` command.
///
/// # Errors
///
/// Fails when the directory has no measurement, or a file cannot be read or written.
pub fn run(flags: &flags::Report) -> anyhow::Result<()> {
    let dir = flags
        .dir
        .clone()
        .unwrap_or_else(|| PathBuf::from(DEFAULT_DIR));
    let page = render(&dir)?;
    let path = dir.join(PAGE_NAME);
    std::fs::write(&path, page).with_context(|| format!("cannot write {}", path.display()))?;
    println!("wrote {}", path.display());
    Ok(())
}

/// Renders the page for a directory.
///
/// # Errors
///
/// Fails when the directory has none of the files, or one of them cannot be read.
pub fn render(dir: &Path) -> anyhow::Result<String> {
    let mut page = Page::new("buckthornworks: measurements");
    let mut found = 0;
    for section in SECTIONS {
        page.heading(section.title);
        match read_json(&dir.join(section.file))? {
            None => page.text(&format!(
                "Not measured. Command: cargo run --release -p buckthorn_lab -- {}",
                section.command
            )),
            Some(value) => {
                found += 1;
                render_section(&mut page, section, &value)?;
            }
        }
    }
    ensure!(
        found > 0,
        "{} holds no measurement; run an experiment with --json",
        dir.display()
    );
    Ok(page.finish())
}

/// Adds the charts and tables of one file.
fn render_section(page: &mut Page, section: &Section, value: &Value) -> anyhow::Result<()> {
    page.text(&format!("From {}.", section.file));
    for chart in section.charts {
        match chart.draw(value)? {
            Some(svg) => page.svg(&svg),
            None => page.text(&format!("{}: no such figures in the file.", chart.title)),
        }
    }
    page.tables(value);
    Ok(())
}

/// Reads a JSON file; `None` when it does not exist.
fn read_json(path: &Path) -> anyhow::Result<Option<Value>> {
    let Ok(meta) = std::fs::metadata(path) else {
        return Ok(None);
    };
    let shown = path.display();
    ensure!(
        meta.len() <= MAX_FILE_BYTES,
        "{shown} is over {MAX_FILE_BYTES} bytes"
    );
    let text = std::fs::read_to_string(path).with_context(|| format!("cannot read {shown}"))?;
    let value = serde_json::from_str(&text).with_context(|| format!("{shown} is not JSON"))?;
    Ok(Some(value))
}
