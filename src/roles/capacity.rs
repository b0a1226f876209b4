//! Capacity of a set of engine roles for a mix of prefill and decode work.

use crate::decide::cost::SpeedSettings;
use crate::roles::mix::{MIX_BINS, WorkAmount, WorkBins};
use crate::targets::wire::EngineRole;

/// Bisection steps when searching the capacity.
const SEARCH_STEPS: u32 = 24;
/// Largest capacity returned, as a multiple of the mix.
const MAX_SCALE: f64 = 64.0;
/// Capacity, as a multiple of the mix, at which all work is expected to be served in time.
const HEADROOM: f64 = 1.25;

/// Number of engines by role.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RoleCounts {
    /// Prefill engines.
    pub prefill: usize,
    /// Mixed engines.
    pub mixed: usize,
    /// Decode engines.
    pub decode: usize,
}

impl RoleCounts {
    /// Returns the number of engines in a role.
    #[must_use]
    pub fn of(&self, role: EngineRole) -> usize {
        match role {
            EngineRole::Prefill => self.prefill,
            EngineRole::Mixed => self.mixed,
            EngineRole::Decode => self.decode,
        }
    }

    /// Adds an engine.
    pub fn add(&mut self, role: EngineRole) {
        *self.count_mut(role) += 1;
    }

    /// Returns the counts with one engine moved to another role, or removed if `to` is
    /// `None`.
    #[must_use]
    pub fn moved(mut self, from: EngineRole, to: Option<EngineRole>) -> Self {
        let count = self.count_mut(from);
        *count = count.saturating_sub(1);
        if let Some(role) = to {
            self.add(role);
        }
        self
    }

    /// Returns whether the engines can serve both prefill and decode.
    #[must_use]
    pub fn can_serve_both(&self) -> bool {
        self.mixed > 0 || (self.prefill > 0 && self.decode > 0)
    }

    fn count_mut(&mut self, role: EngineRole) -> &mut usize {
        match role {
            EngineRole::Prefill => &mut self.prefill,
            EngineRole::Mixed => &mut self.mixed,
            EngineRole::Decode => &mut self.decode,
        }
    }
}

/// Returns the largest multiple of the mix that the engines could serve.
///
/// Each kind of work goes to the role with the greatest relative speed for it: in
/// descending order of their prefill share, the kinds fill prefill engines first, then
/// mixed, then decode engines.
#[must_use]
pub fn capacity(counts: RoleCounts, mix: &WorkBins, speeds: &SpeedSettings) -> f64 {
    let (mut low, mut high) = (0.0, MAX_SCALE);
    if fits(counts, mix, speeds, high) {
        return high;
    }
    for _ in 0..SEARCH_STEPS {
        let middle = f64::midpoint(low, high);
        if fits(counts, mix, speeds, middle) {
            low = middle;
        } else {
            high = middle;
        }
    }
    low
}

fn fits(counts: RoleCounts, mix: &WorkBins, speeds: &SpeedSettings, scale: f64) -> bool {
    let roles = [EngineRole::Prefill, EngineRole::Mixed, EngineRole::Decode];
    let mut free = roles.map(|role| (role, counts.of(role) as f64));
    let mut current = 0;
    for bin in (0..MIX_BINS).rev() {
        let work = mix[bin].times(scale);
        // Part of this kind of work that no engine has taken yet.
        let mut left = 1.0;
        while left > 1e-9 && work.total() > 0.0 {
            let Some((role, seconds)) = free.get_mut(current) else {
                return false;
            };
            let needed = seconds_on(*role, work, speeds) * left;
            if needed <= *seconds {
                *seconds -= needed;
                left = 0.0;
            } else {
                left -= left * *seconds / needed;
                current += 1;
            }
        }
    }
    true
}

fn seconds_on(role: EngineRole, work: WorkAmount, speeds: &SpeedSettings) -> f64 {
    let speed = speeds.role_speed(role);
    work.prefill / speed.prefill + work.decode / speed.decode
}

/// Returns the share of the work expected to be served in time at a capacity, with
/// headroom for bursts.
#[must_use]
pub fn served_share(capacity: f64) -> f64 {
    (capacity / HEADROOM).min(1.0)
}

/// Returns the total of a mix in engine-seconds per second.
#[must_use]
pub fn demand(mix: &WorkBins) -> f64 {
    mix.iter().map(WorkAmount::total).sum()
}
