//! Command-line flags of `buckthornctl`.

#![expect(
    missing_docs,
    reason = "the flag macro documents flags in the help text only"
)]

use std::path::PathBuf;

xflags::xflags! {
    /// Publishes routing intent and shows what is in force.
    ///
    /// Exit codes: 0 done, 1 failed or outcome unknown, 2 bad input, 3 refused because someone else
    /// changed it first. docs/SHEET.md describes the sheet, docs/OPERATIONS.md the daily work.
    cmd buckthornctl {
        /// URL of the platform's log service, such as http://10.0.0.5:7400. Default: the
        /// environment variable BUCKTHORN_PLATFORM.
        optional --platform url: String
        /// Author recorded for a change and shown by history. Default: the environment variable
        /// BUCKTHORN_AUTHOR, then user@host.
        optional --author author: String
        /// Seconds to retry while the log is unreachable. Default: 30.
        optional --timeout timeout: u64
        /// Print JSON instead of text.
        optional --json

        /// Shows the difference between a sheet and what is in force; publishes nothing.
        cmd plan {
            /// The sheet, a CSV file; /dev/stdin reads it from standard input.
            required sheet: PathBuf
        }
        /// Publishes what plan shows. Applying the same sheet again changes nothing.
        cmd apply {
            /// The sheet, a CSV file; /dev/stdin reads it from standard input.
            required sheet: PathBuf
        }
        /// Takes a failure domain out of service.
        cmd out {
            /// The failure domain.
            required failure_domain: String
        }
        /// Brings a failure domain back into service.
        cmd in {
            /// The failure domain.
            required failure_domain: String
        }
        /// Shows the configuration version, services, moves, failure domains and nodes.
        cmd status {
        }
        /// Follows a move until it ends: exit code 0 when it is done, 1 when it was rolled back, 3
        /// when it was withdrawn or replaced.
        cmd watch {
            /// Identifier of the move, as shown by plan and status.
            required id: String
        }
        /// Explains what happened to a request, from the nodes' log files; needs no log service.
        cmd explain {
            /// Identifier of the request.
            required request: String
            /// Log files of the nodes; standard input if none is given.
            repeated log: PathBuf
        }
        /// Shows the last accepted and refused changes, oldest first.
        cmd history {
        }
    }
}
