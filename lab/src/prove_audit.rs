//! What is looked at once all faults have ended: full service, one configuration
//! everywhere, nothing left over.

use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use indexmap::IndexMap;
use pistachiowick::pb;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::sync::Semaphore;
use tokio::task::JoinSet;

use crate::fleet::operator_call;
use crate::load::plan_request;
use crate::load_tally::RequestEnd;
use crate::prove_books::{AskBook, AskEnd, ChangeBook, ChangeEnd, RequestBook, ShownItem};
use crate::prove_callers::RequestCaller;
use crate::prove_fleet::{SharedFleet, operations};
use crate::prove_operators::{list_items, restore_all};
use crate::prove_setup::{ProveOptions, kind_of, prove_load};

/// Pause between two rounds or looks.
const PAUSE: Duration = Duration::from_millis(200);

/// Longest wait for one configuration everywhere, and for the last request's end.
const SETTLE_WAIT: Duration = Duration::from_secs(10);

/// Longest wait for a daemon's answer.
const CALL_WAIT: Duration = Duration::from_secs(2);

/// Keys closed at once.
const KEYS_AT_ONCE: usize = 64;

/// Result of the search for full service.
pub struct RecoveryResult {
    /// Time until a whole round was answered; `None` when none was.
    pub recovery_ms: Option<u64>,
    /// Every request sent.
    pub requests: Vec<RequestBook>,
    /// How the last round failed.
    pub last_failure: String,
}

/// Closes every key and books its final record, as an auditor would.
pub async fn close_keys(callers: &[Arc<RequestCaller>], seed: u64) {
    let slots = Arc::new(Semaphore::new(KEYS_AT_ONCE));
    let mut closings = JoinSet::new();
    for (number, caller) in callers.iter().enumerate() {
        if !caller.is_keyed() {
            continue;
        }
        let (caller, slots) = (caller.clone(), slots.clone());
        closings.spawn(async move {
            let _slot = slots.acquire().await;
            let mut random = SmallRng::seed_from_u64(seed ^ number as u64);
            caller.look_up(&mut random, true).await;
        });
    }
    closings.join_all().await;
}

/// Restores what operators left drained, through any daemon.
pub async fn lift_holds(fleet: &SharedFleet) {
    let begun = Instant::now();
    while begun.elapsed() < SETTLE_WAIT {
        let live = fleet.lock().await.live_addresses();
        let mut held = 0;
        for (_, address) in &live {
            let call = tokio::time::timeout(CALL_WAIT, restore_all(address)).await;
            held += call.ok().and_then(Result::ok).unwrap_or(1);
        }
        if held == 0 {
            return;
        }
        tokio::time::sleep(PAUSE).await;
    }
}

/// Sends rounds of fresh requests, of every class through every daemon, until a whole
/// round is answered.
pub async fn find_recovery(fleet: &SharedFleet, options: &ProveOptions) -> RecoveryResult {
    let begun = Instant::now();
    let mut result = RecoveryResult {
        recovery_ms: None,
        requests: Vec::new(),
        last_failure: String::new(),
    };
    let mut round = 0;
    while begun.elapsed() < options.recovery_bound {
        round += 1;
        let books = send_round(fleet, options, round).await;
        let failed = books.iter().find(|b| b.end != Some(RequestEnd::Answered));
        let failure = failed.map(describe);
        // A daemon that turned a probe away told nothing of the request.
        let told = books.into_iter().filter(|book| !is_turned_away(book));
        result.requests.extend(told);
        match failure {
            None => {
                result.recovery_ms = Some(begun.elapsed().as_millis() as u64);
                return result;
            }
            Some(text) => result.last_failure = text,
        }
        tokio::time::sleep(PAUSE).await;
    }
    result
}

fn is_turned_away(book: &RequestBook) -> bool {
    let turned_away = |ask: &AskBook| matches!(ask.end, AskEnd::Rejected(_) | AskEnd::Unreached);
    book.asks.iter().all(turned_away)
}

fn describe(book: &RequestBook) -> String {
    let last = book.asks.last();
    let told = last.map(|ask| format!("{:?} at {}: {}", ask.end, ask.address, ask.reason));
    format!(
        "{} ({:?}): {}",
        book.name,
        book.kind,
        told.unwrap_or_default()
    )
}

async fn send_round(fleet: &SharedFleet, options: &ProveOptions, round: u64) -> Vec<RequestBook> {
    let (live, addresses) = {
        let fleet = fleet.lock().await;
        (fleet.live_addresses(), fleet.addresses.clone())
    };
    let load = prove_load(options);
    let mut random = SmallRng::seed_from_u64(options.seed ^ round);
    let mut probes = Vec::new();
    for (daemon, address) in live {
        for class in &load.classes {
            let name = format!("probe-{round}-{daemon}-{}-{}", class.workspace, class.class);
            let request = plan_request(class, &name, Duration::ZERO, &mut random);
            let kind = kind_of(class);
            let caller = RequestCaller::new(addresses.clone(), &class.workspace, kind, request);
            let address = address.clone();
            probes.push(async move { caller.probe(&address).await });
        }
    }
    join_all(probes).await
}

/// Waits until every daemon shows every accepted change; returns the items as shown.
pub async fn shown_items(
    fleet: &SharedFleet,
    changes: &[ChangeBook],
) -> IndexMap<String, IndexMap<String, ShownItem>> {
    let begun = Instant::now();
    loop {
        let live = fleet.lock().await.live_addresses();
        let mut all = IndexMap::new();
        for (daemon, address) in live {
            let listed = tokio::time::timeout(CALL_WAIT, list_items(&address)).await;
            let items = listed.ok().and_then(Result::ok).unwrap_or_default();
            all.insert(daemon, items);
        }
        let is_behind = all.values().any(|items| is_behind(items, changes));
        let differs = all.values().any(|items| Some(items) != all.values().next());
        if !(is_behind || differs) || begun.elapsed() > SETTLE_WAIT {
            return all;
        }
        tokio::time::sleep(PAUSE).await;
    }
}

/// Tells whether a daemon lacks an accepted change.
#[must_use]
pub fn is_behind(items: &IndexMap<String, ShownItem>, changes: &[ChangeBook]) -> bool {
    changes.iter().any(|change| match change.end {
        ChangeEnd::Accepted(revision) => items
            .get(&change.item)
            .is_none_or(|i| i.revision < revision),
        ChangeEnd::NotTaken | ChangeEnd::Unknown => false,
    })
}

/// Waits until nothing runs or waits any more; returns what does not end.
pub async fn find_leaks(fleet: &SharedFleet) -> Vec<String> {
    let begun = Instant::now();
    loop {
        let leaks = leaks_now(fleet).await;
        if leaks.is_empty() || begun.elapsed() > SETTLE_WAIT {
            return leaks;
        }
        tokio::time::sleep(PAUSE).await;
    }
}

async fn leaks_now(fleet: &SharedFleet) -> Vec<String> {
    let fleet = fleet.lock().await;
    let mut leaks = Vec::new();
    for (name, engine) in &fleet.lab.engines {
        let state = engine.state();
        let open = state.running + state.waiting;
        if open > 0 {
            leaks.push(format!("{name} still runs {open} streams"));
        }
    }
    for slot in &fleet.slots {
        let Some(host) = &slot.host else { continue };
        let Some(context) = host.context() else {
            continue;
        };
        let running = context.running_count();
        let (waiting, placed) = context.dispatcher.counts();
        if running + waiting + placed > 0 {
            let counts = format!("{running} requests, {waiting} waiting and {placed} placed jobs");
            leaks.push(format!("{} still holds {counts}", slot.name));
        }
    }
    let live = fleet.live_addresses();
    drop(fleet);
    for (daemon, address) in live {
        if let Some(own) = own_in_flight(&address).await.filter(|own| *own > 0) {
            leaks.push(format!("{daemon} still counts {own} requests at targets"));
        }
    }
    leaks
}

async fn own_in_flight(address: &str) -> Option<u32> {
    let call = async {
        let mut client = operations(address).await.ok()?;
        let status = client
            .status(operator_call(pb::StatusRequest {}))
            .await
            .ok()?;
        let targets = status.into_inner().targets;
        Some(targets.iter().map(|target| target.own_in_flight).sum())
    };
    tokio::time::timeout(CALL_WAIT, call).await.ok()?
}
