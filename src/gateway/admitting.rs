//! Admission of generation requests: the terms of a request, the decision for it, and the delays
//! that are measured of those that were admitted.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use crate::admission::load_meter::{AdmissionReport, FirstEventTime, RequestLoad};
use crate::admission::window::AdmissionWindow;
use crate::admission::{AdmissionDecision, RefusalReason, RequestTerms, decide};
use crate::clock;
use crate::gateway::call::{RoutedRequest, SendHistory};
use crate::gateway::daemon::Gateway;
use crate::gateway::deciding::engine_choice::EnginePlacement;
use crate::gateway::model::{CallerAccess, EngineStage, RouteRule};
use crate::gateway::reply::Failure;
use crate::names::{DaemonId, ServiceName, UnixTime, millis};

/// Callers abandon a stream without a first event after the longest of this time and the
/// two multiples below. All three values were stated by the users of the service.
const MIN_CALLER_TIMEOUT: Duration = Duration::from_secs(2);
/// The same, as a multiple of the route's latency objective.
const CALLER_TIMEOUT_OBJECTIVES: u32 = 4;
/// The same, as a multiple of the route's gap objective.
const CALLER_TIMEOUT_GAPS: u32 = 8;
/// Work that a target does per second, in milliseconds.
const TARGET_MS_PER_S: f64 = 1_000.0;

/// Terms of a request for an admission decision at this or another daemon.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct AdmissionTerms {
    /// Digest of its workspace, if it has one.
    pub workspace: Option<u64>,
    /// Milliseconds until its caller gives up.
    pub time_left_ms: u32,
    /// Milliseconds for which callers of its route wait when they arrive.
    pub route_time_ms: u32,
    /// Its phase, see [`RequestTerms::phase`].
    pub phase: f64,
}

/// Why and for how long a request is refused.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct AdmissionRefusal {
    /// Why.
    pub reason: RefusalReason,
    /// Milliseconds after which it has a chance to be admitted.
    pub retry_after_ms: u32,
    /// Expected time to its first event, in milliseconds.
    pub expected_ms: f64,
}

/// Result of an admission decision, with what it was based on.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct AdmissionVerdict {
    /// Set if the request is refused.
    pub refusal: Option<AdmissionRefusal>,
    /// Expected wait for other requests, in milliseconds.
    pub wait_ms: f64,
    /// Share of the capacity that more urgent ranks take.
    pub urgent_share: f64,
}

// A number that another daemon sent; one that is not a number would stop this daemon.
fn valid_phase(phase: f64) -> f64 {
    if phase.is_finite() {
        phase.clamp(0.0, 1.0)
    } else {
        0.0
    }
}

/// Returns the time for which the caller of a stream waits for the first event.
#[must_use]
pub fn caller_timeout(route: &RouteRule) -> Duration {
    let gap = route.gap_objective.unwrap_or_default();
    MIN_CALLER_TIMEOUT
        .max(route.objective * CALLER_TIMEOUT_OBJECTIVES)
        .max(gap * CALLER_TIMEOUT_GAPS)
}

impl Gateway {
    /// Returns the terms of a request, or `None` if it is admitted in any case: admission control
    /// is off, or a part of it has run.
    pub(super) fn admission_terms(
        &self,
        call: &RoutedRequest,
        history: &SendHistory,
    ) -> Option<AdmissionTerms> {
        let has_begun =
            call.caller.takes_up_stream() || history.may_have_run || call.prior_sends() > 0;
        if !self.settings().admission.enabled || has_begun {
            return None;
        }
        let timeout = caller_timeout(&call.route);
        let left = timeout.saturating_sub(call.arrived.elapsed());
        Some(AdmissionTerms {
            workspace: workspace_digest(&call.access),
            time_left_ms: millis_u32(left.min(call.time_left())),
            route_time_ms: millis_u32(timeout.min(call.route.time_limit)),
            phase: call.work().phase(),
        })
    }

    /// Decides on a request of this daemon or, as its hub, of another one, for which `placement`
    /// was chosen.
    pub(super) fn admission_verdict(
        &self,
        (service, rank): (&ServiceName, u8),
        terms: &AdmissionTerms,
        (placement, objective_left): (&EnginePlacement, Duration),
    ) -> AdmissionVerdict {
        let now = clock::mono_now();
        let load = RequestLoad {
            service,
            rank,
            workspace: terms.workspace,
            work_ms: placement.own_prefill_ms,
        };
        let wait_ms = placement.expected_ms - placement.own_prefill_ms;
        let capacity_ms = self.prefill_capacity(service);
        let mut meter = self.admission_load.borrow_mut();
        let capacity = meter.capacity_view(&load, (wait_ms, capacity_ms), now);
        let request = RequestTerms {
            rank,
            workspace: terms.workspace,
            objective_left,
            time_left: Duration::from_millis(u64::from(terms.time_left_ms)),
            work_ms: placement.own_prefill_ms,
            phase: valid_phase(terms.phase),
        };
        let route_time = Duration::from_millis(u64::from(terms.route_time_ms));
        let window = AdmissionWindow::new(self.fleet_time(), route_time);
        let refusal = match decide(&request, &capacity, &window) {
            AdmissionDecision::Admit => None,
            AdmissionDecision::Refuse {
                reason,
                retry_after,
                expected_ms,
            } => Some(AdmissionRefusal {
                reason,
                retry_after_ms: millis_u32(retry_after),
                expected_ms,
            }),
        };
        AdmissionVerdict {
            refusal,
            wait_ms,
            urgent_share: capacity.urgent_share,
        }
    }

    /// Records a decision on a request of this daemon.
    ///
    /// # Errors
    ///
    /// Returns the refusal to report to the caller, if it is refused.
    pub(super) fn apply_verdict(
        &self,
        call: &RoutedRequest,
        verdict: &AdmissionVerdict,
        (work_ms, is_first_send): (f64, bool),
    ) -> Result<(), Failure> {
        let now = clock::mono_now();
        let (service, rank) = (&call.service.name, call.route.urgency);
        let load = RequestLoad {
            service,
            rank,
            workspace: workspace_digest(&call.access),
            work_ms,
        };
        let mut meter = self.admission_load.borrow_mut();
        if is_first_send {
            meter.note_requested(&load, now);
        }
        let outcome = verdict.refusal.map_or("admitted", |r| r.reason.as_str());
        metrics::counter!("pistachiowick_admission_total", "service" => service.to_string(), "rank" => rank.to_string(), "outcome" => outcome)
            .increment(1);
        let Some(refusal) = verdict.refusal else {
            meter.note_placed(&load, now);
            return Ok(());
        };
        log::info!(
            request = call.caller.id.as_str(),
            route = call.route.name.as_str(),
            rank = rank,
            reason = refusal.reason.as_str(),
            expected_wait_ms = verdict.wait_ms as u64,
            expected_ms = refusal.expected_ms as u64,
            left_ms = millis(call.time_left()),
            urgent_share = verdict.urgent_share,
            retry_after_ms = refusal.retry_after_ms;
            "admission refused"
        );
        let reason = format!(
            "overloaded ({}): the first event would take {:.0} ms; retry after the stated time",
            refusal.reason.as_str(),
            refusal.expected_ms
        );
        let retry_after = Duration::from_millis(u64::from(refusal.retry_after_ms));
        Err(Failure::refused(reason, retry_after))
    }

    /// Starts to measure the time to the first event of an admitted request.
    pub(super) fn start_delay_probe(
        self: &Rc<Self>,
        call: &RoutedRequest,
        placement: &EnginePlacement,
    ) {
        let mut probe = call.delay.borrow_mut();
        if probe.is_none() && self.settings().admission.enabled {
            *probe = Some(DelayProbe {
                gateway: self.clone(),
                service: call.service.name.clone(),
                rank: call.route.urgency,
                work_ms: placement.own_prefill_ms,
                expected_ms: placement.expected_ms,
                placed: Instant::now(),
                is_done: Cell::new(false),
            });
        }
    }

    /// Returns what this daemon measured, for its hints; nothing while admission control is off.
    pub(super) fn admission_report(&self) -> AdmissionReport {
        if !self.settings().admission.enabled {
            return AdmissionReport::default();
        }
        let mut meter = self.admission_load.borrow_mut();
        meter.local_report(clock::mono_now())
    }

    /// Returns the sum over this daemon and the peers for which `includes` is true.
    pub(super) fn admission_sum(&self, includes: impl Fn(&DaemonId) -> bool) -> AdmissionReport {
        if !self.settings().admission.enabled {
            return AdmissionReport::default();
        }
        let mut meter = self.admission_load.borrow_mut();
        meter.sum_with(includes, clock::mono_now())
    }

    /// Drops old reports of peers, and publishes the delay ratios.
    pub(super) fn sweep_admission(&self) {
        let mut meter = self.admission_load.borrow_mut();
        meter.sweep(clock::mono_now());
        if !self.settings().admission.enabled {
            return;
        }
        let view = self.view();
        let services = view.routes.iter().flat_map(|routes| routes.services());
        for service in services.filter(|service| service.engine.is_some()) {
            let ratio = meter.delay_ratio(&service.name);
            metrics::gauge!("pistachiowick_admission_delay_ratio", "service" => service.name.to_string())
                .set(ratio);
        }
    }

    // Fleet time, or the local wall clock until the daemons have agreed on it.
    fn fleet_time(&self) -> UnixTime {
        let agreed = self.fleet_tasks.borrow().clock.at(clock::mono_now());
        agreed.unwrap_or_else(clock::unix_now)
    }

    // Work that the engines of a service prefill per second, in milliseconds of an engine.
    fn prefill_capacity(&self, service: &ServiceName) -> f64 {
        let view = self.view();
        let engines = view.service_targets(service);
        let is_prefill = |stage: Option<EngineStage>| stage == Some(EngineStage::Prefill);
        let count = match engines.iter().filter(|e| is_prefill(e.stage)).count() {
            0 => engines.len(),
            count => count,
        };
        count as f64 * TARGET_MS_PER_S
    }
}

/// Measures the time to the first event of a request. A request that ends without one, for
/// example because its caller has given up, counts with the time it waited if it waited for
/// longer than expected.
pub struct DelayProbe {
    gateway: Rc<Gateway>,
    service: ServiceName,
    rank: u8,
    work_ms: f64,
    expected_ms: f64,
    placed: Instant,
    is_done: Cell<bool>,
}

/// Probe of a request, once it is placed.
pub type DelayCell = RefCell<Option<DelayProbe>>;

impl DelayProbe {
    /// Records the first event.
    pub fn note_first_event(&self) {
        if !self.is_done.replace(true) {
            self.record(true);
        }
    }

    fn record(&self, is_served: bool) {
        let time = FirstEventTime {
            actual_ms: self.placed.elapsed().as_secs_f64() * 1_000.0,
            expected_ms: self.expected_ms,
            is_served,
        };
        if !is_served && time.actual_ms <= time.expected_ms {
            return;
        }
        let load = RequestLoad {
            service: &self.service,
            rank: self.rank,
            workspace: None,
            work_ms: self.work_ms,
        };
        let mut meter = self.gateway.admission_load.borrow_mut();
        meter.note_delay(&load, &time, clock::mono_now());
    }
}

impl Drop for DelayProbe {
    fn drop(&mut self) {
        if !self.is_done.get() {
            self.record(false);
        }
    }
}

fn workspace_digest(access: &CallerAccess) -> Option<u64> {
    match access {
        CallerAccess::Workspace { name, .. } => Some(xxh3_64(name.as_str().as_bytes())),
        CallerAccess::Open | CallerAccess::Public => None,
    }
}

fn millis_u32(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
