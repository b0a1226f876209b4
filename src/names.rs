//! Names and times that every module shares.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

macro_rules! text_name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }

            /// Tells whether the name has no characters.
            #[must_use]
            pub fn is_empty(&self) -> bool {
                self.0.is_empty()
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(Arc::from(text))
            }
        }

        impl From<String> for $name {
            fn from(text: String) -> Self {
                Self(Arc::from(text))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

text_name!(
    /// Names a workspace, which is a customer.
    WorkspaceName
);
text_name!(
    /// Names a workload class within its workspace.
    ClassName
);
text_name!(
    /// Names a model.
    ModelName
);
text_name!(
    /// Names a target: an engine or an instance of a plain service.
    TargetId
);
text_name!(
    /// Names a plain service, which several targets may offer.
    ServiceName
);
text_name!(
    /// Names the version of a target's software, which is not the version of its model's weights.
    SoftwareVersion
);
text_name!(
    /// Names a daemon of this system.
    DaemonId
);
text_name!(
    /// Names a data centre.
    CentreName
);
text_name!(
    /// Names a group of engines that one lease covers.
    GroupName
);
text_name!(
    /// Identifies a request within its workspace; chosen by the caller.
    RequestKey
);
text_name!(
    /// Identifies one accepted submission; chosen by the accepting daemon.
    RequestId
);

/// Distinguishes the lives of one process: Unix milliseconds of its start.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct ProcessIncarnation(pub u64);

/// Orders the holders of one lease. Rises with each acquisition.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct FenceNumber(pub u64);

/// Bits of a fence that count the acquisitions within an era of the store; the era is above
/// them. Fences of the first 500 million eras are exact in formats whose numbers are floats.
const ACQUISITION_BITS: u32 = 24;

impl FenceNumber {
    /// Returns the lowest fence of an era of the store.
    ///
    /// A store that is restored from an older copy loses the fences used since. Those of the
    /// new era are above all of them, so that none has to be remembered.
    #[must_use]
    pub const fn first_in(era: u64) -> Self {
        Self((era << ACQUISITION_BITS) + 1)
    }

    /// Returns the era of the store in which the fence was first used.
    #[must_use]
    pub const fn era(self) -> u64 {
        self.0 >> ACQUISITION_BITS
    }

    /// Returns the next higher fence.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// Milliseconds on this process's monotonic clock.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct MonoTime(pub u64);

impl MonoTime {
    /// Returns the time `span` later.
    #[must_use]
    pub fn plus(self, span: Duration) -> Self {
        Self(self.0.saturating_add(millis(span)))
    }

    /// Returns the span since `earlier`, or zero when `earlier` is later.
    #[must_use]
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

/// Milliseconds since the Unix epoch. Never used to order events of one process.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct UnixTime(pub u64);

impl UnixTime {
    /// Returns the time `span` later.
    #[must_use]
    pub fn plus(self, span: Duration) -> Self {
        Self(self.0.saturating_add(millis(span)))
    }

    /// Returns the span since `earlier`, or zero when `earlier` is later.
    #[must_use]
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

/// Returns a span in whole milliseconds.
#[must_use]
pub fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
