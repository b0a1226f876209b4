//! Reports about targets' limits, as daemons send them to each other.

use serde_tuple::{Deserialize_tuple, Serialize_tuple};

use crate::target_incarnation::TargetIncarnation;
use crate::target_limits::statement::RequestRate;

/// What a daemon knows about the limit of one target.
#[derive(Clone, Debug, Deserialize_tuple, PartialEq, Serialize_tuple)]
pub struct LimitReport {
    /// The target.
    pub target: TargetIncarnation,
    /// Its limit; `None` if it has ended.
    pub rate: Option<RequestRate>,
    /// Milliseconds since the turns began.
    pub origin_age_ms: f64,
    /// Milliseconds since the newest answer arrived that names the limit; if it has ended,
    /// since the request was sent whose answer no longer names it.
    pub stated_age_ms: f64,
}
