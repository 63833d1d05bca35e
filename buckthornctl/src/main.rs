//! Operators' command line: parses flags and settings and runs one command of the library.

use std::process::ExitCode;

use buckthornctl::explain;
use buckthornctl::flags::{Buckthornctl, BuckthornctlCmd};
use buckthornctl::output::Output;
use buckthornctl::settings::{Environment, Settings};

fn main() -> ExitCode {
    let flags = Buckthornctl::from_env_or_exit();
    let mut output = Output::new(flags.json, std::io::stdout(), std::io::stderr());
    if let BuckthornctlCmd::Explain(explain) = &flags.subcommand {
        return explain::run(&explain.request, &explain.log, &mut output)
            .code()
            .into();
    }
    let exit = match Settings::new(&flags, &Environment::from_process()) {
        Ok(settings) => buckthornctl::run(&flags.subcommand, &settings, &mut output),
        Err(error) => output.bad_input(&error),
    };
    exit.code().into()
}
