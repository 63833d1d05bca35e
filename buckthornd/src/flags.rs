//! Command-line flags and help text of the daemon.

use std::ffi::OsString;
use std::fmt::Write as _;

use buckthorn::node::settings::ENTRIES;

xflags::xflags! {
    /// Runs a node of the mesh beside a backend server.
    cmd buckthornd {
        /// Host identifier, unique in the mesh.
        optional --host host: String
        /// Region of the host.
        optional --region region: String
        /// Failure domain of the host.
        optional --failure-domain failure_domain: String
        /// Listening address for callers.
        optional --listen listen: String
        /// Listening address of the data path between nodes.
        optional --hop-listen hop_listen: String
        /// Listening address of the control protocol between nodes.
        optional --rpc-listen rpc_listen: String
        /// Listening address of the admin API.
        optional --admin-listen admin_listen: String
        /// IP address at which other nodes reach this one.
        optional --advertise advertise: String
        /// URL of the platform's log service.
        optional --platform platform: String
        /// Control addresses of nodes through which this one joins the mesh.
        optional --seeds seeds: String
        /// Minimum level of log lines.
        optional --log-level log_level: String
        /// Address of the statsd daemon.
        optional --statsd statsd: String
        /// Maximum time that a shutdown waits for calls in flight, in seconds.
        optional --drain-timeout drain_timeout: String
        /// Maximum number of open connections from callers.
        optional --max-connections max_connections: String
        /// Maximum size of a request body in bytes.
        optional --max-body-bytes max_body_bytes: String
        /// Number of runtime threads that handle calls.
        optional --threads threads: String
    }
}

/// Flags as given, not yet validated.
#[derive(Debug)]
pub(crate) struct Flags(Buckthornd);

/// Action requested on the command line.
#[derive(Debug)]
pub(crate) enum Invocation {
    /// Run with these flags.
    Run(Box<Flags>),
    /// Print the help text.
    Help,
}

impl Flags {
    /// Parses a command line without its program name.
    ///
    /// # Errors
    ///
    /// Fails on the first flag that is unknown or lacks a value; the error names it.
    pub(crate) fn parse(args: impl Iterator<Item = OsString>) -> Result<Invocation, String> {
        let args: Vec<OsString> = args.collect();
        if args
            .iter()
            .any(|arg| arg == "--help" || arg == "-h" || arg == "help")
        {
            return Ok(Invocation::Help);
        }
        match Buckthornd::from_vec(args) {
            Ok(flags) => Ok(Invocation::Run(Box::new(Self(flags)))),
            Err(error) => Err(format!("{error}; see --help")),
        }
    }

    /// Returns the value of a flag, or `None` when it is not given. Secrets have no flag, so their
    /// value is always `None`.
    pub(crate) fn get(&self, flag: &str) -> Option<String> {
        let Self(flags) = self;
        let value = match flag {
            "host" => &flags.host,
            "region" => &flags.region,
            "failure-domain" => &flags.failure_domain,
            "listen" => &flags.listen,
            "hop-listen" => &flags.hop_listen,
            "rpc-listen" => &flags.rpc_listen,
            "admin-listen" => &flags.admin_listen,
            "advertise" => &flags.advertise,
            "platform" => &flags.platform,
            "seeds" => &flags.seeds,
            "log-level" => &flags.log_level,
            "statsd" => &flags.statsd,
            "drain-timeout" => &flags.drain_timeout,
            "max-connections" => &flags.max_connections,
            "max-body-bytes" => &flags.max_body_bytes,
            "threads" => &flags.threads,
            _ => &None,
        };
        value.clone()
    }
}

/// Builds the help text from the table of settings.
pub(crate) fn help() -> String {
    let mut text = String::from(
        "buckthornd: node of the mesh; runs beside a backend server.\n\n\
         Each setting is a flag and an environment variable; a flag takes precedence.\n\
         Secrets are taken from the environment only.\n\n",
    );
    for entry in ENTRIES {
        let default = match entry.default {
            None => "required".to_owned(),
            Some("") => "default: none".to_owned(),
            Some(value) => format!("default: {value}"),
        };
        // Writing to a string cannot fail.
        let _ = writeln!(
            text,
            "  --{:<17} {:<26} {} ({default})",
            entry.flag, entry.variable, entry.expected
        );
    }
    text.push_str(
        "\nSIGTERM and SIGINT: graceful shutdown that cuts no request in flight.\n\
         Exit codes: 0 stopped, 1 not started or calls were cut, 2 bad setting.\n",
    );
    text
}
