//! Asks engines what they cache after a restart of this daemon.
//!
//! What engines cache is known only from requests that daemons have placed. When many daemons
//! restart at once, that knowledge is lost while the caches are still full, and shared parts
//! are recomputed that engines hold. A daemon that places requests therefore asks, once after
//! its start, each engine that was running before it.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexSet;
use tokio::sync::mpsc;
use tokio::task::spawn_local;

use crate::clock;
use crate::gateway::daemon::Gateway;
use crate::gateway::deciding::affinity;
use crate::gateway::members::DaemonRecord;
use crate::gateway::model::{PromptPart, TargetRecord};
use crate::gateway::peers::hub::PeerRole;
use crate::names::{CentreName, DaemonId, MonoTime};
use crate::target_incarnation::TargetIncarnation;
use crate::timer::TimerService;

/// Interval at which engines are asked that were not asked yet.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Time after the start in which engines are asked. Engines that appear later are new, and
/// their caches fill by requests that daemons know of.
const INVENTORY_PERIOD: Duration = Duration::from_secs(5);
/// Engines asked at once: an answer of some hundred parts delays the engine's other work.
const MAX_CONCURRENT: usize = 4;
/// Attempts for each engine.
const MAX_ATTEMPTS: u32 = 2;

/// What decides which engines a daemon asks.
#[derive(Clone, Copy, Debug)]
pub struct InventoryScope<'a> {
    /// This daemon.
    pub daemon: &'a DaemonId,
    /// Its data centre.
    pub centre: &'a CentreName,
    /// Its role in the fleet; `None` until it is known.
    pub role: Option<&'a PeerRole>,
    /// Daemons of the fleet.
    pub daemons: &'a [DaemonRecord],
}

impl InventoryScope<'_> {
    /// Returns whether this daemon asks an engine: a hub asks those of its data centre, as it
    /// places requests there; daemons without hubs share the engines among them.
    #[must_use]
    pub fn covers(&self, engine: &TargetRecord) -> bool {
        match self.role {
            None | Some(PeerRole::Member(_)) => false,
            Some(PeerRole::Hub) => engine.centre == *self.centre,
            Some(PeerRole::Mesh) => {
                let key = affinity::part_key(engine.id.as_str());
                let staying = self.daemons.iter().filter(|daemon| !daemon.leaving);
                let first = staying.max_by_key(|daemon| affinity::weight(key, daemon.id.as_str()));
                first.is_some_and(|daemon| daemon.id == *self.daemon)
            }
        }
    }
}

/// Engines that were asked, or are being asked.
#[derive(Clone, Debug, Default)]
pub struct InventoryProgress {
    asked: IndexSet<TargetIncarnation>,
    failed: Vec<TargetIncarnation>,
    in_flight: usize,
}

impl InventoryProgress {
    /// Returns the engines to ask next, and counts them as asked.
    pub fn take_due(
        &mut self,
        engines: &[Arc<TargetRecord>],
        scope: &InventoryScope<'_>,
    ) -> Vec<Arc<TargetRecord>> {
        let room = MAX_CONCURRENT.saturating_sub(self.in_flight);
        let due = engines.iter().filter(|engine| {
            engine.stage.is_some() && scope.covers(engine) && !self.asked.contains(&engine.id)
        });
        let due: Vec<Arc<TargetRecord>> = due.take(room).cloned().collect();
        self.asked
            .extend(due.iter().map(|engine| engine.id.clone()));
        self.in_flight += due.len();
        due
    }

    /// Records the end of a call; a failed one is tried again.
    pub fn note_end(&mut self, engine: &TargetIncarnation, has_failed: bool) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if !has_failed {
            return;
        }
        self.failed.push(engine.clone());
        let attempts = self
            .failed
            .iter()
            .filter(|failed| *failed == engine)
            .count();
        if attempts < MAX_ATTEMPTS as usize {
            self.asked.shift_remove(engine);
        }
    }
}

/// Asks the engines that this daemon is responsible for, and ends after
/// [`INVENTORY_PERIOD`].
pub async fn run(gateway: Rc<Gateway>) {
    let (ends_tx, mut ends) = mpsc::unbounded_channel();
    let timer = TimerService::start();
    let mut ticks = timer.every(CHECK_INTERVAL);
    let mut progress = InventoryProgress::default();
    let end: MonoTime = gateway.started.plus(INVENTORY_PERIOD);
    while clock::mono_now() < end && !gateway.stopping.get() {
        tokio::select! {
            _ = ticks.next() => {}
            Some((engine, has_failed)) = ends.recv() => progress.note_end(&engine, has_failed),
        }
        for engine in gateway.due_inventories(&mut progress) {
            let (gateway, ends_tx) = (gateway.clone(), ends_tx.clone());
            spawn_local(async move {
                let has_failed = !gateway.list_cache(&engine).await;
                // The receiver ends after the inventory.
                let _ = ends_tx.send((engine.id.clone(), has_failed));
            });
        }
    }
    // The task is supervised as one that never ends.
    std::future::pending::<()>().await;
}

impl Gateway {
    fn due_inventories(&self, progress: &mut InventoryProgress) -> Vec<Arc<TargetRecord>> {
        let view = self.view();
        let settings = self.settings();
        let hubs = self.hubs.borrow();
        let scope = InventoryScope {
            daemon: &self.daemon,
            centre: &settings.centre,
            role: hubs.current_role(),
            daemons: &view.daemons,
        };
        let mut due = Vec::new();
        if !matches!(scope.role, Some(PeerRole::Hub | PeerRole::Mesh)) {
            return due;
        }
        for engines in view.targets.values() {
            due.extend(progress.take_due(engines, &scope));
        }
        due
    }

    // Returns whether the engine answered.
    async fn list_cache(&self, engine: &TargetRecord) -> bool {
        let query = (self.ports.wire.cache_list_query)();
        let answer = match self.call_target(engine, query, None).await {
            Ok((head, body)) if head.status.is_success() => {
                (self.ports.wire.decode_cache_list)(&body).map_err(|error| error.to_string())
            }
            Ok((head, _)) => Err(format!("status {}", head.status)),
            Err(error) => Err(error.to_string()),
        };
        let outcome = if answer.is_ok() { "answered" } else { "failed" };
        metrics::counter!("pistachiowick_cache_inventories_total", "outcome" => outcome)
            .increment(1);
        match answer {
            Ok(parts) => {
                self.note_listed_parts(engine, &parts);
                true
            }
            Err(error) => {
                log::debug!(target_id = engine.id.as_str(); "cannot list the cache of an engine, which fills by requests: {error}");
                false
            }
        }
    }

    fn note_listed_parts(&self, engine: &TargetRecord, parts: &[PromptPart]) {
        log::info!(target_id = engine.id.as_str(), parts = parts.len(); "cache of an engine listed after the start");
        let now = clock::mono_now();
        self.core
            .borrow_mut()
            .note_parts(&engine.id, parts, true, now);
        self.peers.borrow_mut().note_cached(&engine.id, parts, true);
    }
}
