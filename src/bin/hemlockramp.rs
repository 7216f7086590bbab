//! Command-line tool for operators.

use std::process::ExitCode;

use hemlockramp::command::operator::run_operator;

fn main() -> ExitCode {
    run_operator(std::env::args_os().skip(1))
}
