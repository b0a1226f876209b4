//! Command-line flags of the daemon.

use getopts::{Fail, Options};
use thiserror::Error;

/// Exit codes of the daemon.
pub mod exit_code {
    /// Ended as asked.
    pub const OK: u8 = 0;
    /// Failed while running.
    pub const FAILED: u8 = 1;
    /// The command line could not be understood.
    pub const USAGE: u8 = 2;
    /// The settings cannot be used.
    pub const SETTINGS: u8 = 3;
}

/// Name that stands for standard input in place of a file.
pub const STANDARD_INPUT: &str = "-";

/// What the daemon is asked to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DaemonCommand {
    /// Checks the settings of a file and exits.
    Check(String),
    /// Prints the help.
    Help,
    /// Serves with the settings of a file.
    Serve(String),
    /// Prints the version.
    Version,
}

/// Why a command line cannot be understood.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum FlagError {
    /// A flag is unknown, doubled or lacks its value.
    #[error("{0}; see --help")]
    Flag(#[from] Fail),
    /// The settings file is not named.
    #[error("no settings given; name a file with --settings FILE, or - for standard input")]
    NoSettings,
    /// There are words besides the flags.
    #[error("unexpected argument {found:?}; the daemon takes flags only, see --help")]
    Unexpected {
        /// First such word.
        found: String,
    },
}

/// Reads the daemon's command line, without the program's name.
///
/// # Errors
///
/// Returns an error that names the flag at fault.
pub fn parse_daemon(words: &[String]) -> Result<DaemonCommand, FlagError> {
    read_command(&daemon_options(), words, None)
}

/// Reads the command line of a program with a daemon's flags, by its own texts for
/// them. Without the flag, the settings are those of `default_file`.
///
/// # Errors
///
/// Returns an error that names the flag at fault.
pub fn read_command(
    options: &Options,
    words: &[String],
    default_file: Option<String>,
) -> Result<DaemonCommand, FlagError> {
    let matches = options.parse(words)?;
    if matches.opt_present("help") {
        return Ok(DaemonCommand::Help);
    }
    if matches.opt_present("version") {
        return Ok(DaemonCommand::Version);
    }
    if let Some(found) = matches.free.first() {
        return Err(FlagError::Unexpected {
            found: found.clone(),
        });
    }
    let file = matches.opt_str("settings").or(default_file);
    let file = file.ok_or(FlagError::NoSettings)?;
    if matches.opt_present("check") {
        return Ok(DaemonCommand::Check(file));
    }
    Ok(DaemonCommand::Serve(file))
}

/// Returns the daemon's help.
#[must_use]
pub fn daemon_help() -> String {
    let brief = "Serves language-model requests on a fixed fleet of engines.\n\n\
                 Usage: pistachiowickd --settings FILE [--check]";
    let notes = "Once it listens, one line of JSON with its addresses goes to standard output;\n\
                 logs go to standard error. SIGTERM or SIGINT starts a graceful shutdown\n\
                 that cuts no request; a second one ends the process at once.\n\n\
                 Exit codes:\n    \
                 0  ended as asked\n    \
                 1  failed while running\n    \
                 2  wrong usage\n    \
                 3  settings that cannot be used";
    format!("{}\n{notes}\n", daemon_options().usage(brief))
}

fn daemon_options() -> Options {
    let mut options = Options::new();
    options
        .optopt(
            "s",
            "settings",
            "settings in JSON; - reads standard input",
            "FILE",
        )
        .optflag("c", "check", "check the settings and exit")
        .optflag("h", "help", "print this help and exit")
        .optflag("V", "version", "print the version and exit");
    options
}
