//! Addresses of daemons as callers learn them: by asking a daemon, and keeping the answer.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use eyre::Result;
use indexmap::IndexMap;
use pistachiowick::pb::LocateRequest;
use pistachiowick::pb::requests_client::RequestsClient;
use rand::Rng;
use rand::rngs::SmallRng;
use tonic::transport::{Channel, Endpoint};

use crate::fleet::with_key;

/// Wait for a connection.
const CONNECT_WAIT: Duration = Duration::from_secs(1);

/// Wait for an answer to the question for addresses.
const LOCATE_WAIT: Duration = Duration::from_millis(800);

/// Pause before asking again when no daemon answered.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Addresses that callers share, with their connections.
pub struct AddressBook {
    /// Addresses a caller starts from; kept by the run.
    seeds: Mutex<Vec<String>>,
    located: Mutex<Vec<String>>,
    channels: Mutex<IndexMap<String, Channel>>,
}

impl AddressBook {
    /// Creates an empty book.
    #[must_use]
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            seeds: Mutex::default(),
            located: Mutex::default(),
            channels: Mutex::default(),
        })
    }

    /// Replaces the addresses that callers start from.
    pub fn set_seeds(&self, seeds: Vec<String>) {
        *lock(&self.seeds) = seeds;
    }

    /// Returns the present addresses; those started from when none was told.
    #[must_use]
    pub fn addresses(&self) -> Vec<String> {
        let located = lock(&self.located).clone();
        if located.is_empty() {
            return lock(&self.seeds).clone();
        }
        located
    }

    /// Picks an address, another than `avoided` where there is one.
    #[must_use]
    pub fn pick(&self, random: &mut SmallRng, avoided: &str) -> Option<String> {
        let all = self.addresses();
        let others: Vec<&String> = all.iter().filter(|a| *a != avoided).collect();
        if others.is_empty() {
            return all.first().cloned();
        }
        Some(others[random.random_range(0..others.len())].clone())
    }

    /// Returns a connection to an address, made on first use.
    ///
    /// # Errors
    ///
    /// Returns an error for text that is no address.
    pub fn channel(&self, address: &str) -> Result<Channel> {
        if let Some(channel) = lock(&self.channels).get(address) {
            return Ok(channel.clone());
        }
        let endpoint = Endpoint::from_shared(format!("http://{address}"))?;
        let channel = endpoint.connect_timeout(CONNECT_WAIT).connect_lazy();
        lock(&self.channels).insert(address.to_owned(), channel.clone());
        Ok(channel)
    }

    /// Asks daemons for addresses and keeps each answer for as long as it says.
    pub async fn refresh(self: Arc<Self>, key: String, mut random: SmallRng) {
        loop {
            let pause = self.ask(&key, &mut random).await.unwrap_or(RETRY_PAUSE);
            tokio::time::sleep(pause).await;
        }
    }

    async fn ask(&self, key: &str, random: &mut SmallRng) -> Option<Duration> {
        let address = self.pick(random, "")?;
        let channel = self.channel(&address).ok()?;
        let mut client = RequestsClient::new(channel);
        let asked = client.locate(with_key(LocateRequest {}, key));
        let answer = tokio::time::timeout(LOCATE_WAIT, asked).await;
        let Ok(Ok(answer)) = answer else {
            // What a silent daemon told before is kept no longer.
            lock(&self.located).retain(|known| *known != address);
            return None;
        };
        let answer = answer.into_inner();
        let addresses = answer.addresses.into_iter().map(|entry| entry.address);
        *lock(&self.located) = addresses.collect();
        Some(Duration::from_millis(u64::from(answer.keep_ms.max(1))))
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
