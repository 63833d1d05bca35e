//! Stand-ins of the platform's store, of upstreams and of clients, and the cases that use them.
//!
//! `stand_in CASE RECORD` runs a case with processes of the project. It exits with 1 if the rule of
//! the case was broken, 0 if it held, and 2 if the case could not run. With `TROUBLE=0` in the
//! environment the disruption is left out.

mod case;
mod client;
mod http;
mod node;
mod record;
mod store;
mod upstream;

use std::path::PathBuf;
use std::process::ExitCode;
use std::thread;
use std::time::Duration;

use record::Record;

/// Longest time that a case runs.
const MAX_TIME: Duration = Duration::from_secs(110);

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(name), Some(path)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: stand_in CASE RECORD");
        return ExitCode::from(2);
    };
    let is_troubled = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::create(&PathBuf::from(path));
    record.line(format!("case {name}, disruption: {is_troubled}"));
    thread::spawn(|| {
        thread::sleep(MAX_TIME);
        eprintln!("the case takes too long");
        node::end_all();
        std::process::exit(2);
    });
    let running = record.clone();
    let result = thread::spawn(move || case::run(&name, is_troubled, &running)).join();
    node::end_all();
    let (code, text) = match result {
        Ok(Ok(verdict)) if verdict.is_broken => (1, format!("BROKEN: {}", verdict.text)),
        Ok(Ok(verdict)) => (0, format!("held: {}", verdict.text)),
        Ok(Err(error)) => (2, format!("could not run: {error}")),
        Err(_) => (2, "could not run: the stand-in panicked".to_owned()),
    };
    record.line(&text);
    println!("{text}");
    ExitCode::from(code)
}
