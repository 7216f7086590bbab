//! Scripts of the third review: runs one case with the project's own programs and stand-ins.
//!
//! `review-third CASE RECORD` exits with 1 if the rule was broken, 0 if it held, and 2 if the case
//! could not run. With `TROUBLE=0` in the environment the disruption is left out.

mod third_cases;
mod third_cluster;
mod third_http;
mod third_json;
mod third_record;
mod third_runner;
mod third_store;

use std::path::Path;
use std::process::ExitCode;
use std::thread;
use std::time::Duration;

/// Longest time that a case may take.
const LIMIT: Duration = Duration::from_secs(118);

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, record] = arguments.as_slice() else {
        eprintln!("usage: review-third CASE RECORD");
        return ExitCode::from(2);
    };
    thread::spawn(|| {
        thread::sleep(LIMIT);
        third_cluster::kill_hosts();
        println!("could not run: it took too long");
        std::process::exit(2);
    });
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let result = third_cases::run(case, Path::new(record), trouble);
    match result {
        Ok(None) => {
            println!("{case}: held");
            ExitCode::SUCCESS
        }
        Ok(Some(broken)) => {
            println!("{case}: BROKEN: {broken}");
            ExitCode::from(1)
        }
        Err(reason) => {
            println!("{case}: could not run: {reason}");
            ExitCode::from(2)
        }
    }
}
