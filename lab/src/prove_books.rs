//! What a randomised run writes down, to be compared at its end.

use indexmap::IndexMap;
use pistachiowick::pb::RecordState;

use crate::engine_books::EngineBooks;
use crate::load_tally::RequestEnd;
use crate::service::ServiceBooks;

/// What kind of work a request asks for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestKind {
    /// A stream that may be repeated.
    Stream,
    /// A call of a plain service that may not be repeated.
    KeyedCall,
    /// A stream that may not be repeated.
    KeyedStream,
}

impl RequestKind {
    /// Tells whether the request may not be repeated.
    #[must_use]
    pub const fn is_keyed(self) -> bool {
        matches!(self, Self::KeyedCall | Self::KeyedStream)
    }
}

/// How one ask of a request ended at one daemon.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AskEnd {
    /// The daemon gave a final outcome.
    Final(RequestEnd),
    /// The stream ended without a final outcome.
    Broken,
    /// Nothing came for too long.
    Silent,
    /// The caller hung up itself.
    HungUp,
    /// The daemon was not reached.
    Unreached,
    /// The daemon rejected the call.
    Rejected(String),
}

/// One ask of a request at one daemon: a submission or a resume.
#[derive(Clone, Debug)]
pub struct AskBook {
    /// Address of the daemon.
    pub address: String,
    /// Whether it said that the key was never sent before.
    pub first_submission: bool,
    /// Whether it resumed by a token.
    pub is_resume: bool,
    /// Unix time of the ask.
    pub sent_at_ms: u64,
    /// Unix time of its end.
    pub ended_at_ms: u64,
    /// Identity under which it was accepted; empty when it was not.
    pub request_id: String,
    /// How it ended.
    pub end: AskEnd,
    /// Reason told with the final outcome.
    pub reason: String,
    /// Whether bytes differed from the expected ones.
    pub is_wrong: bool,
    /// Whether it was passed as whole with bytes missing.
    pub is_short: bool,
    /// Whether bytes or finals came twice.
    pub is_doubled: bool,
}

/// One look at the record of a key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RecordBook {
    /// State told.
    pub state: RecordState,
    /// Whether the look closed an open key.
    pub settled: bool,
    /// Whether result, length and digest fit the expected answer.
    pub is_right: bool,
}

/// One request with everything its caller was told.
#[derive(Clone, Debug)]
pub struct RequestBook {
    /// Its name, which is its key.
    pub name: String,
    /// Workspace that asks.
    pub workspace: String,
    /// What it asks for.
    pub kind: RequestKind,
    /// Digest of its prompt, as engines book it.
    pub prompt_digest: u64,
    /// Every ask, in the order of their ends.
    pub asks: Vec<AskBook>,
    /// Looks at its record.
    pub records: Vec<RecordBook>,
    /// Unix time at which a daemon said that a cancel had stopped it.
    pub stopped_at_ms: Option<u64>,
    /// Last final outcome; `None` when it got none in time.
    pub end: Option<RequestEnd>,
}

/// One life of one daemon.
#[derive(Clone, Debug, Default)]
pub struct LifeBook {
    /// Daemon.
    pub daemon: String,
    /// Address for callers.
    pub address: String,
    /// Unix time of its kill.
    pub killed_at_ms: Option<u64>,
    /// Unix time at which a planned stop was asked for.
    pub stop_at_ms: Option<u64>,
    /// Violations it counted; those within this process are counted together.
    pub violations: u64,
}

/// A span in which an operator kept a target out of use, between the answer to the
/// drain and the call that restored it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HoldBook {
    /// Target.
    pub target: String,
    /// Unix time of the answer.
    pub from_ms: u64,
    /// Unix time of the restore.
    pub until_ms: u64,
}

/// A span in which a daemon could not read the instance list: it was frozen, cut off
/// from the platform, or the platform was down.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BlindBook {
    /// Unix time of its begin.
    pub from_ms: u64,
    /// Unix time by which the list can have been read again.
    pub until_ms: u64,
}

/// What became of an operator's change.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ChangeEnd {
    /// Accepted with this revision.
    Accepted(u64),
    /// Certainly not taken.
    NotTaken,
    /// Not known.
    Unknown,
}

/// One change of one item.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ChangeBook {
    /// Item.
    pub item: String,
    /// Revision it was based on.
    pub based_on: u64,
    /// Number that the change wrote, unique in the run.
    pub mark: u32,
    /// What became of it.
    pub end: ChangeEnd,
}

/// An item as one daemon showed it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ShownItem {
    /// Its revision.
    pub revision: u64,
    /// The number in it.
    pub mark: u32,
}

/// Books of one target, over several lives under one name.
#[derive(Clone, Debug)]
pub struct TargetBook<B> {
    /// Target.
    pub target: String,
    /// Whether it refuses orders with an old fence.
    pub checks_fence: bool,
    /// Its books.
    pub books: B,
}

/// Everything written down in one run.
#[derive(Clone, Debug, Default)]
pub struct RunBooks {
    /// Faults carried out, by kind.
    pub faults: IndexMap<&'static str, u32>,
    /// Spans of Unix time in which some daemon could not learn who leaves.
    pub blind: Vec<BlindBook>,
    /// Requests.
    pub requests: Vec<RequestBook>,
    /// Lives of daemons.
    pub lives: Vec<LifeBook>,
    /// Engines, replaced ones included.
    pub engines: Vec<TargetBook<EngineBooks>>,
    /// Instances of the plain service, replaced ones included.
    pub services: Vec<TargetBook<ServiceBooks>>,
    /// Drains by operators.
    pub holds: Vec<HoldBook>,
    /// Operators' changes.
    pub changes: Vec<ChangeBook>,
    /// Falls of a revision that a watcher of a daemon saw.
    pub reverts: Vec<String>,
    /// Items at the end, as each daemon showed them.
    pub shown: IndexMap<String, IndexMap<String, ShownItem>>,
    /// Time from the end of all faults to full service; `None` when it did not come.
    pub recovery_ms: Option<u64>,
    /// What was left over once all requests had ended.
    pub leaks: Vec<String>,
    /// Invariant violations counted within this process.
    pub violations: u64,
    /// Panics within this process.
    pub panics: u64,
}
