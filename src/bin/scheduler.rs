//! Scheduler daemon: places jobs on accelerators and controls the workers that run them.

use std::process::ExitCode;

use hemlockramp::command::daemon::run_program;
use hemlockramp::command::programs::SchedulerProgram;

fn main() -> ExitCode {
    run_program::<SchedulerProgram>(std::env::args_os().skip(1))
}
