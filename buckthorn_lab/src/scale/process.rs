//! Starts, measures and stops a `buckthornd` process.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use anyhow::{Context as _, bail};
use crossbeam::channel::{self, Receiver, Sender};
use oxhttp::model::{Body, Method, Request};
use serde_json::Value;

/// Shared secret of the measured nodes.
const SECRET: &str = "a secret of the lab, not of anyone";

/// Timeout for a started node to log its addresses.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Timeout of a request to a node's admin port.
const ADMIN_TIMEOUT: Duration = Duration::from_secs(5);

/// Clock ticks per second in `/proc`, which Linux fixes at 100 for user space.
const TICKS_PER_SECOND: f64 = 100.0;

/// Parameters of a node to start.
#[derive(Clone, Debug)]
pub struct Spec<'a> {
    /// Path of the daemon's executable.
    pub program: &'a Path,
    /// Host name.
    pub host: String,
    /// Region of the host.
    pub region: &'a str,
    /// Failure domain of the host.
    pub failure_domain: &'a str,
    /// URL of the log stand-in.
    pub platform: &'a str,
    /// RPC addresses of nodes to join through.
    pub seeds: &'a [SocketAddr],
}

/// A running node in a process of its own.
#[derive(Debug)]
pub struct Process {
    /// Host name.
    pub host: String,
    /// Address of the admin port.
    pub admin: SocketAddr,
    /// Address of the RPC port.
    pub rpc: SocketAddr,
    /// Child process.
    child: Child,
    /// Configuration version that the node last logged as in force.
    version: Arc<AtomicU64>,
}

/// Log line of a node that a configuration version is in force.
#[derive(Clone, Copy, Debug)]
pub struct AppliedVersion {
    /// Configuration version.
    pub version: u64,
    /// When the line was read.
    pub at: Instant,
}

/// Resource usage of one process since its start.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// CPU time in seconds.
    pub cpu: f64,
    /// Resident memory in bytes.
    pub memory: f64,
    /// Control bytes received.
    pub bytes_in: f64,
    /// Control bytes sent.
    pub bytes_out: f64,
    /// Control messages sent.
    pub messages: f64,
}

impl Process {
    /// Starts a node on free ports and waits until it logs their addresses.
    ///
    /// # Errors
    ///
    /// Fails when the process cannot be started or does not log its addresses.
    pub fn start(spec: &Spec<'_>, in_force: &Sender<AppliedVersion>) -> anyhow::Result<Self> {
        let seeds: Vec<String> = spec.seeds.iter().map(ToString::to_string).collect();
        let mut child = Command::new(spec.program)
            .args(["--host", &spec.host, "--region", spec.region])
            .args([
                "--failure-domain",
                spec.failure_domain,
                "--platform",
                spec.platform,
            ])
            .args(["--listen", "127.0.0.1:0", "--hop-listen", "127.0.0.1:0"])
            .args([
                "--rpc-listen",
                "127.0.0.1:0",
                "--admin-listen",
                "127.0.0.1:0",
            ])
            .args(["--seeds", &seeds.join(","), "--drain-timeout", "1"])
            .env("BUCKTHORN_SECRET", SECRET)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .with_context(|| format!("{} could not be started", spec.program.display()))?;
        let stderr = child.stderr.take().context("no standard error")?;
        let version = Arc::new(AtomicU64::new(0));
        let (started, addresses) = channel::bounded(1);
        let reader = Reader {
            version: version.clone(),
            in_force: in_force.clone(),
            started,
        };
        thread::Builder::new()
            .stack_size(128 * 1024)
            .spawn(move || {
                BufReader::new(stderr)
                    .lines()
                    .map_while(Result::ok)
                    .for_each(|line| reader.handle_line(&line));
            })?;
        let (admin, rpc) = match wait_started(&addresses) {
            Ok(addresses) => addresses,
            Err(error) => {
                let _ = child.kill();
                let _ = child.wait();
                return Err(error.context(format!("{} did not start", spec.host)));
            }
        };
        Ok(Self {
            host: spec.host.clone(),
            admin,
            rpc,
            child,
            version,
        })
    }

    /// Configuration version that the node last logged as in force; zero before the first.
    pub fn version(&self) -> u64 {
        self.version.load(Ordering::Relaxed)
    }

    /// Announces a backend server to the node.
    ///
    /// # Errors
    ///
    /// Fails when the node is unreachable or refuses the announcement.
    pub fn announce(&self, service: &str, version: &str) -> anyhow::Result<()> {
        let body = serde_json::json!({
            "service": service, "version": version, "address": "127.0.0.1:9",
            "slots": 10, "connections": 130,
        });
        self.request_admin(Method::POST, "/v1/announce", body.to_string())
            .map(drop)
    }

    /// Fetches the node's status.
    ///
    /// # Errors
    ///
    /// Fails when the node does not respond.
    pub fn status(&self) -> anyhow::Result<Value> {
        self.request_admin(Method::GET, "/v1/status", String::new())
    }

    /// Samples the resource usage.
    ///
    /// # Errors
    ///
    /// Fails when the process has exited or does not respond.
    pub fn usage(&self) -> anyhow::Result<Usage> {
        let counters = self.request_admin(Method::GET, "/v1/counters", String::new())?;
        let counter = |name: &str| find_counter(&counters, name).unwrap_or(0.0);
        let (cpu, memory) = cpu_and_memory(self.child.id())?;
        Ok(Usage {
            cpu,
            memory,
            bytes_in: counter("peer.bytes_in"),
            bytes_out: counter("peer.bytes_out"),
            messages: counter("peer.sent"),
        })
    }

    /// Kills the process without a graceful shutdown and consumes the handle.
    pub fn kill(mut self) {
        self.crash();
    }

    /// Kills the process without a graceful shutdown.
    pub fn crash(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Sends a request to the admin port and parses the JSON response; null when it is empty.
    fn request_admin(&self, method: Method, path: &str, body: String) -> anyhow::Result<Value> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.admin))
            .header("content-type", "application/json")
            .body(Body::from(body))?;
        let response = oxhttp::Client::new()
            .with_global_timeout(ADMIN_TIMEOUT)
            .request(request)?;
        let status = response.status();
        let text = response.into_body().to_string()?;
        if !status.is_success() {
            bail!("{path} returned {status}: {text}");
        }
        if text.is_empty() {
            Ok(Value::Null)
        } else {
            Ok(serde_json::from_str(&text)?)
        }
    }
}

/// Searches a JSON document for a counter: a field with its name, or an entry of a list with the
/// fields `name` and `value`.
fn find_counter(document: &Value, name: &str) -> Option<f64> {
    match document {
        Value::Object(map) => map
            .get(name)
            .and_then(Value::as_f64)
            .or_else(|| map.values().find_map(|value| find_counter(value, name))),
        Value::Array(list) => list.iter().find_map(|entry| {
            let is_match = entry.get("name").and_then(Value::as_str) == Some(name);
            if is_match {
                entry.get("value").and_then(Value::as_f64)
            } else {
                None
            }
        }),
        _ => None,
    }
}

/// Parses a node's log lines.
struct Reader {
    /// Configuration version last logged as in force.
    version: Arc<AtomicU64>,
    /// Receives each version logged as in force.
    in_force: Sender<AppliedVersion>,
    /// Receives the admin and RPC addresses.
    started: Sender<(SocketAddr, SocketAddr)>,
}

impl Reader {
    /// Handles one log line; other lines than these two are ignored.
    fn handle_line(&self, line: &str) {
        let Ok(entry) = serde_json::from_str::<Value>(line) else {
            return;
        };
        let text = |key: &str| entry.get(key).and_then(Value::as_str);
        match text("msg") {
            Some("node started") => {
                let address = |key| text(key).and_then(|t| t.parse().ok());
                if let (Some(admin), Some(rpc)) = (address("admin"), address("rpc")) {
                    let _ = self.started.try_send((admin, rpc));
                }
            }
            Some("configuration in force") => {
                let Some(version) = entry.get("version").and_then(Value::as_u64) else {
                    return;
                };
                self.version.store(version, Ordering::Relaxed);
                let _ = self.in_force.try_send(AppliedVersion {
                    version,
                    at: Instant::now(),
                });
            }
            _ => {}
        }
    }
}

/// Waits until a node has logged its admin and RPC addresses.
fn wait_started(
    addresses: &Receiver<(SocketAddr, SocketAddr)>,
) -> anyhow::Result<(SocketAddr, SocketAddr)> {
    addresses
        .recv_timeout(START_TIMEOUT)
        .context("no log line with its addresses")
}

/// Reads CPU time in seconds and resident memory in bytes from `/proc`; see proc(5).
fn cpu_and_memory(pid: u32) -> anyhow::Result<(f64, f64)> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
    let rest = stat.rsplit_once(')').context("malformed stat")?.1;
    let fields: Vec<&str> = rest.split_whitespace().collect();
    let ticks = |index: usize| fields.get(index).and_then(|f| f.parse::<f64>().ok());
    // Fields 14 and 15 of the whole line are user and system time in clock ticks.
    let (user, system) = ticks(11).zip(ticks(12)).context("malformed stat")?;
    let status = std::fs::read_to_string(format!("/proc/{pid}/status"))?;
    let resident = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .and_then(|rest| rest.trim().strip_suffix("kB"))
        .and_then(|kilobytes| kilobytes.trim().parse::<f64>().ok())
        .context("no resident size")?;
    Ok(((user + system) / TICKS_PER_SECOND, resident * 1_024.0))
}
