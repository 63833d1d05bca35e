//! Flags of the lab's command line.

#![expect(
    missing_docs,
    reason = "the flag macro documents flags in the help text only"
)]

use std::net::SocketAddr;
use std::path::PathBuf;

xflags::xflags! {
    /// Stand-ins, load and experiments for buckthornworks.
    cmd lab {
        /// Runs the main job on an embedded deployment.
        cmd demo {
            /// Deployment: fernleaf or otjiwarongo.
            optional --deployment deployment: String
            /// File for the JSON.
            optional --json json: PathBuf
        }
        /// Runs the stand-in of the platform's log.
        cmd log {
            /// Address to listen on, 127.0.0.1:7400 by default.
            optional --listen listen: SocketAddr
            /// Refuse every request.
            optional --refuse
            /// Milliseconds that pass before a request takes effect.
            optional --slow-ms slow_ms: u64
            /// Lose the reply of each n-th append after it took effect.
            optional --lose-every lose_every: u32
            /// Appends taken within a second.
            optional --max-appends-per-second max_appends_per_second: u32
            /// Seconds that records are kept.
            optional --retention-secs retention_secs: u64
        }
        /// Runs a stand-in backend server.
        cmd backend {
            /// Address to listen on, a port of the system's choice by default.
            optional --listen listen: SocketAddr
            /// Node to announce to: the address of its operators' page.
            optional --node node: SocketAddr
            /// Service, card-desk by default.
            optional --service service: String
            /// Version, v1 by default.
            optional --version version: String
            /// Name in the answers' x-execution header.
            optional --name name: String
            /// Requests that run at once, 10 by default.
            optional --slots slots: u32
            /// Connections taken, 130 by default.
            optional --connections connections: u32
            /// Milliseconds that one request takes, 1 by default.
            optional --service-ms service_ms: u64
            /// Seconds that it stays cold after its start.
            optional --cold-secs cold_secs: u64
            /// Requests at once that make it fail while it is cold.
            optional --cold-limit cold_limit: u32
            /// Thousandths of requests answered with status 500.
            optional --error-permille error_permille: u16
            /// Thousandths of answers that break off before their declared length.
            optional --broken-permille broken_permille: u16
            /// Thousandths of requests whose connection is closed.
            optional --reset-permille reset_permille: u16
            /// Bytes of the body sent before the connection is closed.
            optional --reset-at reset_at: usize
            /// Thousandths of requests that never get an answer.
            optional --silent-permille silent_permille: u16
            /// Milliseconds added to every answer.
            optional --delay-ms delay_ms: u64
            /// Refuse requests over the slots with status 503.
            optional --shed
            /// Path prefix that faults are limited to.
            optional --fault-route fault_route: String
            /// Faults meet requests only while more than this many run.
            optional --fault-above fault_above: u32
        }
        /// Sends open-loop load to a node and checks every answer.
        cmd load {
            /// Address of a node's callers' port; may be repeated.
            repeated --target target: SocketAddr
            /// Measure the latency that two nodes add, in this process, and send to no target.
            optional --latency
            /// Deployment whose calls are mixed: fernleaf (default) or otjiwarongo.
            optional --deployment deployment: String
            /// Calls a second, 220 by default.
            optional --rate rate: f64
            /// Seconds of load, 10 by default.
            optional --secs secs: u64
            /// Seed.
            optional --seed seed: u64
            /// File for the JSON.
            optional --json json: PathBuf
        }
        /// Measures control cost and convergence against the number of nodes.
        cmd scale {
            /// Node counts, separated by commas.
            optional --nodes nodes: String
            /// File for the JSON.
            optional --json json: PathBuf
        }
        /// Writes one HTML page from the experiments' JSON.
        cmd report {
            /// Folder that holds the JSON files and receives the page.
            optional --dir dir: PathBuf
        }
        /// Measures good and bad moves against baselines.
        cmd moves {
            /// Seed.
            optional --seed seed: u64
            /// Moves of each kind.
            optional --moves moves: usize
            /// Prints each case that missed a target.
            optional --verbose
            /// File for the JSON.
            optional --json json: PathBuf
        }
        /// Measures service while a failure domain leaves and returns.
        cmd domain {
            /// Seed.
            optional --seed seed: u64
            /// File for the JSON.
            optional --json json: PathBuf
        }
        /// Measures retry storms and cold starts.
        cmd storm {
            /// Seed.
            optional --seed seed: u64
            /// File for the JSON.
            optional --json json: PathBuf
        }
        /// Measures convergence under message loss, deaths and log outages.
        cmd convergence {
            /// Node counts, separated by commas.
            optional --nodes nodes: String
            /// Changes measured in each case.
            optional --changes changes: u32
            /// Seed.
            optional --seed seed: u64
            /// File for the JSON.
            optional --json json: PathBuf
        }
        /// Runs the decision code for many random steps with its invariants asserted.
        cmd long {
            /// First seed.
            optional --seed seed: u64
            /// Number of seeds.
            optional --seeds seeds: u64
            /// Steps of each seed.
            optional --steps steps: u64
        }
    }
}
