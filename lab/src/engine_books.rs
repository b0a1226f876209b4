//! What the engine stand-in writes down, to be compared with what callers were told.

use indexmap::IndexMap;
use pistachiowick::names::{FenceNumber, GroupName, WorkspaceName};
use pistachiowick::targets::wire::{EngineRole, OrderId};
use serde::{Deserialize, Serialize};

use crate::limit_book::LimitedArrival;
use crate::statement_book::StatedArrival;

/// One attempt of one request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StreamBook {
    /// Request.
    pub request_id: String,
    /// Attempt.
    pub attempt: u32,
    /// Workspace that pays.
    pub workspace: WorkspaceName,
    /// Digest of the prompt, which tells a request apart whatever its id.
    pub prompt_digest: u64,
    /// Unix time of the start in milliseconds.
    pub started_at_ms: u64,
    /// Offset asked for.
    pub offset: u64,
    /// Bytes generated from the offset on.
    pub bytes_generated: u64,
    /// Answer bytes sent, again for each resume.
    pub bytes_sent: u64,
    /// Whether it was generated to its end.
    pub finished: bool,
    /// Whether it was cancelled.
    pub cancelled: bool,
}

/// One order as received.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OrderBook {
    /// Identity.
    pub id: String,
    /// Fence it carried.
    pub fence: FenceNumber,
    /// Highest fence seen before it.
    pub highest_before: FenceNumber,
    /// Group.
    pub group: GroupName,
    /// Role ordered.
    pub role: EngineRole,
    /// Models ordered.
    pub models: Vec<String>,
    /// Unix time of the order in milliseconds.
    pub at_ms: u64,
    /// Order still being carried out when this one came, with its fence.
    pub outstanding: Option<OrderId>,
    /// Whether it was obeyed.
    pub obeyed: bool,
}

/// Books of one engine over all its lives.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct EngineBooks {
    /// Streams started, by `REQUEST/ATTEMPT`.
    pub streams: IndexMap<String, StreamBook>,
    /// Starts of an attempt that was known already.
    pub repeated_starts: u64,
    /// Starts refused.
    pub refused_starts: u64,
    /// Resumes served.
    pub resumes: u64,
    /// Orders in the order received.
    pub orders: Vec<OrderBook>,
    /// Orders with an old fence that were obeyed.
    pub old_fences_obeyed: u64,
    /// Orders with an old fence that were refused.
    pub old_fences_refused: u64,
    /// Unix time in milliseconds of the word to leave.
    pub left_at_ms: Option<u64>,
    /// Milliseconds after being told to leave, for each start asked for since.
    pub starts_after_leave: Vec<u64>,
    /// Cancel calls that stopped something.
    pub cancels: u64,
    /// Streams that a change of role or models cut.
    pub cut_by_change: u64,
    /// Streams that a crash dropped.
    pub dropped_by_crash: u64,
    /// Changes of role finished.
    pub role_changes: u64,
    /// Changes of models alone finished.
    pub model_changes: u64,
    /// Milliseconds out of service through changes, in engine time.
    pub change_idle_ms: u64,
    /// Starts asked for while a limit was named.
    pub limited: Vec<LimitedArrival>,
    /// Starts asked for while something was stated.
    pub stated: Vec<StatedArrival>,
    /// Prompt tokens read.
    pub prefill_tokens: u64,
    /// Prompt tokens found in the prefix cache.
    pub cached_tokens: u64,
    /// Prompt tokens imported from other engines.
    pub imported_tokens: u64,
    /// Tokens generated.
    pub decode_tokens: u64,
    /// Steps made.
    pub steps: u64,
    /// Milliseconds spent in steps, in engine time.
    pub busy_ms: f64,
    /// Crashes.
    pub crashes: u64,
    /// Lines made late.
    pub late_lines: u64,
    /// Lines of another request sent.
    pub crossed_lines: u64,
    /// Lines sent twice.
    pub doubled_lines: u64,
    /// Answers ended without an end line.
    pub cut_answers: u64,
    /// Answers ended early with an end line.
    pub short_answers: u64,
}
