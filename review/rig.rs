//! Runs one case of the review: `rig CASE FOLDER TEMPORARY_FOLDER`, from the repository's root.
//!
//! Writes `record.txt` into FOLDER. Exit codes: 1 if the rule was broken, 0 if it held, 2 if the
//! case could not run. With `TROUBLE=0` in the environment the disruption is left out.

mod cases;
mod cluster;
mod http;
mod json;
mod ledger;
mod runner;
mod store;

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use crate::cases::CaseContext;
use crate::ledger::Ledger;

/// Time after which a case ends as one that could not run.
const TIME_LIMIT: Duration = Duration::from_secs(115);

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let [name, folder, temporary] = words.as_slice() else {
        eprintln!("usage: rig CASE FOLDER TEMPORARY_FOLDER");
        return ExitCode::from(2);
    };
    let ledger = match Ledger::create(&format!("{folder}/record.txt")) {
        Ok(ledger) => Arc::new(ledger),
        Err(error) => {
            eprintln!("{folder}/record.txt: {error}");
            return ExitCode::from(2);
        }
    };
    let context = CaseContext {
        ledger: Arc::clone(&ledger),
        folder: PathBuf::from(temporary),
        trouble: std::env::var("TROUBLE").map_or(true, |value| value != "0"),
    };
    std::thread::spawn(|| {
        std::thread::sleep(TIME_LIMIT);
        eprintln!("the case took too long");
        // The hosts are children of this process; run.sh ends them.
        std::process::exit(2);
    });
    ledger.write(&format!("case {name}, trouble {}", context.trouble));
    match cases::run(name, &context) {
        Ok(breaches) => {
            for breach in &breaches {
                ledger.write(&format!("BROKEN {breach}"));
            }
            ledger.write(&format!("{} breaches", breaches.len()));
            println!("{name}: {} breaches", breaches.len());
            for breach in breaches.iter().take(3) {
                println!("  {breach}");
            }
            ExitCode::from(u8::from(!breaches.is_empty()))
        }
        Err(error) => {
            ledger.write(&format!("could not run: {error}"));
            eprintln!("{name}: {error}");
            ExitCode::from(2)
        }
    }
}
