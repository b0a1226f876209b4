//! Command line of `pistachiowick-lab prove`.

use std::path::PathBuf;

use eyre::{Result, WrapErr, ensure, eyre};
use getopts::{Matches, Options};
use pistachiowick::settings::{LogFormat, LogSettings};

use crate::prove::prove;
use crate::prove_plants::PlantedMistake;
use crate::prove_setup::ProveOptions;

/// Adds the command's flags.
pub fn add_flags(options: &mut Options) {
    let seconds = "length of a randomised run; 20 without it";
    options.optopt("", "seconds", seconds, "S");
    options.optflag("", "processes", "run daemons as processes of their own");
    let daemon = "program of the daemon; found beside this one";
    options.optopt("", "daemon", daemon, "PATH");
    options.optflag("", "json-only", "print nothing but the last line");
    let plant = "plant a mistake that the verdict must find";
    options.optopt("", "plant", plant, "NAME");
}

/// Runs the command.
///
/// # Errors
///
/// Returns an error for options that cannot be used, and when a promise was broken.
pub async fn run(matches: Matches) -> Result<()> {
    let defaults = ProveOptions::default();
    let plant = match matches.opt_str("plant") {
        None => None,
        Some(name) => {
            let names = PlantedMistake::ALL.map(PlantedMistake::as_str).join(", ");
            let plant = PlantedMistake::from_name(&name);
            Some(plant.ok_or_else(|| eyre!("no mistake {name:?} is known; plant {names}"))?)
        }
    };
    let runs_processes = matches.opt_present("processes") || matches.opt_present("daemon");
    let options = ProveOptions {
        seed: matches.opt_get_default("seed", defaults.seed)?,
        seconds: matches.opt_get_default("seconds", defaults.seconds)?,
        daemon_program: runs_processes
            .then(|| daemon_program(&matches))
            .transpose()?,
        prints_faults: !matches.opt_present("json-only"),
        plant,
        ..defaults
    };
    pistachiowick::logging::install(&LogSettings {
        format: LogFormat::Text,
        level: "error".to_owned(),
    })?;
    prove(&options).await
}

/// Returns the daemon's program: the one named, or the one beside this program.
///
/// # Errors
///
/// Returns an error when neither is there.
pub fn daemon_program(matches: &Matches) -> Result<PathBuf> {
    if let Some(path) = matches.opt_str("daemon") {
        return Ok(PathBuf::from(path));
    }
    let own = std::env::current_exe().wrap_err("cannot tell where this program is")?;
    let program = own.with_file_name("pistachiowickd");
    ensure!(
        program.exists(),
        "no {}; build it with cargo build --bins, or name it with --daemon PATH",
        program.display()
    );
    Ok(program)
}
