//! The gateway's program.

use std::process::ExitCode;

use hemlockramp::command::daemon::run_program;
use hemlockramp::command::programs::GatewayProgram;

fn main() -> ExitCode {
    run_program::<GatewayProgram>(std::env::args_os().skip(1))
}
