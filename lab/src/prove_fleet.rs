//! The deployment under test: stand-ins, daemons in several lives, and their faults.

use std::sync::Arc;
use std::time::Duration;

use eyre::{Context, Result, bail};
use indexmap::IndexMap;
use pistachiowick::clock::unix_now;
use pistachiowick::names::ServiceName;
use pistachiowick::pb;
use pistachiowick::pb::operations_client::OperationsClient;
use pistachiowick::store::wire::{InstanceKind, InstanceRow, InstanceState};
use tokio::sync::Mutex;
use tonic::transport::{Channel, Endpoint};

use crate::engine::RunningEngine;
use crate::engine_options::EngineFaults;
use crate::fleet::{LabFleet, daemon_settings, operator_call};
use crate::platform::PlatformFaults;
use crate::prove_addresses::AddressBook;
use crate::prove_books::{HoldBook, LifeBook, TargetBook};
use crate::prove_daemon::DaemonHost;
use crate::prove_setup::{ProveOptions, lab_plan, prove_items};
use crate::relay::{RelayFault, RunningRelay};
use crate::service::{RunningService, ServiceFaults};

/// Wait for a connection to a daemon.
const CONNECT_WAIT: Duration = Duration::from_secs(1);

/// Longest wait for the first daemons to be ready.
const READY_WAIT: Duration = Duration::from_secs(20);

/// Pause between two looks.
const READY_CHECK: Duration = Duration::from_millis(50);

/// A place for a daemon, which one life after the other takes.
pub struct DaemonSlot {
    /// Name of the daemon.
    pub name: String,
    /// The present life.
    pub host: Option<DaemonHost>,
    /// Whether it is frozen.
    pub frozen: bool,
    /// Its way to the platform.
    pub platform_relay: RunningRelay,
}

/// Faults in force on one subject; several may overlap.
#[derive(Debug)]
pub struct FaultStack<F> {
    next: u64,
    active: IndexMap<u64, F>,
}

impl<F> Default for FaultStack<F> {
    fn default() -> Self {
        Self {
            next: 0,
            active: IndexMap::new(),
        }
    }
}

impl<F> FaultStack<F> {
    /// Adds a fault; returns the number to remove it by.
    pub fn add(&mut self, fault: F) -> u64 {
        self.next += 1;
        self.active.insert(self.next, fault);
        self.next
    }

    /// Removes a fault.
    pub fn remove(&mut self, number: u64) {
        self.active.shift_remove(&number);
    }

    /// Merges what is in force.
    pub fn merged<T: Default>(&self, merge: impl Fn(&mut T, &F)) -> T {
        let mut all = T::default();
        for fault in self.active.values() {
            merge(&mut all, fault);
        }
        all
    }
}

/// The deployment under test.
pub struct ProveFleet {
    /// Platform, engines and services.
    pub lab: LabFleet,
    /// Daemons.
    pub slots: Vec<DaemonSlot>,
    /// Lives of daemons so far.
    pub lives: Vec<LifeBook>,
    /// Engines that were replaced.
    pub retired_engines: Vec<(String, RunningEngine)>,
    /// Services that were replaced.
    pub retired_services: Vec<(String, RunningService)>,
    /// Drains by operators.
    pub holds: Vec<HoldBook>,
    /// Faults of the platform in force.
    pub platform_faults: FaultStack<PlatformFaults>,
    /// Faults of engines in force, by name.
    pub engine_faults: IndexMap<String, FaultStack<EngineFaults>>,
    /// Faults of services in force, by name.
    pub service_faults: IndexMap<String, FaultStack<ServiceFaults>>,
    /// Ways to targets, by name. Every second target has one; the others are called
    /// directly, so that their crashes show as refused connections.
    pub target_relays: IndexMap<String, RunningRelay>,
    /// Faults of relays in force, by name of the target or daemon.
    pub relay_faults: IndexMap<String, FaultStack<RelayFault>>,
    /// Targets with a planned change under way.
    pub busy_targets: Vec<String>,
    /// Addresses that callers start from.
    pub addresses: Arc<AddressBook>,
    options: ProveOptions,
}

/// The deployment as parts of the run share it.
pub type SharedFleet = Arc<Mutex<ProveFleet>>;

impl ProveFleet {
    /// Starts everything, configures it and waits until every daemon is ready.
    ///
    /// # Errors
    ///
    /// Returns what did not start or did not become ready.
    pub async fn start(options: &ProveOptions) -> Result<Self> {
        let lab = LabFleet::start(lab_plan(options)).await?;
        let mut slots = Vec::new();
        for number in 0..options.daemons {
            slots.push(DaemonSlot {
                name: format!("entry-{number}"),
                host: None,
                frozen: false,
                platform_relay: RunningRelay::start(&lab.platform.address()).await?,
            });
        }
        let mut fleet = Self {
            lab,
            slots,
            lives: Vec::new(),
            retired_engines: Vec::new(),
            retired_services: Vec::new(),
            holds: Vec::new(),
            platform_faults: FaultStack::default(),
            engine_faults: IndexMap::new(),
            service_faults: IndexMap::new(),
            target_relays: IndexMap::new(),
            relay_faults: IndexMap::new(),
            busy_targets: Vec::new(),
            addresses: AddressBook::new(),
            options: options.clone(),
        };
        fleet.relay_targets().await?;
        for slot in 0..fleet.slots.len() {
            fleet.start_daemon(slot).await?;
        }
        fleet.wait_until_ready().await?;
        fleet.configure().await?;
        Ok(fleet)
    }

    /// Starts a new life in an empty slot and lists it.
    ///
    /// # Errors
    ///
    /// Returns what kept the daemon from starting.
    pub async fn start_daemon(&mut self, slot: usize) -> Result<()> {
        let name = self.slots[slot].name.clone();
        let centres = &self.lab.plan.centres;
        let centre = centres[slot % centres.len()].clone();
        let platform = self.slots[slot].platform_relay.address();
        let mut settings = daemon_settings(&name, &centre, &platform);
        (self.lab.plan.tweak)(&mut settings);
        let host = match &self.options.daemon_program {
            Some(program) => DaemonHost::start_process(program, &settings).await?,
            None => DaemonHost::start_inside(settings).await?,
        };
        let address = host.addresses.rpc.to_string();
        let row = self.lab.row(&name, InstanceKind::Entry, &address, slot);
        self.lab.platform.set_instance(InstanceRow {
            peer_address: host.addresses.peer.to_string(),
            ..row
        });
        self.lives.push(LifeBook {
            daemon: name,
            address,
            ..LifeBook::default()
        });
        self.slots[slot].host = Some(host);
        self.slots[slot].frozen = false;
        self.publish_seeds();
        Ok(())
    }

    /// Takes the present life out of a slot; callers no longer start from it.
    pub fn take_daemon(&mut self, slot: usize) -> Option<DaemonHost> {
        let host = self.slots[slot].host.take();
        self.publish_seeds();
        host
    }

    /// Returns a slot in use, the drawn one or the next after it; none when only one
    /// daemon is left, since callers could get no answer then.
    #[must_use]
    pub fn spare_slot(&self, drawn: usize) -> Option<usize> {
        let usable = |slot: &DaemonSlot| slot.host.is_some() && !slot.frozen;
        let left = self.slots.iter().filter(|slot| usable(slot)).count();
        if left < 2 {
            return None;
        }
        let count = self.slots.len();
        (0..count)
            .map(|step| (drawn + step) % count)
            .find(|slot| usable(&self.slots[*slot]))
    }

    /// Notes in the books of a life.
    pub fn book_life(&mut self, address: &str, write: impl FnOnce(&mut LifeBook)) {
        let found = self.lives.iter_mut().rev().find(|l| l.address == address);
        if let Some(life) = found {
            write(life);
        }
    }

    /// Removes a dead daemon from the instance list, unless a new life is listed.
    pub fn unlist(&self, slot: usize) {
        if self.slots[slot].host.is_none() {
            self.lab.platform.remove_instance(&self.slots[slot].name);
        }
    }

    /// Marks a target as leaving in the instance list.
    pub fn announce_leaving(&self, name: &str) {
        if let Some(row) = self.target_row(name) {
            self.lab.announce_leaving(row);
        }
    }

    /// Starts a new target in place of one that left, under its name.
    ///
    /// # Errors
    ///
    /// Returns what kept it from starting.
    pub async fn replace_target(&mut self, name: &str) -> Result<()> {
        let number = number_of(name);
        if let Some(old) = self.lab.engines.shift_remove(name) {
            old.stop();
            self.retired_engines.push((name.to_owned(), old));
            self.lab.add_engine(number).await?;
        }
        if let Some(old) = self.lab.services.shift_remove(name) {
            old.stop();
            self.retired_services.push((name.to_owned(), old));
            self.lab.add_service(number).await?;
        }
        self.relay_target(name).await
    }

    async fn relay_targets(&mut self) -> Result<()> {
        let engines = self.lab.engines.keys();
        let names: Vec<String> = engines.chain(self.lab.services.keys()).cloned().collect();
        for name in names {
            self.relay_target(&name).await?;
        }
        Ok(())
    }

    /// Lists every second target at a relay before it.
    async fn relay_target(&mut self, name: &str) -> Result<()> {
        let direct = self.direct_address(name);
        let Some(direct) = direct.filter(|_| number_of(name) % 2 == 1) else {
            return Ok(());
        };
        let relay = RunningRelay::start(&direct).await?;
        self.target_relays.insert(name.to_owned(), relay);
        self.set_relay(name);
        if let Some(row) = self.target_row(name) {
            self.lab.platform.set_instance(row);
        }
        Ok(())
    }

    fn direct_address(&self, name: &str) -> Option<String> {
        let engine = self.lab.engines.get(name).map(RunningEngine::address);
        engine.or_else(|| self.lab.services.get(name).map(RunningService::address))
    }

    fn target_row(&self, name: &str) -> Option<InstanceRow> {
        let direct = self.direct_address(name)?;
        let relayed = self.target_relays.get(name).map(RunningRelay::address);
        let address = relayed.unwrap_or(direct);
        let is_engine = self.lab.engines.contains_key(name);
        let kind = if is_engine {
            InstanceKind::Engine
        } else {
            InstanceKind::Service
        };
        let offered = ServiceName::from(self.lab.plan.service_name.as_str());
        Some(InstanceRow {
            checks_fence: is_engine && self.lab.plan.engine.checks_fence,
            service: (!is_engine).then_some(offered),
            ..self.lab.row(name, kind, &address, number_of(name))
        })
    }

    /// Puts the faults in force on a daemon's or target's relay into it.
    pub fn set_relay(&self, name: &str) {
        let merge = |all: &mut RelayFault, fault: &RelayFault| {
            all.mutes_calls |= fault.mutes_calls;
            all.mutes_answers |= fault.mutes_answers;
        };
        let stack = self.relay_faults.get(name);
        let fault = stack.map_or_else(RelayFault::default, |stack| stack.merged(merge));
        let slot = self.slots.iter().find(|slot| slot.name == name);
        let relay = slot.map(|slot| &slot.platform_relay);
        if let Some(relay) = relay.or_else(|| self.target_relays.get(name)) {
            relay.set_fault(fault);
        }
    }

    /// Marks a daemon as leaving in the instance list.
    pub fn announce_daemon_leaving(&self, slot: usize) {
        let Some(host) = &self.slots[slot].host else {
            return;
        };
        let address = host.addresses.rpc.to_string();
        let name = &self.slots[slot].name;
        let row = self.lab.row(name, InstanceKind::Entry, &address, slot);
        self.lab.platform.set_instance(InstanceRow {
            peer_address: host.addresses.peer.to_string(),
            state: InstanceState::Leaving,
            ..row
        });
    }

    /// Returns the addresses of daemons that run and are not frozen.
    #[must_use]
    pub fn live_addresses(&self) -> Vec<(String, String)> {
        let live = self.slots.iter().filter(|slot| !slot.frozen);
        live.filter_map(|slot| {
            let host = slot.host.as_ref()?;
            Some((slot.name.clone(), host.addresses.rpc.to_string()))
        })
        .collect()
    }

    /// Returns the books of all engines, replaced ones included.
    #[must_use]
    pub fn engine_books(&self) -> Vec<TargetBook<crate::engine_books::EngineBooks>> {
        let retired = self.retired_engines.iter().map(|(name, e)| (name, e));
        let all = self.lab.engines.iter().chain(retired);
        all.map(|(name, engine)| TargetBook {
            target: name.clone(),
            checks_fence: self.lab.plan.engine.checks_fence,
            books: engine.books(),
        })
        .collect()
    }

    /// Returns the books of all services, replaced ones included.
    #[must_use]
    pub fn service_books(&self) -> Vec<TargetBook<crate::service::ServiceBooks>> {
        let retired = self.retired_services.iter().map(|(name, s)| (name, s));
        let all = self.lab.services.iter().chain(retired);
        all.map(|(name, service)| TargetBook {
            target: name.clone(),
            checks_fence: false,
            books: service.books(),
        })
        .collect()
    }

    /// Ends everything.
    pub async fn end(mut self) {
        for slot in &mut self.slots {
            if let Some(host) = slot.host.take() {
                host.kill().await;
            }
        }
        self.lab.stop().await;
    }

    fn publish_seeds(&self) {
        let seeds = self.slots.iter().filter_map(|slot| {
            let host = slot.host.as_ref()?;
            Some(host.addresses.rpc.to_string())
        });
        self.addresses.set_seeds(seeds.collect());
    }

    async fn wait_until_ready(&self) -> Result<()> {
        let begun = std::time::Instant::now();
        while begun.elapsed() < READY_WAIT {
            let mut ready = 0;
            for (_, address) in self.live_addresses() {
                ready += usize::from(is_ready(&address).await);
            }
            if ready == self.slots.len() {
                return Ok(());
            }
            tokio::time::sleep(READY_CHECK).await;
        }
        bail!("the daemons were not ready after {READY_WAIT:?}")
    }

    async fn configure(&self) -> Result<()> {
        let Some((_, address)) = self.live_addresses().into_iter().next() else {
            return Ok(());
        };
        let mut client = operations(&address).await?;
        for item in prove_items() {
            let create = pb::CreateItemRequest {
                item: Some((&item).into()),
            };
            let created = client.create_item(operator_call(create)).await;
            created.wrap_err_with(|| format!("cannot create {:?}", item.item_name()))?;
        }
        Ok(())
    }
}

/// Returns the number at the end of a target's name.
#[must_use]
pub fn number_of(name: &str) -> usize {
    let number = name.rsplit('-').next();
    number
        .and_then(|number| number.parse().ok())
        .unwrap_or_default()
}

async fn is_ready(address: &str) -> bool {
    let Ok(mut client) = operations(address).await else {
        return false;
    };
    let status = client.status(operator_call(pb::StatusRequest {})).await;
    status.is_ok_and(|status| status.get_ref().ready)
}

/// Connects to a daemon's service for operators.
///
/// # Errors
///
/// Returns an error when no daemon listens there.
pub async fn operations(address: &str) -> Result<OperationsClient<Channel>> {
    let endpoint = Endpoint::from_shared(format!("http://{address}"))?;
    let channel = endpoint.connect_timeout(CONNECT_WAIT).connect().await?;
    Ok(OperationsClient::new(channel))
}

/// Returns the present Unix time in milliseconds.
#[must_use]
pub fn unix_ms() -> u64 {
    unix_now().0
}
