//! Operators' command line.
//!
//! [`run`] carries out one command against the platform's log and gives the exit code; the program
//! only adds the process around it. The state shown is folded from the log by this process itself,
//! so the command line needs no node to be reachable.

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
    /// Done, or nothing was to do.
    Done,
    /// Failed, or its outcome is unknown.
    Failed,
    /// Bad input; nothing was published.
    BadInput,
    /// Refused because someone else changed it first.
    Overtaken,
}

impl Exit {
    /// Number for the shell.
    pub const fn code(self) -> u8 {
        match self {
            Self::Done => 0,
            Self::Failed => 1,
            Self::BadInput => 2,
            Self::Overtaken => 3,
        }
    }
}
