//! Flags of the lab's command line.

#![expect(
    missing_docs,
    reason = "the flag macro documents flags in the help text only"
)]

use std::net::SocketAddr;
use std::path::PathBuf;

xflags::xflags! {
    /// Stand-ins, load generator and experiments for buckthornworks.
    cmd lab {
        /// Runs the main use case end to end on an embedded deployment.
        cmd demo {
            /// Deployment: fernleaf or otjiwarongo.
            optional --deployment deployment: String
            /// File to write the results to, as JSON.
            optional --json json: PathBuf
        }
        /// Runs the stand-in of the platform's log.
        cmd log {
            /// Address to listen on, 127.0.0.1:7400 by default.
            optional --listen listen: SocketAddr
            /// Refuse every request.
            optional --refuse
            /// Milliseconds before a request takes effect.
            optional --slow-ms slow_ms: u64
            /// Lose the reply of every n-th append after it took effect.
            optional --lose-every lose_every: u32
            /// Maximum number of appends accepted per second.
            optional --max-appends-per-second max_appends_per_second: u32
            /// Seconds for which records are kept.
            optional --retention-secs retention_secs: u64
        }
        /// Runs a stand-in backend server.
        cmd backend {
            /// Address to listen on, a free port on 127.0.0.1 by default.
            optional --listen listen: SocketAddr
            /// Admin address of the node to announce the server to.
            optional --node node: SocketAddr
            /// Service, card-desk by default.
            optional --service service: String
            /// Version, v1 by default.
            optional --version version: String
            /// Server name in the x-execution header of responses.
            optional --name name: String
            /// Number of requests that run concurrently, 10 by default.
            optional --slots slots: u32
            /// Number of connections accepted, 130 by default.
            optional --connections connections: u32
            /// Milliseconds to process one request, 1 by default.
            optional --service-ms service_ms: u64
            /// Seconds for which the server stays cold after its start.
            optional --cold-secs cold_secs: u64
            /// Number of concurrent requests above which a cold server fails.
            optional --cold-limit cold_limit: u32
            /// Share of requests answered with status 500, in permille.
            optional --error-permille error_permille: u16
            /// Share of responses that end before their declared length, in permille.
            optional --broken-permille broken_permille: u16
            /// Share of requests whose connection is closed, in permille.
            optional --reset-permille reset_permille: u16
            /// Bytes of the body sent before the connection is closed by --reset-permille.
            optional --reset-at reset_at: usize
            /// Share of requests that never get a response, in permille.
            optional --silent-permille silent_permille: u16
            /// Milliseconds added to every response.
            optional --delay-ms delay_ms: u64
            /// Refuse requests beyond the slots with status 503.
            optional --shed
            /// Path prefix that faults are limited to.
            optional --fault-route fault_route: String
            /// Inject faults only while more than this many requests are in progress.
            optional --fault-above fault_above: u32
        }
        /// Sends open-loop load to nodes and checks every response.
        cmd load {
            /// Address of a node's caller port; may be repeated.
            repeated --target target: SocketAddr
            /// Measure the added latency of nodes inside this process instead of using targets.
            optional --latency
            /// Deployment whose traffic mix is sent: fernleaf (default) or otjiwarongo.
            optional --deployment deployment: String
            /// Calls per second, 220 by default.
            optional --rate rate: f64
            /// Seconds of load, 10 by default.
            optional --secs secs: u64
            /// Seed of the random number generator.
            optional --seed seed: u64
            /// File to write the results to, as JSON.
            optional --json json: PathBuf
        }
        /// Measures control plane cost and convergence by number of nodes.
        cmd scale {
            /// Node counts, separated by commas.
            optional --nodes nodes: String
            /// File to write the results to, as JSON.
            optional --json json: PathBuf
        }
        /// Writes one HTML page from the JSON files of the experiments.
        cmd report {
            /// Directory with the JSON files, where the page is written.
            optional --dir dir: PathBuf
        }
        /// Measures good and bad moves against baselines.
        cmd moves {
            /// Seed of the random number generator.
            optional --seed seed: u64
            /// Number of moves of each kind.
            optional --moves moves: usize
            /// Prints each case that missed a target.
            optional --verbose
            /// File to write the results to, as JSON.
            optional --json json: PathBuf
        }
        /// Measures calls while a failure domain is taken out and back in.
        cmd domain {
            /// Seed of the random number generator.
            optional --seed seed: u64
            /// File to write the results to, as JSON.
            optional --json json: PathBuf
        }
        /// Measures retry storms and cold starts.
        cmd storm {
            /// Seed of the random number generator.
            optional --seed seed: u64
            /// File to write the results to, as JSON.
            optional --json json: PathBuf
        }
        /// Measures convergence under message loss, node crashes and log outages.
        cmd convergence {
            /// Node counts, separated by commas.
            optional --nodes nodes: String
            /// Number of changes measured in each case.
            optional --changes changes: u32
            /// Seed of the random number generator.
            optional --seed seed: u64
            /// File to write the results to, as JSON.
            optional --json json: PathBuf
        }
        /// Runs the decision code for many random steps and asserts its invariants.
        cmd long {
            /// First seed.
            optional --seed seed: u64
            /// Number of seeds.
            optional --seeds seeds: u64
            /// Number of steps per seed.
            optional --steps steps: u64
        }
    }
}
