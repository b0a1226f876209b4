//! Stand-in for the rate-limited weight store.
//!
//! It sends no weights: it answers when a transfer of that many bytes, queued
//! behind the others, would have ended.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use eyre::Result;
use pistachiowick::ports::PortFuture;
use serde::{Deserialize, Serialize};

use crate::http::{HttpAnswer, HttpCall, HttpServer};

/// How the stand-in is set up.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct WeightOptions {
    /// IP number and port to listen at; port 0 for any.
    pub address: String,
    /// Bytes a second for all readers together.
    pub bytes_per_second: f64,
    /// Transfers that may wait; more are refused.
    pub queue_limit: usize,
    /// How many times faster than real time transfers run.
    pub time_scale: f64,
}

impl Default for WeightOptions {
    fn default() -> Self {
        Self {
            address: "127.0.0.1:0".to_owned(),
            bytes_per_second: 4e9,
            queue_limit: 16,
            time_scale: 1.0,
        }
    }
}

/// What the store has done.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct WeightBooks {
    /// Transfers finished.
    pub transfers: u64,
    /// Bytes of these.
    pub bytes: u64,
    /// Calls refused.
    pub refused: u64,
}

/// Answer of the store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WeightReply {
    /// Model asked for.
    pub name: String,
    /// Bytes transferred.
    pub bytes: u64,
}

struct WeightState {
    free_at: Instant,
    waiting: usize,
    books: WeightBooks,
}

struct WeightCore {
    options: WeightOptions,
    state: Mutex<WeightState>,
}

/// A running stand-in.
pub struct RunningWeights {
    core: Arc<WeightCore>,
    server: HttpServer,
}

/// Stand-in for the weight store.
pub struct WeightStandIn;

impl WeightStandIn {
    /// Starts the stand-in.
    ///
    /// # Errors
    ///
    /// Returns an error when the address cannot be bound.
    pub async fn start(options: WeightOptions) -> Result<RunningWeights> {
        let address = options.address.clone();
        let core = Arc::new(WeightCore {
            options,
            state: Mutex::new(WeightState {
                free_at: Instant::now(),
                waiting: 0,
                books: WeightBooks::default(),
            }),
        });
        let handled = core.clone();
        let handler = Arc::new(move |call| -> PortFuture<HttpAnswer> {
            let core = handled.clone();
            Box::pin(async move { core.handle(&call).await })
        });
        let server = HttpServer::start(&address, handler).await?;
        Ok(RunningWeights { core, server })
    }
}

impl RunningWeights {
    /// Returns the IP number and port.
    #[must_use]
    pub fn address(&self) -> String {
        self.server.address()
    }

    /// Stops the stand-in at once.
    pub fn stop(&self) {
        self.server.close();
    }

    /// Returns what the store has done.
    #[must_use]
    pub fn books(&self) -> WeightBooks {
        self.core.locked().books
    }
}

impl WeightCore {
    fn locked(&self) -> std::sync::MutexGuard<'_, WeightState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn handle(&self, call: &HttpCall) -> HttpAnswer {
        match (call.method.as_str(), call.path().as_slice()) {
            ("GET", ["v1", "weights", name]) => self.transfer(name, call.number("bytes")).await,
            ("GET", ["lab", "books"]) => HttpAnswer::json(200, &self.locked().books),
            _ => HttpAnswer::text(404, "no such call"),
        }
    }

    async fn transfer(&self, name: &str, bytes: u64) -> HttpAnswer {
        let end = match self.reserve(bytes) {
            Ok(end) => end,
            Err(wait) => return HttpAnswer::refusal(429, "too many transfers", wait),
        };
        tokio::time::sleep_until(end.into()).await;
        let mut state = self.locked();
        state.waiting -= 1;
        state.books.transfers += 1;
        state.books.bytes += bytes;
        drop(state);
        let name = name.to_owned();
        HttpAnswer::json(200, &WeightReply { name, bytes })
    }

    fn reserve(&self, bytes: u64) -> Result<Instant, Duration> {
        let now = Instant::now();
        let mut state = self.locked();
        if state.waiting >= self.options.queue_limit {
            state.books.refused += 1;
            return Err(state.free_at.saturating_duration_since(now));
        }
        let rate = self.options.bytes_per_second * self.options.time_scale;
        let span = Duration::from_secs_f64(bytes as f64 / rate);
        state.free_at = state.free_at.max(now) + span;
        state.waiting += 1;
        Ok(state.free_at)
    }
}
