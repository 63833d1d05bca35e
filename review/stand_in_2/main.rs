//! Stand-ins and cases of the review; the first argument names the case.
//!
//! The exit code is 0 if the rule held, 1 if it was broken and 2 if the case could not run.

mod cold;
mod crowd;
mod http;
mod mesh;
mod poison;
mod record;
mod store;
mod upload;
mod upstream;

use std::process::ExitCode;
use std::thread;
use std::time::Duration;

use record::Record;

/// How a case ended.
pub enum Outcome {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
}

/// Longest time that a case may take.
const MAX_TIME: Duration = Duration::from_secs(112);

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(path)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: review_2 CASE RECORD");
        return ExitCode::from(2);
    };
    thread::spawn(|| {
        thread::sleep(MAX_TIME);
        eprintln!("the case takes too long");
        // The script ends the processes.
        std::process::exit(2);
    });
    let is_troubled = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let outcome = Record::create(&path).and_then(|record| match case.as_str() {
        "cold" => cold::run(&record, is_troubled),
        "crowd" => crowd::run(&record, is_troubled),
        "poison" => poison::run(&record, is_troubled, true),
        "poison-whole" => poison::run(&record, is_troubled, false),
        "upload" => upload::run(&record, is_troubled),
        _ => Err(std::io::Error::other(format!("no case {case}"))),
    });
    match outcome {
        Ok(Outcome::Held) => ExitCode::SUCCESS,
        Ok(Outcome::Broken) => ExitCode::from(1),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}
