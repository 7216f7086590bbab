//! Cases of the review that the bench can't play: the project's entry hosts as processes, with
//! stand-ins of the store, the runners and the consumers.
//!
//! Usage: `cases CASE PROGRAM FOLDER`. The record goes to `FOLDER/record.txt`. With `TROUBLE=0` the
//! disruption is left out. Exit status: 0 if the rule held, 1 if it was broken, 2 if the case couldn't run.

#[path = "second_cases.rs"]
mod cases;
#[path = "second_hosts.rs"]
mod hosts;
#[path = "second_http.rs"]
mod http;
#[path = "second_json.rs"]
mod json;
#[path = "second_record.rs"]
mod record;
#[path = "second_runner.rs"]
mod runner;
#[path = "second_store.rs"]
mod store;

use std::path::PathBuf;
use std::process::ExitCode;

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().collect();
    let [_, case, program, folder] = words.as_slice() else {
        eprintln!("usage: cases CASE PROGRAM FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
    let folder = PathBuf::from(folder);
    let setting = cases::Setting::start(&folder, program, trouble);
    let verdict = match case.as_str() {
        "crashes" => cases::crashes(setting),
        "draining" => cases::draining(setting),
        "late-owner" => cases::late_owner(setting),
        "memory" => cases::memory(setting),
        "hopeless" => cases::hopeless(setting),
        _ => Err(format!("there is no case {case}")),
    };
    let (status, text) = match verdict {
        Ok(None) => (0, "the rule held".to_owned()),
        Ok(Some(broken)) => (1, format!("the rule was broken: {broken}")),
        Err(reason) => (2, format!("the case couldn't run: {reason}")),
    };
    println!("{text}");
    ExitCode::from(status)
}
