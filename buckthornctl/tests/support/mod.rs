//! Runs commands against a stand-in of the log service.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Barrier};
use std::thread;
use std::time::Duration;

use buckthorn::clock::Time;
use buckthorn::config::intent::{FULL_SHARE, Phase};
use buckthorn::journal::fold::State;
use buckthorn::journal::record::{self, Body, CONFIG_STREAM, Claim, DomainRegistration, Step};
use buckthorn::log::client::Client;
use buckthorn::log::{AppendOutcome, Batch, Log};
use buckthorn_lab::log::Server;
use buckthornctl::flags::Buckthornctl;
use buckthornctl::output::Output;
use buckthornctl::settings::{Environment, Settings};

/// Log stand-in in which two failure domains are registered, with a client.
pub(crate) struct Fixture {
    /// Stand-in of the log service.
    pub(crate) server: Server,
    /// Client of the stand-in, for tests that write records of their own.
    pub(crate) client: Client,
    /// Directory for sheets, removed on drop.
    dir: PathBuf,
}

/// Exit code and output of a command.
#[derive(Debug)]
pub(crate) struct CommandResult {
    /// Exit code.
    pub(crate) code: u8,
    /// Output on standard output.
    pub(crate) out: String,
    /// Output on standard error.
    pub(crate) err: String,
}

/// Number of the next directory, to keep the tests of one process apart.
static NEXT_DIR: AtomicU32 = AtomicU32::new(0);

impl Fixture {
    /// Starts a stand-in and registers the failure domains `east` and `west`.
    pub(crate) fn new() -> Self {
        let server = Server::start(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).unwrap();
        let client = Client::new(&server.url()).unwrap();
        for name in ["east", "west"] {
            let domain = DomainRegistration {
                name: name.into(),
                region: "bc-lower".into(),
            };
            client.append(CONFIG_STREAM, name, &record::encode(Body::Domain(domain)));
        }
        let number = NEXT_DIR.fetch_add(1, Ordering::Relaxed);
        let name = format!("commands-{}-{number}", std::process::id());
        let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::create_dir_all(&dir).unwrap();
        Self {
            server,
            client,
            dir,
        }
    }

    /// Writes a sheet and returns its path.
    pub(crate) fn sheet(&self, text: &str) -> String {
        let path = self.dir.join("sheet.csv");
        std::fs::write(&path, text).unwrap();
        path.to_str().unwrap().into()
    }

    /// Runs one command.
    pub(crate) fn run(&self, args: &[&str]) -> CommandResult {
        run_against(Arc::new(self.client.clone()), args)
    }

    /// Runs two commands that both plan before either publishes; returns their exit codes.
    pub(crate) fn race(&self, first: &[&str], second: &[&str]) -> [u8; 2] {
        let barrier = Arc::new(Barrier::new(2));
        let make_log = || BarrierLog {
            client: self.client.clone(),
            barrier: barrier.clone(),
            has_appended: AtomicBool::new(false),
        };
        let (one, two) = (Arc::new(make_log()), Arc::new(make_log()));
        thread::scope(|scope| {
            let first = scope.spawn(move || run_against(one, first).code);
            let second = scope.spawn(move || run_against(two, second).code);
            [first.join().unwrap(), second.join().unwrap()]
        })
    }

    /// Number of changes in the log, accepted or not.
    pub(crate) fn changes(&self) -> usize {
        let records = self.server.records(CONFIG_STREAM);
        let is_change = |payload: &str| matches!(record::decode(payload), Ok(Body::Change(_)));
        records.iter().filter(|r| is_change(&r.payload)).count()
    }

    /// Folds the state from the log.
    pub(crate) fn state(&self) -> State {
        let mut state = State::new();
        for record in self.server.records(CONFIG_STREAM) {
            state.apply(&record);
        }
        state
    }

    /// Ends a move by appending the records that a move controller would append.
    pub(crate) fn end_move(&self, id: &str, end: &str) {
        let claim = Claim {
            host: "host-1".into(),
            replaces: 0,
            at: Time(1),
        };
        self.client
            .append(CONFIG_STREAM, "claim", &record::encode(Body::Claim(claim)));
        let steps: &[(Phase, u16)] = match end {
            "done" => &[
                (Phase::Shifting, 50),
                (Phase::Watching, FULL_SHARE),
                (Phase::Done, FULL_SHARE),
            ],
            "taken_back" => &[(Phase::Shifting, 50), (Phase::RolledBack, 0)],
            _ => &[(Phase::Cancelled, 0)],
        };
        for &(phase, share) in steps {
            let step = Step {
                term: 1,
                id: id.into(),
                phase,
                share,
                reason: "as planned".into(),
                at: Time(2),
            };
            self.client
                .append(CONFIG_STREAM, "step", &record::encode(Body::Step(step)));
        }
    }
}

/// Runs one command against a log.
fn run_against(log: Arc<dyn Log>, args: &[&str]) -> CommandResult {
    let args = args.iter().map(Into::into).collect();
    let flags = Buckthornctl::from_vec(args).unwrap();
    let environment = Environment {
        platform: Some("http://127.0.0.1:7400".into()),
        author: Some("ada".into()),
        ..Environment::default()
    };
    let mut settings = Settings::new(&flags, &environment).unwrap();
    settings.log = log;
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let exit = {
        let mut output = Output::new(flags.json, &mut out, &mut err);
        buckthornctl::run(&flags.subcommand, &settings, &mut output)
    };
    CommandResult {
        code: exit.code(),
        out: String::from_utf8(out).unwrap(),
        err: String::from_utf8(err).unwrap(),
    }
}

/// Log whose first append waits for the first append of another instance.
struct BarrierLog {
    /// Client of the stand-in.
    client: Client,
    /// Barrier at which both logs wait.
    barrier: Arc<Barrier>,
    /// Whether the first append has started.
    has_appended: AtomicBool,
}

impl Log for BarrierLog {
    fn read(&self, stream: &str, from: u64, wait: Duration) -> anyhow::Result<Batch> {
        self.client.read(stream, from, wait)
    }

    fn append(&self, stream: &str, id: &str, payload: &str) -> AppendOutcome {
        if !self.has_appended.swap(true, Ordering::Relaxed) {
            self.barrier.wait();
        }
        self.client.append(stream, id, payload)
    }
}

impl Drop for Fixture {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}
