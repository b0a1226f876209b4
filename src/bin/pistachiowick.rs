//! The command-line tool for callers and operators.

use std::process::ExitCode;

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().skip(1).collect();
    ExitCode::from(pistachiowick::tool::run::run_tool(&words))
}
