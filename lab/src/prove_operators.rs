//! Operators who race one another with changes of the same items, and watchers who
//! look whether any daemon's configuration goes back.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use eyre::{OptionExt, Result};
use indexmap::IndexMap;
use pistachiowick::pb;
use pistachiowick::pb::config_item::Item;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tonic::Code;

use crate::fleet::operator_call;
use crate::prove_books::{ChangeBook, ChangeEnd, ShownItem};
use crate::prove_fleet::{SharedFleet, operations};
use crate::prove_setup::{RACED_CLASSES, WORKSPACES, model_class};

/// Longest wait for an operator's call.
const CALL_WAIT: Duration = Duration::from_secs(4);

/// Pause between two changes of one operator, at most.
const CHANGE_PAUSE_MS: u64 = 300;

/// Time between two looks of a watcher.
const LOOK_PAUSE: Duration = Duration::from_millis(100);

/// What operators and watchers write down.
#[derive(Default)]
pub struct OperatorBooks {
    /// Changes.
    pub changes: Mutex<Vec<ChangeBook>>,
    /// Falls of a revision.
    pub reverts: Mutex<Vec<String>>,
    next_mark: Mutex<u32>,
}

impl OperatorBooks {
    /// Returns a number that no other change has written.
    fn new_mark(&self) -> u32 {
        let mut next = lock(&self.next_mark);
        *next += 1;
        // The initial content is 1.
        *next + 1
    }
}

/// Changes raced items until aborted: reads through one daemon, writes through another.
pub async fn race(fleet: SharedFleet, books: Arc<OperatorBooks>, seed: u64) {
    let mut random = SmallRng::seed_from_u64(seed);
    loop {
        let pause = random.random_range(0..CHANGE_PAUSE_MS);
        tokio::time::sleep(Duration::from_millis(pause)).await;
        let name = RACED_CLASSES[random.random_range(0..RACED_CLASSES.len())];
        let live = fleet.lock().await.live_addresses();
        if live.is_empty() {
            continue;
        }
        let reader = &live[random.random_range(0..live.len())].1;
        let writer = &live[random.random_range(0..live.len())].1;
        let item = item_name(name);
        let read = tokio::time::timeout(CALL_WAIT, read_item(reader, &item)).await;
        let Ok(Ok(shown)) = read else { continue };
        let mark = books.new_mark();
        // Booked before the call: one whose end is never seen counts as not known.
        let place = {
            let mut changes = lock(&books.changes);
            changes.push(ChangeBook {
                item: item.clone(),
                based_on: shown.revision,
                mark,
                end: ChangeEnd::Unknown,
            });
            changes.len() - 1
        };
        let change = change_item(writer, name, shown.revision, mark);
        let end = tokio::time::timeout(CALL_WAIT, change).await;
        lock(&books.changes)[place].end = end.unwrap_or(ChangeEnd::Unknown);
    }
}

/// Returns the full name of a raced item.
#[must_use]
pub fn item_name(class: &str) -> String {
    format!("{}/{class}", WORKSPACES[0])
}

async fn read_item(address: &str, item: &str) -> Result<ShownItem> {
    let mut client = operations(address).await?;
    let request = operator_call(pb::ReadItemRequest {
        kind: pb::ItemKind::Class.into(),
        name: item.to_owned(),
    });
    let reply = client.read_item(request).await?.into_inner();
    shown(&reply).ok_or_eyre("the item is no class")
}

async fn change_item(address: &str, class: &str, based_on: u64, mark: u32) -> ChangeEnd {
    let Ok(mut client) = operations(address).await else {
        return ChangeEnd::NotTaken;
    };
    let spec = model_class(WORKSPACES[0], class, mark, true);
    let request = operator_call(pb::ChangeItemRequest {
        item: Some((&spec).into()),
        based_on,
    });
    match client.change_item(request).await {
        Ok(reply) => ChangeEnd::Accepted(reply.into_inner().revision),
        Err(status) if status.code() == Code::Aborted => ChangeEnd::NotTaken,
        Err(status) if says_unchanged(&status) => ChangeEnd::NotTaken,
        Err(_) => ChangeEnd::Unknown,
    }
}

/// Tells whether a refusal promises that nothing was changed.
fn says_unchanged(status: &tonic::Status) -> bool {
    status.code() == Code::Unavailable && status.message().contains("nothing was changed")
}

/// Looks at one daemon's items until aborted; books every revision that falls.
pub async fn watch(fleet: SharedFleet, books: Arc<OperatorBooks>, slot: usize) {
    let mut seen: IndexMap<(String, String), u64> = IndexMap::new();
    loop {
        tokio::time::sleep(LOOK_PAUSE).await;
        let address = {
            let fleet = fleet.lock().await;
            let host = fleet.slots[slot].host.as_ref();
            host.map(|host| host.addresses.rpc.to_string())
        };
        let Some(address) = address else { continue };
        let looked = tokio::time::timeout(CALL_WAIT, list_items(&address)).await;
        let Ok(Ok(items)) = looked else { continue };
        for (item, shown) in items {
            let name = (address.clone(), item);
            let last = seen.get(&name).copied().unwrap_or_default();
            if shown.revision < last {
                let text = format!("{} went from {last} to {}", name.1, shown.revision);
                lock(&books.reverts).push(format!("{address}: {text}"));
            }
            seen.insert(name, shown.revision.max(last));
        }
    }
}

/// Lists the raced items as a daemon shows them.
///
/// # Errors
///
/// Returns an error when the daemon does not answer.
pub async fn list_items(address: &str) -> Result<IndexMap<String, ShownItem>> {
    let mut client = operations(address).await?;
    let request = operator_call(pb::ListItemsRequest {
        kind: pb::ItemKind::Class.into(),
    });
    let reply = client.list_items(request).await?.into_inner();
    let raced = reply
        .items
        .iter()
        .filter(|item| item.name.contains("/raced-"));
    Ok(raced
        .filter_map(|item| Some((item.name.clone(), shown(item)?)))
        .collect())
}

/// Puts back into use whatever operators left drained.
///
/// # Errors
///
/// Returns an error when the daemon does not answer.
pub async fn restore_all(address: &str) -> Result<usize> {
    let mut client = operations(address).await?;
    let request = operator_call(pb::ListItemsRequest {
        kind: pb::ItemKind::Hold.into(),
    });
    let held = client.list_items(request).await?.into_inner().items;
    for item in &held {
        let restore = operator_call(pb::TargetRequest {
            target: item.name.clone(),
            reason: String::new(),
        });
        client.restore_target(restore).await?;
    }
    Ok(held.len())
}

fn shown(reply: &pb::ItemReply) -> Option<ShownItem> {
    match reply.item.as_ref()?.item.as_ref()? {
        Item::Class(class) => Some(ShownItem {
            revision: reply.revision,
            mark: class.deadline_ms,
        }),
        _ => None,
    }
}

/// Locks a book.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
