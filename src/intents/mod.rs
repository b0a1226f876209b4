//! The ledger of non-repeatable requests, which may be executed at most once: pure logic,
//! one value per shard.
//!
//! An intent is the record of such a request, written before its dispatch. A daemon claims
//! the request's key, dispatches the request once the claim is stored, and then closes the
//! entry with the outcome. Settling closes a key that nobody has claimed, so that it can
//! never run.
//!
//! A shard's ledger is one object of the platform and changes only by conditional
//! update. An entry exists from before the dispatch until its key is too old to be
//! accepted, so a lookup either finds the entry or is refused because of the key's age.

pub mod driver;
pub mod forward;
pub mod link;
pub mod ops;
pub mod permit;
pub mod queue;
pub mod records;
pub mod store;
pub mod wire;
pub mod writer;

use std::time::Duration;

use indexmap::IndexMap;

pub use crate::intents::records::{
    AnswerRecord, ClaimEntry, ClaimId, CloseRecord, EntryId, IntentEntry, IntentKey, IntentState,
    KeyError, MAX_KEY_BYTES, RecordView,
};

use crate::invariants::{self, Invariant};
use crate::names::{UnixTime, millis};
use crate::settings::IntentSettings;

/// The shard size divided by this is the reserve on top of the shard size. Once claims are
/// refused, the reserve is left for settling keys and closing entries.
const SETTLE_RESERVE_DIVISOR: usize = 16;

/// While less than the shard size divided by this is free, expired entries are dropped
/// before operations are applied, not after.
const NEARLY_FULL_DIVISOR: usize = 8;

/// Maximum encoded size in bytes of an entry without target, claimant and result.
const MAX_ENTRY_BYTES: usize = 116;

/// Maximum encoded size in bytes of a ledger without its entries.
const MAX_LEDGER_BYTES: usize = 16;

/// Limits that must be the same on every daemon.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LedgerLimits {
    /// Keys are accepted until they are this old less `skew`, and their records kept until
    /// they are this old plus twice `skew`.
    pub retention: Duration,
    /// Maximum difference between two daemons' wall clocks.
    pub skew: Duration,
    /// Size at which claims are refused, in bytes.
    pub shard_bytes: usize,
    /// Maximum size of a stored result, in bytes.
    pub result_bytes: usize,
}

impl From<&IntentSettings> for LedgerLimits {
    fn from(settings: &IntentSettings) -> Self {
        Self {
            retention: Duration::from_millis(settings.retention_ms),
            skew: Duration::from_millis(settings.clock_skew_ms),
            shard_bytes: settings.shard_bytes,
            result_bytes: settings.result_bytes,
        }
    }
}

impl LedgerLimits {
    /// Returns the size in bytes up to which settlements are accepted.
    fn settle_bytes(&self) -> usize {
        self.shard_bytes + self.shard_bytes / SETTLE_RESERVE_DIVISOR
    }
}

/// Result of applying a claim to a ledger.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimOutcome {
    /// The claim was added; it takes effect once the platform has stored the ledger.
    Added,
    /// The ledger already contained this claim.
    Owned,
    /// The key is taken.
    Present(RecordView),
    /// The key is not acceptable.
    Invalid(KeyError),
    /// The ledger has no room.
    Full,
}

/// Result of settling a key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SettleOutcome {
    /// The key was added as not run; this takes effect once the platform has stored the ledger.
    Added,
    /// The key is taken.
    Present(RecordView),
    /// The key is not acceptable.
    Invalid(KeyError),
    /// The ledger has no room.
    Full,
}

/// Result of closing an entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CloseOutcome {
    /// The ledger changed.
    Changed,
    /// The entry is already closed.
    Unchanged,
    /// The claim is not in the ledger: it was never stored, or has expired.
    Missing,
}

/// The records of one shard.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ShardLedger {
    pub(crate) horizon: UnixTime,
    pub(crate) entries: IndexMap<EntryId, IntentEntry>,
    entries_size: usize,
}

impl ShardLedger {
    /// Creates a ledger from decoded entries.
    pub(crate) fn from_parts(horizon: UnixTime, entries: IndexMap<EntryId, IntentEntry>) -> Self {
        let entries_size = entries.values().map(max_entry_size).sum();
        Self {
            horizon,
            entries,
            entries_size,
        }
    }

    /// Returns the entries, oldest first.
    pub fn entries(&self) -> impl Iterator<Item = (&EntryId, &IntentEntry)> {
        self.entries.iter()
    }

    /// Returns the number of entries.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the ledger has no entries.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns an upper bound of the encoded size in bytes.
    #[must_use]
    pub fn max_encoded_size(&self) -> usize {
        MAX_LEDGER_BYTES + self.entries_size
    }

    /// Returns the expiry horizon: entries whose keys were created at or before it are gone.
    #[must_use]
    pub fn horizon(&self) -> UnixTime {
        self.horizon
    }

    /// Applies a claim.
    pub fn claim(
        &mut self,
        claim: &ClaimEntry,
        limits: &LedgerLimits,
        now: UnixTime,
    ) -> ClaimOutcome {
        let id = claim.key.entry_id();
        if let Some(entry) = self.entries.get(&id) {
            return present_claim(entry, claim);
        }
        if let Err(error) = self.check_key(&claim.key, limits, now) {
            return ClaimOutcome::Invalid(error);
        }
        let entry = IntentEntry {
            claim: claim.claim,
            fingerprint: Some(claim.fingerprint),
            minted_at: claim.key.minted_at,
            state: IntentState::Intended {
                claimant: claim.claimant.clone(),
                target: claim.target.clone(),
            },
        };
        if self.max_encoded_size() + max_entry_size(&entry) > limits.shard_bytes {
            return ClaimOutcome::Full;
        }
        self.insert_entry(id, entry);
        ClaimOutcome::Added
    }

    /// Closes an unused key as not run, with `claim` as the identity of the entry.
    ///
    /// The conditional update of a claimant that was paused meanwhile then fails, and the
    /// claimant finds the key taken.
    pub fn settle(
        &mut self,
        key: &IntentKey,
        claim: ClaimId,
        limits: &LedgerLimits,
        now: UnixTime,
    ) -> SettleOutcome {
        match self.view(key, limits, now) {
            Ok(RecordView::Absent) => {}
            Ok(view) => return SettleOutcome::Present(view),
            Err(error) => return SettleOutcome::Invalid(error),
        }
        let entry = unclaimed_entry(key, claim);
        if self.max_encoded_size() + max_entry_size(&entry) > limits.settle_bytes() {
            return SettleOutcome::Full;
        }
        self.insert_entry(key.entry_id(), entry);
        SettleOutcome::Added
    }

    /// Closes the entry that `claim` wrote.
    ///
    /// # Panics
    ///
    /// Panics when a final record would change and invariant violations are fatal.
    pub fn close(
        &mut self,
        id: EntryId,
        claim: ClaimId,
        record: &CloseRecord,
        limits: &LedgerLimits,
    ) -> CloseOutcome {
        let Some(entry) = self.entries.get(&id).filter(|e| e.claim == claim) else {
            return CloseOutcome::Missing;
        };
        if !may_close(&entry.state, record) {
            check_final(id, &entry.state, record);
            return CloseOutcome::Unchanged;
        }
        let mut entry = entry.clone();
        entry.state = closed_state(record, limits.result_bytes);
        if self.max_encoded_size() + max_entry_size(&entry) > limits.settle_bytes() {
            drop_result(&mut entry.state);
        }
        self.insert_entry(id, entry);
        CloseOutcome::Changed
    }

    /// Closes an abandoned claim that another daemon may still record for the claimant.
    ///
    /// An absent key is closed regardless of its age by this daemon's clock, as the other
    /// daemon's clock may still accept it. A key at or below the horizon is accepted by no
    /// daemon and needs no entry.
    pub fn void(&mut self, key: &IntentKey, claim: ClaimId, limits: &LedgerLimits) -> CloseOutcome {
        let id = key.entry_id();
        if self.entries.contains_key(&id) {
            return self.close(id, claim, &CloseRecord::NotRun, limits);
        }
        let entry = unclaimed_entry(key, claim);
        let fits = self.max_encoded_size() + max_entry_size(&entry) <= limits.settle_bytes();
        if key.minted_at <= self.horizon || !fits {
            return CloseOutcome::Missing;
        }
        self.insert_entry(id, entry);
        CloseOutcome::Changed
    }

    /// Returns what is recorded for a key.
    ///
    /// # Errors
    ///
    /// Returns a [`KeyError`] when the key does not match its record, or is absent and
    /// not acceptable, for example so old that its record may have expired.
    pub fn view(
        &self,
        key: &IntentKey,
        limits: &LedgerLimits,
        now: UnixTime,
    ) -> Result<RecordView, KeyError> {
        match self.entries.get(&key.entry_id()) {
            Some(entry) if entry.minted_at != key.minted_at => Err(KeyError::Reused),
            Some(entry) => Ok(RecordView::from(&entry.state)),
            None => self
                .check_key(key, limits, now)
                .map(|()| RecordView::Absent),
        }
    }

    /// Drops the entries whose keys no daemon accepts any more. Returns whether the ledger
    /// changed.
    ///
    /// This raises the horizon, which is stored with the ledger. Keys at or below it are
    /// refused regardless of any clock: otherwise a daemon whose clock is behind could
    /// take an expired key for a new one and run its request again. The horizon is
    /// bounded by the newest key, so that a single clock that is far ahead cannot make
    /// the shard refuse every key.
    pub fn expire(&mut self, limits: &LedgerLimits, now: UnixTime) -> bool {
        let newest = self.entries.values().map(|e| e.minted_at).max();
        let latest = newest.unwrap_or_default().min(now);
        let expire_after = limits.retention + limits.skew * 2;
        let horizon = UnixTime(latest.0.saturating_sub(millis(expire_after)));
        if horizon <= self.horizon {
            return false;
        }
        self.horizon = horizon;
        self.entries.retain(|_, entry| entry.minted_at > horizon);
        self.entries_size = self.entries.values().map(max_entry_size).sum();
        true
    }

    /// Returns whether the space for claims is nearly used up.
    #[must_use]
    pub fn is_nearly_full(&self, limits: &LedgerLimits) -> bool {
        self.max_encoded_size() > limits.shard_bytes - limits.shard_bytes / NEARLY_FULL_DIVISOR
    }

    /// Refuses keys that are too old, lie too far in the future or have an invalid length.
    fn check_key(
        &self,
        key: &IntentKey,
        limits: &LedgerLimits,
        now: UnixTime,
    ) -> Result<(), KeyError> {
        if !(1..=MAX_KEY_BYTES).contains(&key.key.as_str().len()) {
            return Err(KeyError::Length);
        }
        let max_age = limits.retention.saturating_sub(limits.skew);
        if key.minted_at <= self.horizon || now.since(key.minted_at) > max_age {
            return Err(KeyError::Expired);
        }
        if key.minted_at.since(now) > limits.skew {
            return Err(KeyError::Future);
        }
        Ok(())
    }

    fn insert_entry(&mut self, id: EntryId, entry: IntentEntry) {
        self.entries_size += max_entry_size(&entry);
        if let Some(former) = self.entries.insert(id, entry) {
            self.entries_size -= max_entry_size(&former);
        }
    }
}

fn unclaimed_entry(key: &IntentKey, claim: ClaimId) -> IntentEntry {
    IntentEntry {
        claim,
        fingerprint: None,
        minted_at: key.minted_at,
        state: IntentState::NotRun,
    }
}

fn present_claim(entry: &IntentEntry, claim: &ClaimEntry) -> ClaimOutcome {
    if entry.minted_at != claim.key.minted_at {
        return ClaimOutcome::Invalid(KeyError::Reused);
    }
    if entry.fingerprint.is_some_and(|f| f != claim.fingerprint) {
        return ClaimOutcome::Invalid(KeyError::OtherContent);
    }
    match &entry.state {
        IntentState::Intended { .. } if entry.claim == claim.claim => ClaimOutcome::Owned,
        state => ClaimOutcome::Present(RecordView::from(state)),
    }
}

fn may_close(state: &IntentState, record: &CloseRecord) -> bool {
    match state {
        IntentState::Intended { .. } => true,
        IntentState::Unknown => matches!(record, CloseRecord::Answered(_)),
        IntentState::NotRun | IntentState::Answered(_) => false,
    }
}

/// Asserts that a close without effect does not contradict the record.
fn check_final(id: EntryId, state: &IntentState, record: &CloseRecord) {
    let agrees = matches!(
        (state, record),
        (
            IntentState::Answered(_),
            CloseRecord::Answered(_) | CloseRecord::Unknown
        ) | (IntentState::NotRun, CloseRecord::NotRun)
            | (IntentState::Unknown, CloseRecord::Unknown)
    );
    invariants::check(agrees, Invariant::NotRunIsTrue, || {
        format!("entry {id:?} is {state:?}, but a close tried to make it {record:?}")
    });
}

fn closed_state(record: &CloseRecord, result_bytes: usize) -> IntentState {
    match record {
        CloseRecord::NotRun => IntentState::NotRun,
        CloseRecord::Unknown => IntentState::Unknown,
        CloseRecord::Answered(answer) => {
            let mut answer = answer.clone();
            answer.result = answer.result.filter(|r| r.len() <= result_bytes);
            IntentState::Answered(answer)
        }
    }
}

fn drop_result(state: &mut IntentState) {
    if let IntentState::Answered(answer) = state {
        answer.result = None;
    }
}

/// Returns an upper bound of an entry's encoded size in bytes.
fn max_entry_size(entry: &IntentEntry) -> usize {
    MAX_ENTRY_BYTES
        + match &entry.state {
            IntentState::Intended { claimant, target } => claimant.len() + target.as_str().len(),
            IntentState::Answered(answer) => answer.result.as_ref().map_or(0, Vec::len),
            IntentState::NotRun | IntentState::Unknown => 0,
        }
}
