//! Reads the invariant violations that daemons in processes of their own have counted.

use std::time::Duration;

use crate::prove_fleet::SharedFleet;

/// Time between two looks.
const LOOK_PAUSE: Duration = Duration::from_secs(1);

/// Longest wait for the page.
const PAGE_WAIT: Duration = Duration::from_secs(1);

/// Name of the counter on the metrics page.
const COUNTER: &str = "pistachiowick_invariant_violations_total";

/// Looks at the daemons of one slot until aborted, and keeps each life's newest count.
pub async fn watch(fleet: SharedFleet, slot: usize) {
    let client = reqwest::Client::new();
    loop {
        tokio::time::sleep(LOOK_PAUSE).await;
        let addresses = {
            let fleet = fleet.lock().await;
            let host = fleet.slots[slot].host.as_ref();
            // Those within this process share one count, which is read apart.
            let host = host.filter(|host| host.context().is_none());
            host.map(|host| host.addresses.clone())
        };
        let Some(addresses) = addresses else { continue };
        let url = format!("http://{}/metrics", addresses.admin);
        let page = async { client.get(url).send().await?.text().await };
        let Ok(Ok(page)) = tokio::time::timeout(PAGE_WAIT, page).await else {
            continue;
        };
        let count = count_violations(&page);
        let rpc = addresses.rpc.to_string();
        fleet
            .lock()
            .await
            .book_life(&rpc, |life| life.violations = count);
    }
}

/// Returns the sum of the violations on a metrics page.
#[must_use]
pub fn count_violations(page: &str) -> u64 {
    let lines = page.lines().filter(|line| line.starts_with(COUNTER));
    let counts = lines.filter_map(|line| line.rsplit(' ').next()?.parse::<u64>().ok());
    counts.sum()
}
