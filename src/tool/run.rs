//! Runs one command of the tool and turns its result into an exit code.

use std::io::{self, Read, Write};

use thiserror::Error;

use super::{items, keys, requests, state};
use crate::client::ClientOptions;
use crate::client::error::ClientError;
use crate::tool::flags::{
    KEY_VARIABLE, STANDARD_INPUT, ToolCall, ToolRequest, UsageError, parse_tool, tool_help,
};

/// Exit codes of the tool.
pub mod exit_code {
    /// Done, or the request was answered.
    pub const OK: u8 = 0;
    /// Failed without an outcome.
    pub const FAILED: u8 = 1;
    /// The command line could not be understood.
    pub const USAGE: u8 = 2;
    /// A key, certificate or input file cannot be used.
    pub const INPUT: u8 = 3;
    /// The request was refused and has not run.
    pub const NOT_RUN: u8 = 4;
    /// Whether the request ran is not known.
    pub const UNKNOWN: u8 = 5;
    /// The request was cancelled.
    pub const CANCELLED: u8 = 6;
    /// The request's deadline passed after it had started.
    pub const EXPIRED: u8 = 7;
}

/// Why a command failed.
#[derive(Debug, Error)]
pub enum ToolError {
    /// The client failed.
    #[error(transparent)]
    Client(#[from] ClientError),
    /// A file or key cannot be used.
    #[error("{0}")]
    Input(String),
    /// The result cannot be printed.
    #[error("the result cannot be printed ({0}); check where standard output goes")]
    Output(#[from] io::Error),
    /// The command line cannot be understood.
    #[error(transparent)]
    Usage(#[from] UsageError),
}

impl ToolError {
    fn exit_code(&self) -> u8 {
        match self {
            Self::Client(_) | Self::Output(_) => exit_code::FAILED,
            Self::Input(_) => exit_code::INPUT,
            Self::Usage(_) => exit_code::USAGE,
        }
    }
}

/// Runs the tool with the words of its command line and returns the exit code.
#[must_use]
pub fn run_tool(words: &[String]) -> u8 {
    let result = parse_tool(words)
        .map_err(ToolError::from)
        .and_then(|request| run_request(&request));
    match result {
        Ok(code) => code,
        // A reader that has seen enough, such as `head`, is no failure.
        Err(ToolError::Output(error)) if error.kind() == io::ErrorKind::BrokenPipe => exit_code::OK,
        Err(error) => {
            eprintln!("pistachiowick: {error}");
            error.exit_code()
        }
    }
}

fn run_request(request: &ToolRequest) -> Result<u8, ToolError> {
    match request {
        ToolRequest::Help(command) => print_text(&tool_help(*command))?,
        ToolRequest::Version => {
            print_text(&format!("pistachiowick {}\n", env!("CARGO_PKG_VERSION")))?;
        }
        ToolRequest::Call(call) if call.command.name == "key" => keys::print_key(call)?,
        ToolRequest::Call(call) => return run_call(call),
    }
    Ok(exit_code::OK)
}

fn run_call(call: &ToolCall) -> Result<u8, ToolError> {
    let options = client_options(call)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(async {
        match call.command.name {
            "submit" => return requests::submit(call, options).await,
            "resume" => return requests::resume(call, options).await,
            "cancel" => requests::cancel(call, options).await?,
            "outcome" => return requests::outcome(call, options).await,
            "locate" => requests::locate(call, options).await?,
            "workspaces" | "classes" | "models" => items::run(call, &options).await?,
            "watch" => items::watch(call, &options).await?,
            "targets" => state::targets(call, &options).await?,
            "drain" | "restore" => state::hold(call, &options).await?,
            "status" => state::status(call, &options).await?,
            "explain" => state::explain(call, &options).await?,
            other => return Err(UsageError(format!("unknown command {other:?}")).into()),
        }
        Ok(exit_code::OK)
    })
}

fn client_options(call: &ToolCall) -> Result<ClientOptions, ToolError> {
    let addresses = call.texts("address");
    if addresses.is_empty() {
        let text = "no address given; name a daemon with --address IP:PORT";
        return Err(UsageError(text.to_owned()).into());
    }
    let ca_pem = call.text("ca").map(|file| read_file(&file)).transpose()?;
    Ok(ClientOptions {
        ca_pem,
        retry_refused: !call.has("no-retry"),
        ..ClientOptions::new(addresses, read_key(call)?)
    })
}

/// Reads the key from a file or the environment; on the command line every
/// process of the machine could read it.
fn read_key(call: &ToolCall) -> Result<String, ToolError> {
    let text = match call.text("key-file") {
        Some(file) => read_file(&file)?,
        None => std::env::var(KEY_VARIABLE).map_err(|_| {
            ToolError::Input(format!(
                "no key given; name a file with --key-file or set {KEY_VARIABLE}"
            ))
        })?,
    };
    let key = text.trim();
    if key.is_empty() {
        return Err(ToolError::Input(
            "the key is empty; make one with `pistachiowick key`".to_owned(),
        ));
    }
    Ok(key.to_owned())
}

/// Reads a text file; `-` reads standard input.
///
/// # Errors
///
/// Returns an error that names the file.
pub fn read_file(file: &str) -> Result<String, ToolError> {
    let refuse = |error: io::Error| {
        ToolError::Input(format!(
            "{file:?} cannot be read ({error}); check the name, or use - for standard input"
        ))
    };
    if file == STANDARD_INPUT {
        let mut text = String::new();
        io::stdin().read_to_string(&mut text).map_err(refuse)?;
        return Ok(text);
    }
    std::fs::read_to_string(file).map_err(refuse)
}

/// Prints text to standard output.
///
/// # Errors
///
/// Returns an error when standard output is closed or full.
pub fn print_text(text: &str) -> io::Result<()> {
    let mut output = io::stdout().lock();
    output.write_all(text.as_bytes())?;
    output.flush()
}

/// Prints a JSON value on one line to standard output.
///
/// # Errors
///
/// Returns an error when standard output is closed or full.
pub fn print_json(value: &serde_json::Value) -> io::Result<()> {
    print_text(&format!("{value}\n"))
}
