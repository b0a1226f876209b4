//! Decides from what daemons know at which version a stream that a caller takes up began.

use serde::{Deserialize, Serialize};

use crate::gateway::software::starts::KnownStart;
use crate::names::{MonoTime, ServiceName, SoftwareVersion, millis};

/// Start of a stream, as a daemon remembers it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EvidentStart {
    /// Service that began it.
    pub service: ServiceName,
    /// Version of the software that began it.
    pub software: SoftwareVersion,
    /// Milliseconds since its first event.
    pub age_ms: u64,
    /// Whether another daemon told it.
    pub is_told: bool,
    /// Whether different starts were recorded.
    pub is_unclear: bool,
}

impl EvidentStart {
    /// Creates the evidence of a start that is remembered.
    #[must_use]
    pub fn new(known: &KnownStart, now: MonoTime) -> Self {
        let KnownStart {
            start,
            is_told,
            is_unclear,
        } = known;
        Self {
            service: start.service.clone(),
            software: start.software.clone(),
            age_ms: millis(now.since(start.began)),
            is_told: *is_told,
            is_unclear: *is_unclear,
        }
    }
}

/// What one daemon knows of a stream and of the versions of its service.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct StartEvidence {
    /// Start of the stream, if it is remembered.
    pub start: Option<EvidentStart>,
    /// Versions that have served within the time that a stream can last.
    pub recent: Vec<SoftwareVersion>,
    /// Whether these are all versions that have.
    pub is_complete: bool,
}

/// What several daemons know of a stream.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct GatheredEvidence {
    /// What each knows, this one first.
    pub evidence: Vec<StartEvidence>,
    /// Whether all that may know have answered.
    pub is_whole: bool,
    /// Whether there are other daemons that may know.
    pub has_others: bool,
}

/// At which version a stream began.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum VersionFinding {
    /// A daemon remembers it.
    Remembered(EvidentStart),
    /// No other version has served since it can have begun.
    Sole(SoftwareVersion),
    /// Daemons remember different starts, or one at another service.
    Unclear,
    /// No daemon that was asked knows.
    Unknown,
}

impl VersionFinding {
    /// Returns the version, if it is known.
    #[must_use]
    pub fn software(&self) -> Option<&SoftwareVersion> {
        match self {
            Self::Remembered(start) => Some(&start.software),
            Self::Sole(software) => Some(software),
            Self::Unclear | Self::Unknown => None,
        }
    }

    /// Returns how the version was found, in logs and metrics.
    #[must_use]
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::Remembered(start) if start.is_told => "told",
            Self::Remembered(_) => "remembered",
            Self::Sole(_) => "single",
            Self::Unclear => "unclear",
            Self::Unknown => "unknown",
        }
    }
}

/// Weighs what daemons know of a stream of a service, this one first.
///
/// A start that one of them remembers decides. Without one, the version is known only if a
/// single one has served since the stream can have begun: one daemon has to know all versions
/// that have served, and none may know of another. A daemon that none of the others answers does
/// not decide that by itself: it may have been cut off just before a version appeared.
#[must_use]
pub fn weigh(service: &ServiceName, gathered: &GatheredEvidence) -> VersionFinding {
    let evidence = &gathered.evidence;
    let mut starts = evidence.iter().filter_map(|known| known.start.as_ref());
    if let Some(first) = starts.next() {
        let is_same = |start: &EvidentStart| {
            !start.is_unclear && start.service == *service && start.software == first.software
        };
        return if is_same(first) && starts.all(is_same) {
            VersionFinding::Remembered(first.clone())
        } else {
            VersionFinding::Unclear
        };
    }
    let mut recent = evidence.iter().flat_map(|known| &known.recent);
    let mut others = evidence.iter().skip(1);
    let is_confirmed = !gathered.has_others || others.any(|known| !known.recent.is_empty());
    let is_complete = is_confirmed && evidence.iter().any(|known| known.is_complete);
    match recent.next() {
        Some(sole) if is_complete && recent.all(|other| other == sole) => {
            VersionFinding::Sole(sole.clone())
        }
        _ => VersionFinding::Unknown,
    }
}
