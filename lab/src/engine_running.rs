//! A running engine stand-in: its server, its life, faults on demand.

use std::sync::Arc;
use std::time::Duration;

use eyre::Result;
use pistachiowick::ports::PortFuture;
use pistachiowick::targets::wire::EngineState;

use crate::engine::EngineCore;
use crate::engine_books::EngineBooks;
use crate::engine_http;
use crate::engine_options::{EngineFaults, EngineOptions};
use crate::engine_steps::{run_loop, run_samples};
use crate::http::{HttpAnswer, HttpServer};

/// Stand-in for a model engine.
pub struct EngineStandIn;

/// A running stand-in.
pub struct RunningEngine {
    core: Arc<EngineCore>,
    server: Arc<HttpServer>,
    sampler: tokio::task::JoinHandle<()>,
}

impl EngineStandIn {
    /// Starts the stand-in.
    ///
    /// # Errors
    ///
    /// Returns an error when the address cannot be bound.
    pub async fn start(options: EngineOptions) -> Result<RunningEngine> {
        let address = options.address.clone();
        let core = Arc::new(EngineCore::new(options));
        let handled = core.clone();
        let (crash, mut crashes) = tokio::sync::mpsc::unbounded_channel();
        let handler = Arc::new(move |call| -> PortFuture<HttpAnswer> {
            Box::pin(engine_http::handle(handled.clone(), call, crash.clone()))
        });
        let server = Arc::new(HttpServer::start(&address, handler).await?);
        tokio::spawn(run_loop(core.clone(), 0));
        let sampler = tokio::spawn(run_samples(core.clone()));
        let engine = RunningEngine {
            core,
            server,
            sampler,
        };
        let crashed = (engine.core.clone(), engine.server.clone());
        tokio::spawn(async move {
            while let Some(down) = crashes.recv().await {
                crash_for(&crashed.0, &crashed.1, down).await;
            }
        });
        Ok(engine)
    }
}

async fn crash_for(core: &Arc<EngineCore>, server: &HttpServer, down: Duration) {
    server.close();
    let (life, dropped) = core.drop_all();
    core.book(|books| {
        books.crashes += 1;
        books.dropped_by_crash += dropped;
    });
    tokio::time::sleep(down).await;
    if core.inner().life != life {
        // It crashed again meanwhile, or was stopped.
        return;
    }
    core.revive();
    tokio::spawn(run_loop(core.clone(), life));
    if let Err(error) = server.open().await {
        log::error!("an engine stand-in did not come back: {error}");
    }
}

impl RunningEngine {
    /// Returns the IP number and port.
    #[must_use]
    pub fn address(&self) -> String {
        self.server.address()
    }

    /// Stops the stand-in at once.
    pub fn stop(&self) {
        self.server.close();
        self.sampler.abort();
        self.core.drop_all();
    }

    /// Returns the books.
    #[must_use]
    pub fn books(&self) -> EngineBooks {
        self.core.books()
    }

    /// Returns the state as it is now, whatever the report lag.
    #[must_use]
    pub fn state(&self) -> EngineState {
        self.core.inner().state(&self.core.options)
    }

    /// Puts faults in force; one-time faults start at once.
    pub fn set_faults(&self, faults: EngineFaults) {
        if let Some(ms) = faults.freeze_ms {
            self.freeze(ms);
        }
        if let Some(ms) = faults.crash_ms {
            self.crash(ms);
        }
        self.core.set_faults(faults);
    }

    /// Drops everything, refuses connections, and comes back empty.
    pub fn crash(&self, down_ms: u64) {
        let core = self.core.clone();
        let server = self.server.clone();
        server.close();
        tokio::spawn(async move {
            crash_for(&core, &server, Duration::from_millis(down_ms)).await;
        });
    }

    /// Does and answers nothing for a time.
    pub fn freeze(&self, ms: u64) {
        self.core.freeze(Duration::from_millis(ms));
    }

    /// Marks the moment from which on no new work may come.
    pub fn leave(&self) {
        self.core.leave();
    }

    /// Sets whether work is refused while leaving; it is, unless said otherwise.
    pub fn set_refusing(&self, refuses: bool) {
        self.core.set_refusing(refuses);
    }

    /// Takes up work again after [`Self::leave`].
    pub fn stay(&self) {
        self.core.stay();
    }
}
