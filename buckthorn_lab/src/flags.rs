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
            /// Address to listen on.
            optional --listen listen: SocketAddr
        }
        /// Sends open-loop load to a node and checks every answer.
        cmd load {
            /// Address of a node's callers' port.
            required --target target: SocketAddr
        }
        /// Measures control cost and convergence against the number of nodes.
        cmd scale {
            /// Node counts, separated by commas.
            optional --nodes nodes: String
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
