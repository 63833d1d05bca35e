//! Operators' command line.
//!
//! [`run`] executes one command against the platform's log and returns its exit code; the binary
//! only parses flags and sets up output. The state is folded from the log in this process, so no
//! node needs to be reachable.

pub mod command;
pub mod explain;
pub mod flags;
pub mod output;
pub mod report;
pub mod session;
pub mod settings;
pub mod status;

pub use command::run;

/// Exit code of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// The command succeeded, or there was nothing to do.
    Done,
    /// The command failed, or its outcome is unknown.
    Failed,
    /// The input is invalid; nothing was published.
    BadInput,
    /// Another change came first: this one was refused, or the watched move was cancelled.
    Overtaken,
}

impl Exit {
    /// Exit code of the process.
    pub const fn code(self) -> u8 {
        match self {
            Self::Done => 0,
            Self::Failed => 1,
            Self::BadInput => 2,
            Self::Overtaken => 3,
        }
    }
}
