//! Memory of a daemon by the number of streams that run through it.
//!
//! The daemon is a process of its own, so that neither callers nor engines count.

use std::path::Path;
use std::time::Duration;

use eyre::{Result, WrapErr, ensure, eyre};
use pistachiowick::pb;
use pistachiowick::pb::answer_event::Event;
use pistachiowick::pb::operations_client::OperationsClient;
use pistachiowick::pb::requests_client::RequestsClient;
use pistachiowick::store::wire::{InstanceKind, InstanceRow};
use tokio::task::JoinHandle;
use tonic::transport::{Channel, Endpoint};

use crate::engine_options::EngineOptions;
use crate::fleet::{FleetPlan, LabFleet, daemon_settings, operator_call, with_key};
use crate::footprint::SizeSlope;
use crate::process_stat::resident_bytes;
use crate::prove_daemon::DaemonHost;
use crate::quickstart::{MODEL, quickstart_items, quickstart_plan, workspace_key};

const WORKSPACE: &str = "rowing";
const DAEMON: &str = "entry-0";
const CENTRE: &str = "centre-a";
/// Streams of one connection; several connections carry them.
const STREAMS_EACH: usize = 200;
/// Time of one token, so long that the streams outlast the reading.
const STEP_MS: f64 = 1_000.0;
const OUTPUT_TOKENS: u32 = 600;
const DEADLINE_MS: u32 = 3_600_000;
/// Time for the daemon to see the engines and the configuration.
const SETTLE: Duration = Duration::from_secs(4);
/// Time for the streams' first tokens to pass.
const STREAM_SETTLE: Duration = Duration::from_secs(5);

/// Measures a daemon with fewer and with more streams.
///
/// # Errors
///
/// Returns an error when the daemon does not start or a stream is refused.
pub async fn stream_slope(program: &Path, counts: (usize, usize)) -> Result<SizeSlope> {
    let fleet = LabFleet::start(plan(counts.1)).await?;
    let host = start_daemon(&fleet, program, counts.1).await?;
    let address = host.addresses.rpc.to_string();
    configure(&address).await?;
    tokio::time::sleep(SETTLE).await;
    let mut streams = Vec::new();
    open_streams(&address, &mut streams, counts.0).await?;
    let few = settled_bytes(&host).await?;
    open_streams(&address, &mut streams, counts.1).await?;
    let many = settled_bytes(&host).await?;
    let ended = streams.iter().filter(|s| s.is_finished()).count();
    for stream in streams {
        stream.abort();
    }
    host.kill().await;
    fleet.stop().await;
    ensure!(ended == 0, "{ended} streams ended before the reading");
    Ok(SizeSlope::new(
        "running streams in a daemon",
        counts,
        (few, many),
    ))
}

fn plan(streams: usize) -> FleetPlan {
    let base = quickstart_plan();
    FleetPlan {
        daemons: 0,
        services: 0,
        engine: EngineOptions {
            min_step_ms: STEP_MS,
            max_batch: streams,
            queue_limit: streams,
            kv_limit_tokens: u64::MAX / 2,
            time_scale: 1.0,
            ..base.engine.clone()
        },
        ..base
    }
}

async fn start_daemon(fleet: &LabFleet, program: &Path, streams: usize) -> Result<DaemonHost> {
    let mut settings = daemon_settings(DAEMON, CENTRE, &fleet.platform.address());
    settings.policy.engine_in_flight = streams;
    settings.policy.refuse_early = false;
    settings.limits.queue_length = streams;
    settings.limits.queue_per_workspace = streams;
    let host = DaemonHost::start_process(program, &settings).await?;
    let rpc = host.addresses.rpc.to_string();
    fleet.platform.set_instance(InstanceRow {
        peer_address: host.addresses.peer.to_string(),
        ..fleet.row(DAEMON, InstanceKind::Entry, &rpc, 0)
    });
    tokio::time::sleep(SETTLE).await;
    Ok(host)
}

async fn configure(address: &str) -> Result<()> {
    let mut client = OperationsClient::new(connect(address).await?);
    for item in quickstart_items() {
        let create = pb::CreateItemRequest {
            item: Some((&item).into()),
        };
        let created = client.create_item(operator_call(create)).await;
        created.wrap_err_with(|| format!("cannot create {:?}", item.item_name()))?;
    }
    Ok(())
}

async fn connect(address: &str) -> Result<Channel> {
    let endpoint = Endpoint::from_shared(format!("http://{address}"))?;
    Ok(endpoint.connect().await?)
}

/// Opens streams until there are `count`, each with its first token.
async fn open_streams(
    address: &str,
    streams: &mut Vec<JoinHandle<()>>,
    count: usize,
) -> Result<()> {
    while streams.len() < count {
        let mut client = RequestsClient::new(connect(address).await?);
        let batch = STREAMS_EACH.min(count - streams.len());
        for _ in 0..batch {
            let stream = open_stream(&mut client, streams.len()).await?;
            streams.push(stream);
        }
    }
    Ok(())
}

async fn open_stream(
    client: &mut RequestsClient<Channel>,
    number: usize,
) -> Result<JoinHandle<()>> {
    let submit = pb::SubmitRequest {
        class: "check".to_owned(),
        model: MODEL.to_owned(),
        prompt: format!("out={OUTPUT_TOKENS} footprint-{number}").into_bytes(),
        prompt_tokens: 10,
        max_output_tokens: OUTPUT_TOKENS,
        deadline_ms: DEADLINE_MS,
        ..pb::SubmitRequest::default()
    };
    let call = with_key(submit, &workspace_key(WORKSPACE));
    let mut answer = client.submit(call).await?.into_inner();
    let first = answer.message().await?;
    let event = first.and_then(|e| e.event);
    ensure!(
        matches!(event, Some(Event::Accepted(_))),
        "stream {number} was not accepted: {event:?}"
    );
    Ok(tokio::spawn(async move {
        // What comes is not looked at; the stream only has to run.
        while let Ok(Some(_)) = answer.message().await {}
    }))
}

async fn settled_bytes(host: &DaemonHost) -> Result<u64> {
    tokio::time::sleep(STREAM_SETTLE).await;
    let process = host.process_id();
    let process = process.ok_or_else(|| eyre!("the daemon is no running process"))?;
    resident_bytes(Some(process))
}
