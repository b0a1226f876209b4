//! Cases of the second review. `cases NAME FOLDER` plays one; `TROUBLE=0` leaves its disruption out.
//!
//! Exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not run.

mod engine;
mod grace;
mod http;
mod node;
mod record;
mod store;

use std::path::PathBuf;
use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, folder] = arguments.as_slice() else {
        eprintln!("usage: cases NAME FOLDER");
        return ExitCode::from(2);
    };
    let folder = PathBuf::from(folder);
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let played = match name.as_str() {
        "grace" => grace::play(&folder, has_trouble),
        _ => Err(format!("no case is named {name}")),
    };
    match played {
        Ok(false) => ExitCode::SUCCESS,
        Ok(true) => ExitCode::from(1),
        Err(reason) => {
            eprintln!("the case could not run: {reason}");
            ExitCode::from(2)
        }
    }
}
