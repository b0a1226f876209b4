//! Command line of the tool: its commands, their words and flags, and the help.

use getopts::{Matches, Options};
use thiserror::Error;

/// Environment variable that holds the key when no file is named.
pub const KEY_VARIABLE: &str = "PISTACHIOWICK_KEY";

/// Name that stands for standard input in place of a file.
pub const STANDARD_INPUT: &str = "-";

/// Why a command line cannot be understood. The message names the remedy.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("{0}")]
pub struct UsageError(pub String);

/// A flag of the tool.
struct ToolFlag {
    short: &'static str,
    long: &'static str,
    /// What its value stands for; empty for a switch.
    value: &'static str,
    about: &'static str,
}

/// A command of the tool.
#[derive(Debug)]
pub struct ToolCommand {
    /// First word.
    pub name: &'static str,
    /// Words after it, as shown in the help.
    pub words: &'static str,
    /// Fewest words after the name.
    pub least_words: usize,
    /// Most words after the name.
    pub most_words: usize,
    /// Long names of its own flags.
    pub flags: &'static [&'static str],
    /// What it does.
    pub about: &'static str,
}

const fn flag(
    short: &'static str,
    long: &'static str,
    value: &'static str,
    about: &'static str,
) -> ToolFlag {
    ToolFlag {
        short,
        long,
        value,
        about,
    }
}

const fn switch(short: &'static str, long: &'static str, about: &'static str) -> ToolFlag {
    flag(short, long, "", about)
}

/// Flags of every command; `--address` may be given several times.
const GLOBAL_FLAGS: &[ToolFlag] = &[
    flag(
        "a",
        "address",
        "IP:PORT",
        "daemon to ask first; may be repeated",
    ),
    flag(
        "k",
        "key-file",
        "FILE",
        "file with the key; else PISTACHIOWICK_KEY",
    ),
    flag(
        "",
        "ca",
        "FILE",
        "certificate authority in PEM; without it no TLS",
    ),
    switch("j", "json", "print JSON for programs"),
    switch("h", "help", "print this help and exit"),
    switch("V", "version", "print the version and exit"),
];

const COMMAND_FLAGS: &[ToolFlag] = &[
    flag("m", "model", "NAME", "model; else the class's first"),
    flag("", "adapter", "NAME", "adapter; else none"),
    flag(
        "",
        "model-version",
        "NAME",
        "version of the model; else any",
    ),
    flag(
        "t",
        "prompt-tokens",
        "N",
        "prompt length in tokens; else a quarter of its bytes",
    ),
    flag(
        "o",
        "max-output-tokens",
        "N",
        "most tokens to generate (default 256)",
    ),
    flag(
        "d",
        "deadline-ms",
        "MS",
        "time for the whole answer; else the class's",
    ),
    flag(
        "",
        "prefix",
        "NAME",
        "name of the prompt's part that others share",
    ),
    flag("", "prefix-tokens", "N", "length of that part in tokens"),
    switch("1", "once", "make a request key: run at most once"),
    flag(
        "",
        "request-key",
        "KEY",
        "key of a request submitted before",
    ),
    flag(
        "",
        "minted-at",
        "MS",
        "time at which that key was made, as printed then",
    ),
    switch("", "no-retry", "pass a refusal on at once"),
    flag(
        "",
        "token-file",
        "FILE",
        "write the newest resume token there",
    ),
    flag(
        "",
        "offset",
        "N",
        "answer bytes already received (default 0)",
    ),
    switch("", "settle", "close an unused key for good"),
    flag(
        "b",
        "based-on",
        "REVISION",
        "revision the change was based on, from `show`",
    ),
    flag("r", "reason", "TEXT", "reason for the other operators"),
    flag(
        "n",
        "most",
        "N",
        "most decisions to ask each daemon for (default 50)",
    ),
];

const SUBMIT_FLAGS: &[&str] = &[
    "model",
    "adapter",
    "model-version",
    "prompt-tokens",
    "max-output-tokens",
    "deadline-ms",
    "prefix",
    "prefix-tokens",
    "once",
    "request-key",
    "minted-at",
    "no-retry",
    "token-file",
];

const ITEM_WORDS: &str = "list | show NAME | create [FILE] | change [FILE] | delete NAME";

const fn command(
    name: &'static str,
    words: &'static str,
    counts: (usize, usize),
    flags: &'static [&'static str],
    about: &'static str,
) -> ToolCommand {
    ToolCommand {
        name,
        words,
        least_words: counts.0,
        most_words: counts.1,
        flags,
        about,
    }
}

/// Every command: callers' first, then operators'.
pub const COMMANDS: &[ToolCommand] = &[
    command(
        "submit",
        "CLASS [PROMPT]",
        (1, 2),
        SUBMIT_FLAGS,
        "submit a request; without PROMPT it is read from standard input",
    ),
    command("resume", "TOKEN", (1, 1), &["offset"], "continue an answer"),
    command("cancel", "TOKEN", (1, 1), &[], "stop a request"),
    command(
        "outcome",
        "KEY MINTED_AT",
        (2, 2),
        &["settle"],
        "read the recorded outcome of a request that may not be repeated",
    ),
    command(
        "locate",
        "",
        (0, 0),
        &[],
        "tell which addresses to use, and for how long",
    ),
    command(
        "key",
        "",
        (0, 0),
        &[],
        "make a key and print it with its hash; asks no daemon",
    ),
    command(
        "workspaces",
        ITEM_WORDS,
        (1, 2),
        &["based-on"],
        "workspaces and their keys",
    ),
    command(
        "classes",
        ITEM_WORDS,
        (1, 2),
        &["based-on"],
        "workload classes; NAME is WORKSPACE/CLASS",
    ),
    command(
        "models",
        ITEM_WORDS,
        (1, 2),
        &["based-on"],
        "models with versions and adapters",
    ),
    command(
        "targets",
        "",
        (0, 0),
        &[],
        "list engines and plain services",
    ),
    command(
        "drain",
        "TARGET",
        (1, 1),
        &["reason"],
        "take a target out of use; running work finishes",
    ),
    command(
        "restore",
        "TARGET",
        (1, 1),
        &["reason"],
        "put a drained target back into use",
    ),
    command(
        "status",
        "",
        (0, 0),
        &[],
        "state of fleet, leases and daemons",
    ),
    command(
        "explain",
        "[SUBJECT]",
        (0, 1),
        &["most"],
        "recent decisions of the daemons named, with reasons, newest first",
    ),
    command(
        "watch",
        "workspaces | classes | models | holds",
        (1, 1),
        &[],
        "print items and each change until interrupted",
    ),
];

/// A command line that was understood.
#[derive(Debug)]
pub struct ToolCall {
    /// The command.
    pub command: &'static ToolCommand,
    /// Words after its name.
    pub words: Vec<String>,
    matches: Matches,
}

/// What the tool is asked to do.
#[derive(Debug)]
pub enum ToolRequest {
    /// Runs a command.
    Call(ToolCall),
    /// Prints the help, of one command where given.
    Help(Option<&'static ToolCommand>),
    /// Prints the version.
    Version,
}

impl ToolCall {
    /// Tells whether a switch is given.
    #[must_use]
    pub fn has(&self, long: &str) -> bool {
        self.matches.opt_present(long)
    }

    /// Returns the value of a flag, if given.
    #[must_use]
    pub fn text(&self, long: &str) -> Option<String> {
        self.matches.opt_str(long)
    }

    /// Returns every value of a flag.
    #[must_use]
    pub fn texts(&self, long: &str) -> Vec<String> {
        self.matches.opt_strs(long)
    }

    /// Returns the value of a flag as a whole number, if given.
    ///
    /// # Errors
    ///
    /// Returns an error that names the flag, the value and the range.
    pub fn number<T: std::str::FromStr>(&self, long: &str) -> Result<Option<T>, UsageError> {
        let Some(text) = self.text(long) else {
            return Ok(None);
        };
        let number = text.parse().map_err(|_| {
            UsageError(format!(
                "--{long}: found {text:?}; give a whole number that is not negative"
            ))
        })?;
        Ok(Some(number))
    }
}

/// Reads the tool's command line, without the program's name.
///
/// # Errors
///
/// Returns an error that names the word or flag at fault and the remedy.
pub fn parse_tool(words: &[String]) -> Result<ToolRequest, UsageError> {
    let parsed = all_options().parse(words);
    let matches = parsed.map_err(|fail| UsageError(format!("{fail}; see --help")))?;
    let command = matches.free.first().map(|name| find_command(name));
    if matches.opt_present("help") {
        return Ok(ToolRequest::Help(command.transpose()?));
    }
    if matches.opt_present("version") {
        return Ok(ToolRequest::Version);
    }
    let no_command = || UsageError("no command given; see --help".to_owned());
    let command = command.ok_or_else(no_command)??;
    let words = matches.free[1..].to_vec();
    check_words(command, &words)?;
    check_flags(command, &matches)?;
    Ok(ToolRequest::Call(ToolCall {
        command,
        words,
        matches,
    }))
}

fn find_command(name: &str) -> Result<&'static ToolCommand, UsageError> {
    let found = COMMANDS.iter().find(|command| command.name == name);
    found.ok_or_else(|| {
        let names: Vec<&str> = COMMANDS.iter().map(|command| command.name).collect();
        UsageError(format!(
            "unknown command {name:?}; use one of {}",
            names.join(", ")
        ))
    })
}

fn check_words(command: &ToolCommand, words: &[String]) -> Result<(), UsageError> {
    if (command.least_words..=command.most_words).contains(&words.len()) {
        return Ok(());
    }
    Err(UsageError(format!(
        "{} words after {}; the usage is: pistachiowick {} {}",
        words.len(),
        command.name,
        command.name,
        command.words
    )))
}

fn check_flags(command: &ToolCommand, matches: &Matches) -> Result<(), UsageError> {
    let foreign = COMMAND_FLAGS
        .iter()
        .find(|flag| matches.opt_present(flag.long) && !command.flags.contains(&flag.long));
    match foreign {
        None => Ok(()),
        Some(flag) => Err(UsageError(format!(
            "--{} does not go with {}; see: pistachiowick {} --help",
            flag.long, command.name, command.name
        ))),
    }
}

/// Returns the help: of one command, or of all.
#[must_use]
pub fn tool_help(command: Option<&ToolCommand>) -> String {
    match command {
        Some(command) => command_help(command),
        None => overview(),
    }
}

fn command_help(command: &ToolCommand) -> String {
    let brief = format!(
        "pistachiowick {}: {}.\n\nUsage: pistachiowick {} {} [FLAGS]",
        command.name, command.about, command.name, command.words
    );
    let own = COMMAND_FLAGS
        .iter()
        .filter(|flag| command.flags.contains(&flag.long));
    options_of(own.chain(GLOBAL_FLAGS)).usage(&brief)
}

fn overview() -> String {
    let mut text = "Submits work to a pistachiowick fleet and operates it.\n\n\
                    Usage: pistachiowick COMMAND [WORDS] [FLAGS]\n\nCommands:\n"
        .to_owned();
    for command in COMMANDS {
        text.push_str(&format!("    {:11} {}\n", command.name, command.about));
    }
    let flags = options_of(GLOBAL_FLAGS.iter()).usage("Flags of every command");
    format!(
        "{text}\n{}\n\
         `pistachiowick COMMAND --help` tells the words and flags of a command.\n\
         Answers go to standard output, progress and errors to standard error.\n\n\
         Exit codes:\n    \
         0  done, or the request was answered\n    \
         1  failed without an outcome\n    \
         2  wrong usage\n    \
         3  a key, certificate or input file that cannot be used\n    \
         4  refused: has not run\n    \
         5  unknown whether it ran\n    \
         6  cancelled\n    \
         7  expired\n",
        flags.replace("\n\nOptions:", ":")
    )
}

fn all_options() -> Options {
    options_of(COMMAND_FLAGS.iter().chain(GLOBAL_FLAGS))
}

fn options_of(flags: impl Iterator<Item = &'static ToolFlag>) -> Options {
    let mut options = Options::new();
    for flag in flags {
        if flag.value.is_empty() {
            options.optflag(flag.short, flag.long, flag.about);
        } else if flag.long == "address" {
            options.optmulti(flag.short, flag.long, flag.about, flag.value);
        } else {
            options.optopt(flag.short, flag.long, flag.about, flag.value);
        }
    }
    options
}
