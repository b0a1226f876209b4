//! Reports about suspects that crashed targets, as daemons send them to each other.

use serde_tuple::{Deserialize_tuple, Serialize_tuple};

use crate::crashes::suspect::SuspectKey;
use crate::crashes::suspect_digest::SuspectDigest;
use crate::names::ServiceName;
use crate::target_incarnation::TargetIncarnation;

/// A report about one suspect.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CrashReport {
    /// The suspect.
    pub suspect: SuspectKey,
    /// Target incarnations that crashed under it while nothing else is known to have survived.
    /// Empty for work.
    pub crashes: Vec<TargetIncarnation>,
    /// Target incarnations that crashed under it while requests without it survived.
    pub confirmed: Vec<TargetIncarnation>,
    /// Target incarnations that it was suspected to have crashed but that did not crash, or
    /// crashed for another reason.
    pub refuted: Vec<TargetIncarnation>,
    /// Milliseconds since the last crash or, if quarantined, since its last request.
    pub age_ms: u64,
    /// Service of the targets, if it is known.
    pub service: Option<ServiceName>,
}

/// Wire form of a report about work.
#[derive(Clone, Debug, Deserialize_tuple, Eq, PartialEq, Serialize_tuple)]
pub struct WorkReport {
    /// The work.
    pub work: SuspectDigest,
    /// See [`CrashReport::confirmed`].
    pub crashes: Vec<TargetIncarnation>,
    /// See [`CrashReport::refuted`].
    pub refuted: Vec<TargetIncarnation>,
    /// See [`CrashReport::age_ms`].
    pub age_ms: u64,
}

/// Wire form of a report about a part of prompts.
#[derive(Clone, Debug, Deserialize_tuple, Eq, PartialEq, Serialize_tuple)]
pub struct PartReport {
    /// The part.
    pub part: SuspectDigest,
    /// See [`CrashReport::crashes`].
    pub crashes: Vec<TargetIncarnation>,
    /// See [`CrashReport::confirmed`].
    pub confirmed: Vec<TargetIncarnation>,
    /// See [`CrashReport::refuted`].
    pub refuted: Vec<TargetIncarnation>,
    /// See [`CrashReport::age_ms`].
    pub age_ms: u64,
    /// See [`CrashReport::service`].
    pub service: Option<ServiceName>,
}

/// Wire form of the reports in one message. Daemons of an earlier build know only works.
#[derive(Clone, Debug, Default)]
pub struct ReportBatch {
    /// Reports about work.
    pub works: Vec<WorkReport>,
    /// Reports about parts.
    pub parts: Vec<PartReport>,
}

impl From<Vec<CrashReport>> for ReportBatch {
    fn from(reports: Vec<CrashReport>) -> Self {
        let mut batch = Self::default();
        for report in reports {
            let CrashReport {
                crashes,
                confirmed,
                refuted,
                age_ms,
                service,
                suspect,
            } = report;
            match suspect {
                SuspectKey::Work(work) => batch.works.push(WorkReport {
                    work,
                    crashes: confirmed,
                    refuted,
                    age_ms,
                }),
                SuspectKey::Part(part) => batch.parts.push(PartReport {
                    part,
                    crashes,
                    confirmed,
                    refuted,
                    age_ms,
                    service,
                }),
            }
        }
        batch
    }
}

impl From<&WorkReport> for CrashReport {
    fn from(report: &WorkReport) -> Self {
        Self {
            suspect: SuspectKey::Work(report.work),
            crashes: Vec::new(),
            confirmed: report.crashes.clone(),
            refuted: report.refuted.clone(),
            age_ms: report.age_ms,
            service: None,
        }
    }
}

impl From<&PartReport> for CrashReport {
    fn from(report: &PartReport) -> Self {
        Self {
            suspect: SuspectKey::Part(report.part),
            crashes: report.crashes.clone(),
            confirmed: report.confirmed.clone(),
            refuted: report.refuted.clone(),
            age_ms: report.age_ms,
            service: report.service.clone(),
        }
    }
}
