//! Gateway daemon: accepts requests on an entry host and routes them to runners and schedulers.

use std::process::ExitCode;

use hemlockramp::command::daemon::run_program;
use hemlockramp::command::programs::GatewayProgram;

fn main() -> ExitCode {
    run_program::<GatewayProgram>(std::env::args_os().skip(1))
}
