//! The daemon: reads its settings, serves until told to stop, and ends with a documented code.

use std::io::Read;
use std::process::ExitCode;

use eyre::{Result, WrapErr};
use pistachiowick::flags::{self, DaemonCommand, exit_code};
use pistachiowick::logging;
use pistachiowick::server::{self, RunningDaemon};
use pistachiowick::settings::DaemonSettings;
use tokio::signal::unix::{Signal, SignalKind, signal};

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().skip(1).collect();
    match flags::parse_daemon(&words) {
        Ok(command) => ExitCode::from(run(&command)),
        Err(error) => {
            eprintln!("pistachiowickd: {error}");
            ExitCode::from(exit_code::USAGE)
        }
    }
}

fn run(command: &DaemonCommand) -> u8 {
    match command {
        DaemonCommand::Help => print!("{}", flags::daemon_help()),
        DaemonCommand::Version => println!("pistachiowickd {}", env!("CARGO_PKG_VERSION")),
        DaemonCommand::Check(file) => return check(file),
        DaemonCommand::Serve(file) => return serve(file),
    }
    exit_code::OK
}

fn check(file: &str) -> u8 {
    match load(file) {
        Ok(settings) => {
            println!("settings of {} can be used", settings.daemon_id);
            exit_code::OK
        }
        Err(report) => fail(&report, exit_code::SETTINGS),
    }
}

fn serve(file: &str) -> u8 {
    let settings = match load(file) {
        Ok(settings) => settings,
        Err(report) => return fail(&report, exit_code::SETTINGS),
    };
    match serve_until_stopped(settings) {
        Ok(()) => exit_code::OK,
        Err(report) => fail(&report, exit_code::FAILED),
    }
}

fn load(file: &str) -> Result<DaemonSettings> {
    let text = read_text(file).wrap_err_with(|| format!("cannot read the settings {file:?}"))?;
    let settings = DaemonSettings::parse(&text)
        .wrap_err_with(|| format!("the settings {file:?} cannot be used"))?;
    Ok(settings)
}

fn read_text(file: &str) -> std::io::Result<String> {
    if file != flags::STANDARD_INPUT {
        return std::fs::read_to_string(file);
    }
    let mut text = String::new();
    std::io::stdin().read_to_string(&mut text)?;
    Ok(text)
}

fn serve_until_stopped(settings: DaemonSettings) -> Result<()> {
    logging::install(&settings.logs)?;
    let runtime = tokio::runtime::Runtime::new().wrap_err("cannot start the runtime")?;
    runtime.block_on(async {
        let interrupt = signal(SignalKind::interrupt())?;
        let terminate = signal(SignalKind::terminate())?;
        server::run_daemon(settings, announce, stop_asked(interrupt, terminate)).await
    })
}

/// Tells whoever started the process where it listens; port 0 is known only now.
fn announce(daemon: &RunningDaemon) {
    let addresses = serde_json::json!({
        "rpc": daemon.rpc.to_string(),
        "admin": daemon.admin.to_string(),
        "peer": daemon.peer.to_string(),
    });
    println!("{addresses}");
}

/// Ends with the first signal; the second one ends the process, because an
/// operator who asks twice no longer wants to wait for running requests.
async fn stop_asked(mut interrupt: Signal, mut terminate: Signal) {
    either(&mut interrupt, &mut terminate).await;
    log::info!("stop asked for; finishing running requests");
    tokio::spawn(async move {
        either(&mut interrupt, &mut terminate).await;
        log::warn!("stop asked for twice; ending at once");
        std::process::exit(i32::from(exit_code::FAILED));
    });
}

async fn either(interrupt: &mut Signal, terminate: &mut Signal) {
    tokio::select! {
        _ = interrupt.recv() => {}
        _ = terminate.recv() => {}
    }
}

fn fail(report: &eyre::Report, code: u8) -> u8 {
    eprintln!("pistachiowickd: {report:#}");
    code
}
