//! `pistachiowick-lab`: runs one stand-in as a process, or a load.

use std::process::ExitCode;

use eyre::{Context, Result, bail};
use getopts::{Matches, Options};
use pistachiowick::ports::PortFuture;
use pistachiowick_lab::compare::{compare, policy_names, summarise};
use pistachiowick_lab::control_cost;
use pistachiowick_lab::engine::EngineStandIn;
use pistachiowick_lab::footprint;
use pistachiowick_lab::load::run_load;
use pistachiowick_lab::once_cost;
use pistachiowick_lab::platform::PlatformStandIn;
use pistachiowick_lab::prove_command;
use pistachiowick_lab::quickstart::run_quickstart;
use pistachiowick_lab::scenario::ScenarioSpec;
use pistachiowick_lab::service::ServiceStandIn;
use pistachiowick_lab::weight_store::WeightStandIn;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::json;

/// One subcommand.
struct LabCommand {
    name: &'static str,
    about: &'static str,
    /// Files named on the command line.
    files: usize,
    run: fn(Matches) -> PortFuture<Result<()>>,
}

/// All subcommands.
const COMMANDS: &[LabCommand] = &[
    LabCommand {
        name: "quickstart",
        about: "run the main job on a deployment within this process",
        files: 0,
        run: |matches| Box::pin(quickstart(matches)),
    },
    LabCommand {
        name: "prove",
        about: "run daemons under faults drawn from a seed and judge what callers were told",
        files: 0,
        run: |matches| Box::pin(prove_command::run(matches)),
    },
    LabCommand {
        name: "compare",
        about: "run a scenario under several policies and set the results side by side",
        files: 1,
        run: |matches| Box::pin(run_compare(matches)),
    },
    LabCommand {
        name: "footprint",
        about: "measure memory and message sizes by count",
        files: 0,
        run: |matches| Box::pin(footprint::run(matches)),
    },
    LabCommand {
        name: "control-cost",
        about: "measure what control costs by the number of daemons",
        files: 0,
        run: |matches| Box::pin(control_cost::run(matches)),
    },
    LabCommand {
        name: "once-cost",
        about: "measure what running requests at most once costs, by rate",
        files: 0,
        run: |matches| Box::pin(once_cost::run(matches)),
    },
    LabCommand {
        name: "platform",
        about: "run a stand-in for the platform's object service and instance list",
        files: 0,
        run: |matches| Box::pin(run_platform(matches)),
    },
    LabCommand {
        name: "engine",
        about: "run a stand-in for a model engine",
        files: 0,
        run: |matches| Box::pin(run_engine(matches)),
    },
    LabCommand {
        name: "service",
        about: "run a stand-in for a plain service",
        files: 0,
        run: |matches| Box::pin(run_service(matches)),
    },
    LabCommand {
        name: "weights",
        about: "run a stand-in for the weight store",
        files: 0,
        run: |matches| Box::pin(run_weights(matches)),
    },
    LabCommand {
        name: "load",
        about: "send requests to daemons and check every byte of the answers",
        files: 0,
        run: |matches| Box::pin(send_load(matches)),
    },
];

/// Exit code for a wrong command line.
const USAGE_CODE: u8 = 2;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let command = arguments
        .first()
        .and_then(|name| COMMANDS.iter().find(|command| command.name == name));
    let Some(command) = command else {
        return print_help(arguments.first().map(String::as_str));
    };
    match run_command(command, &arguments[1..]) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("pistachiowick-lab {}: {error:#}", command.name);
            ExitCode::FAILURE
        }
    }
}

fn print_help(name: Option<&str>) -> ExitCode {
    println!("usage: pistachiowick-lab COMMAND [OPTIONS]\n\ncommands:");
    for command in COMMANDS {
        println!("  {:12} {}", command.name, command.about);
    }
    println!("\npistachiowick-lab COMMAND --help tells more.");
    match name {
        Some("-h" | "--help" | "help") => ExitCode::SUCCESS,
        Some(name) => {
            eprintln!("{name} is no command");
            ExitCode::from(USAGE_CODE)
        }
        None => ExitCode::from(USAGE_CODE),
    }
}

fn run_command(command: &LabCommand, arguments: &[String]) -> Result<()> {
    let mut options = Options::new();
    options.optopt("o", "options", "JSON file; without it, defaults", "FILE");
    options.optopt("a", "address", "IP number and port to listen at", "IP:PORT");
    options.optopt("", "seed", "seed of all random choices; 1 without it", "N");
    prove_command::add_flags(&mut options);
    control_cost::add_flags(&mut options);
    footprint::add_flags(&mut options);
    once_cost::add_flags(&mut options);
    options.optopt(
        "",
        "policies",
        "policies to compare, with commas; all without it",
        "LIST",
    );
    options.optopt("", "repeat", "runs of each policy, with rising seeds", "K");
    options.optflag("p", "print-options", "print the options in force and exit");
    options.optflag("h", "help", "print this text");
    let matches = options.parse(arguments)?;
    if matches.opt_present("help") {
        let brief = format!(
            "usage: pistachiowick-lab {} [OPTIONS]\n\n{}.",
            command.name, command.about
        );
        print!("{}", options.usage(&brief));
        return Ok(());
    }
    if let Some(stray) = matches.free.get(command.files) {
        bail!("{stray} is not understood; see --help");
    }
    let runtime = tokio::runtime::Runtime::new().wrap_err("cannot start threads")?;
    runtime.block_on((command.run)(matches))
}

fn read_options<T: DeserializeOwned + Default>(matches: &Matches) -> Result<T> {
    let Some(path) = matches.opt_str("options") else {
        return Ok(T::default());
    };
    let text = std::fs::read_to_string(&path).wrap_err_with(|| format!("cannot read {path}"))?;
    serde_json::from_str(&text).wrap_err_with(|| format!("{path} does not parse; correct it"))
}

fn prints_options<T: Serialize>(matches: &Matches, options: &T) -> Result<bool> {
    let is_asked = matches.opt_present("print-options");
    if is_asked {
        println!("{}", serde_json::to_string_pretty(options)?);
    }
    Ok(is_asked)
}

fn set_address(matches: &Matches, address: &mut String) {
    if let Some(given) = matches.opt_str("address") {
        *address = given;
    }
}

/// Tells the address and serves until the process is told to stop.
async fn serve_until_stopped(address: &str) -> Result<()> {
    println!("listening on {address}");
    tokio::signal::ctrl_c()
        .await
        .wrap_err("cannot wait for a signal")
}

async fn quickstart(matches: Matches) -> Result<()> {
    pistachiowick::invariants::make_fatal();
    let seed = matches.opt_get_default("seed", 1)?;
    run_quickstart(seed).await
}

async fn run_compare(matches: Matches) -> Result<()> {
    let Some(file) = matches.free.first() else {
        bail!("name a scenario file, for example lab/scenarios/mix-swing.json");
    };
    let text = std::fs::read_to_string(file).wrap_err_with(|| format!("cannot read {file}"))?;
    let scenario = ScenarioSpec::parse(&text).wrap_err_with(|| file.clone())?;
    let policies = match matches.opt_str("policies") {
        Some(list) => list.split(',').map(str::to_owned).collect(),
        None => policy_names(),
    };
    let seed = matches.opt_get_default("seed", 1)?;
    let repeat = matches.opt_get_default("repeat", 1)?;
    let rows = compare(&scenario, &policies, seed, repeat).await?;
    let summary = json!({
        "scenario": scenario.name,
        "policies": summarise(&rows),
        "rows": rows,
    });
    println!("{summary}");
    Ok(())
}

async fn run_platform(matches: Matches) -> Result<()> {
    let mut options: pistachiowick_lab::platform::PlatformOptions = read_options(&matches)?;
    set_address(&matches, &mut options.address);
    if prints_options(&matches, &options)? {
        return Ok(());
    }
    let platform = PlatformStandIn::start(options).await?;
    serve_until_stopped(&platform.address()).await
}

async fn run_engine(matches: Matches) -> Result<()> {
    let mut options: pistachiowick_lab::engine_options::EngineOptions = read_options(&matches)?;
    set_address(&matches, &mut options.address);
    if prints_options(&matches, &options)? {
        return Ok(());
    }
    let engine = EngineStandIn::start(options).await?;
    serve_until_stopped(&engine.address()).await
}

async fn run_service(matches: Matches) -> Result<()> {
    let mut options: pistachiowick_lab::service::ServiceOptions = read_options(&matches)?;
    set_address(&matches, &mut options.address);
    if prints_options(&matches, &options)? {
        return Ok(());
    }
    let service = ServiceStandIn::start(options).await?;
    serve_until_stopped(&service.address()).await
}

async fn run_weights(matches: Matches) -> Result<()> {
    let mut options: pistachiowick_lab::weight_store::WeightOptions = read_options(&matches)?;
    set_address(&matches, &mut options.address);
    if prints_options(&matches, &options)? {
        return Ok(());
    }
    let weights = WeightStandIn::start(options).await?;
    serve_until_stopped(&weights.address()).await
}

async fn send_load(matches: Matches) -> Result<()> {
    let mut config: pistachiowick_lab::load::LoadConfig = read_options(&matches)?;
    if let Some(address) = matches.opt_str("address") {
        config.addresses = vec![address];
    }
    if prints_options(&matches, &config)? {
        return Ok(());
    }
    let tally = run_load(&config).await?;
    println!("{}", serde_json::to_string(&tally.summary())?);
    Ok(())
}
