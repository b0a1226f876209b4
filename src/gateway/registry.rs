//! Registry of the targets in the store, which tolerates entries lost in a store outage.
//!
//! Entries expire while the store is unavailable although their targets are running.
//! Treating each disappearance as a departure would empty the fleet after an outage;
//! ignoring them would send work to targets that are gone. So an entry that disappears
//! while the store was reachable is removed at once; one that disappears around an outage
//! may reappear within [`ENTRY_RETURN_TIME`] of the store's return, unless a peer that could
//! reach the store throughout reports its removal.
//!
//! A departure ends one incarnation of a target. Of two entries of a name the one with
//! the higher store revision is newer; targets' own clocks may step.
//!
//! A store that is restored from an older copy begins an era with entries that may be older than
//! what is known here. Such an entry is withheld until it is written again, or for
//! [`WITHHOLDING_TIME`] if it stays listed: what was known before stays in force, also that the
//! target is gone.
//!
//! [`ENTRY_RETURN_TIME`]: crate::gateway::store_contact::ENTRY_RETURN_TIME

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use serde_bytes::ByteBuf;
use serde_tuple::{Deserialize_tuple, Serialize_tuple};

use crate::gateway::fleet::TargetsByService;
use crate::gateway::model::TargetRecord;
use crate::gateway::port::{RequestKind, WireError};
use crate::gateway::store_contact::StoreOutageTracker;
use crate::names::{DaemonId, MonoTime, TargetId, millis};
use crate::ports::ObjectVersion;
use crate::target_incarnation::TargetIncarnation;

/// How long departures, and the last revision of removed entries, are remembered: longer
/// than outdated information about them can take to arrive.
const DEPARTURE_TTL: Duration = Duration::from_secs(120);

/// How long an entry of an older copy of the store is withheld: longer than the store keeps the
/// entry of a target that is gone.
pub const WITHHOLDING_TIME: Duration = Duration::from_secs(10);

/// Source of information about an entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EntrySource {
    /// A hub, which reads the store and relays what it reads.
    Hub,
    /// A peer's update that an entry was added or removed.
    Peer,
    /// The store itself.
    Store,
}

impl EntrySource {
    fn as_str(self) -> &'static str {
        match self {
            Self::Hub => "hub",
            Self::Peer => "peer",
            Self::Store => "store",
        }
    }
}

/// Content of an entry.
#[derive(Clone, Debug, PartialEq)]
pub enum EntryContent {
    /// The entry is no longer in the store.
    Gone,
    /// The entry describes a target.
    Named(TargetRecord),
    /// The entry could not be decoded, because another program wrote or overwrote it.
    Unreadable(WireError),
}

/// One entry as it was read.
#[derive(Clone, Debug, PartialEq)]
pub struct EntryChange {
    /// Name of the entry.
    pub name: TargetId,
    /// Store revision of its last change; 0 where unknown.
    pub revision: u64,
    /// Its content.
    pub content: EntryContent,
}

#[derive(Clone, Debug)]
struct TargetEntry {
    record: Arc<TargetRecord>,
    missing: Option<MissingEntry>,
}

/// An entry that is missing in the store and whose target still gets work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MissingEntry {
    /// When it was found missing.
    pub since: MonoTime,
    /// When it is removed unless it reappears.
    pub until: MonoTime,
}

/// Update that daemons send each other about an entry: it was added or removed.
#[derive(Clone, Debug, Deserialize_tuple, Eq, PartialEq, Serialize_tuple)]
pub struct EntryUpdate {
    /// Name of the entry.
    pub name: TargetId,
    /// Revision of the change. A removal covers all revisions up to it.
    pub revision: u64,
    /// Its value; `None` where it was removed.
    pub value: Option<ByteBuf>,
}

/// An update that was received or made recently.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RecentUpdate {
    /// The update.
    pub update: EntryUpdate,
    /// When this daemon learned of it.
    pub at: MonoTime,
}

/// An entry of a restored store that may be older than what is known of its target.
#[derive(Clone, Debug)]
struct WithheldEntry {
    change: EntryChange,
    until: MonoTime,
}

#[derive(Clone, Copy, Debug)]
struct SeenRevision {
    revision: u64,
    at: MonoTime,
}

/// How this daemon learned that a target is leaving or gone.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DepartureSource {
    /// Another target, or another incarnation, answers at its address.
    Address,
    /// The target stated it in the answer to a request of this kind.
    Answer(RequestKind),
    /// Another daemon reported it.
    Peer(DaemonId),
}

impl DepartureSource {
    /// Logs a departure that was not known before.
    pub fn log(&self, target: &TargetIncarnation) {
        let target = target.as_str();
        match self {
            Self::Address => {
                log::info!(target_id = target; "target is no longer at its address");
            }
            Self::Answer(kind) => {
                metrics::counter!("pistachiowick_stated_departures_total").increment(1);
                log::info!(target_id = target, source = "answer", answered = kind.as_str(); "target is leaving");
            }
            Self::Peer(daemon) => {
                log::info!(target_id = target, source = daemon.as_str(); "target is leaving or gone");
            }
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct TargetDeparture {
    // When it was learned, or when the target's entry was last in the store.
    at: MonoTime,
    // Whether the store still has an entry of the incarnation. As long as it does, the
    // departure is remembered.
    has_entry: bool,
}

/// All known targets.
#[derive(Clone, Debug, Default)]
pub struct TargetRegistry {
    entries: IndexMap<TargetId, TargetEntry>,
    // Incarnations that departed. An older entry may still arrive from a peer or a stale
    // read; a departure is final for the incarnation.
    departed: IndexMap<TargetIncarnation, TargetDeparture>,
    // Newest revision seen of each name, so that older entries are ignored.
    seen: IndexMap<TargetId, SeenRevision>,
    // Entries that may be from an older copy of the store.
    withheld: IndexMap<TargetId, WithheldEntry>,
    // Entries added, or removed while the store was reachable, to be announced to daemons
    // that cannot reach it.
    recent_updates: IndexMap<TargetId, RecentUpdate>,
    // Unreadable entries, with the revision that was logged.
    unreadable: IndexMap<TargetId, u64>,
    outage: StoreOutageTracker,
    // Revision up to which this daemon has applied all changes of the store.
    read_through: u64,
    // Newest era of the store in a listing.
    listed_era: Option<u64>,
}

impl TargetRegistry {
    /// Records that the store did not answer a request sent at `sent_at`.
    pub fn note_store_failure(&mut self, sent_at: MonoTime, now: MonoTime) {
        self.outage.note_failure(sent_at, now);
    }

    /// Records that the store answered a request of any kind.
    pub fn note_store_answer(&mut self, now: MonoTime) {
        self.outage.note_answer(now);
    }

    /// Records that all changes up to a revision were applied.
    pub fn note_read_through(&mut self, revision: u64) {
        self.read_through = revision;
    }

    /// Replaces all entries by a complete listing.
    pub fn replace(&mut self, listing: Vec<EntryChange>, source: EntrySource, now: MonoTime) {
        let listed_names: Vec<TargetId> =
            listing.iter().map(|change| change.name.clone()).collect();
        self.note_listed_era(&listing, now);
        for change in listing {
            if !self.withhold(&change, source, now) {
                self.apply(change, source, now);
            }
        }
        self.withheld.retain(|name, _| listed_names.contains(name));
        let missing: Vec<TargetId> = self
            .entries
            .keys()
            .filter(|name| !listed_names.contains(name))
            .cloned()
            .collect();
        for name in missing {
            self.remove_or_mark_missing(&name, source, now);
        }
        self.note_entries_gone(|name| !listed_names.contains(name), now);
        self.unreadable
            .retain(|name, _| listed_names.contains(name));
    }

    /// Applies the change of one entry, unless a newer one of its name is known; returns
    /// true if it adds an incarnation of a target.
    pub fn apply(&mut self, change: EntryChange, source: EntrySource, now: MonoTime) -> bool {
        let EntryChange {
            name,
            revision,
            content,
        } = change;
        // Updates of peers up to the revision that this daemon has read are known here.
        let already_read = source == EntrySource::Peer && revision <= self.read_through;
        if already_read || self.is_outdated(&name, revision) {
            return false;
        }
        self.withheld.swap_remove(&name);
        self.note_revision(&name, revision, now);
        match content {
            EntryContent::Gone => {
                self.note_entries_gone(|gone| *gone == name, now);
                self.unreadable.swap_remove(&name);
                self.remove_or_mark_missing(&name, source, now);
                false
            }
            EntryContent::Named(record) => {
                self.unreadable.swap_remove(&name);
                self.insert_target(record, revision, source, now)
            }
            EntryContent::Unreadable(error) => {
                self.ignore_unreadable(&name, revision, &error, source);
                false
            }
        }
    }

    // Entries that a restored store lacks may be written again, as after an outage.
    fn note_listed_era(&mut self, listing: &[EntryChange], now: MonoTime) {
        let eras = listing
            .iter()
            .map(|change| ObjectVersion(change.revision).era());
        let Some(era) = eras.max() else {
            return;
        };
        if self.listed_era.is_some_and(|before| era > before) {
            self.outage.note_restore(now);
        }
        self.listed_era = self.listed_era.max(Some(era));
    }

    // Withholds an entry of a listing if it may be from a copy that is older than what is known.
    // Whatever is written after the restore is read as a change.
    fn withhold(&mut self, change: &EntryChange, source: EntrySource, now: MonoTime) -> bool {
        let EntryChange { name, revision, .. } = change;
        let (version, seen) = (ObjectVersion(*revision), self.seen_revision(name));
        let seen = ObjectVersion(seen);
        let withheld = self.withheld.get(name);
        let withheld = withheld.map(|withheld| ObjectVersion(withheld.change.revision));
        if let Some(withheld) = withheld.filter(|withheld| withheld.era() == version.era()) {
            return withheld == version;
        }
        let is_restored = version.era() > seen.era() && version.revision() < seen.revision();
        if !is_restored {
            return false;
        }
        log::info!(
            target_id = name.as_str(),
            revision = version.revision(),
            era = version.era(),
            known_revision = seen.revision(),
            source = source.as_str();
            "withheld the entry of a restored store, as a newer one is known"
        );
        metrics::counter!("pistachiowick_entries_withheld_total").increment(1);
        if let Some(entry) = self.entries.get_mut(name) {
            entry.missing = None;
        }
        let withheld = WithheldEntry {
            change: change.clone(),
            until: now.plus(WITHHOLDING_TIME),
        };
        self.withheld.insert(name.clone(), withheld);
        true
    }

    /// Records the departure of an incarnation, announced by the target itself or detected
    /// from an answer at its address.
    pub fn mark_departed(&mut self, incarnation: &TargetIncarnation, now: MonoTime) {
        let current = self.entries.get(incarnation.name());
        let has_entry = current.is_some_and(|entry| entry.record.id == *incarnation);
        if has_entry {
            self.entries.swap_remove(incarnation.name());
        }
        let departure = TargetDeparture { at: now, has_entry };
        self.departed.insert(incarnation.clone(), departure);
    }

    /// Applies a peer's update that an entry was removed; returns true if it was not known
    /// here.
    ///
    /// Its sender could reach the store throughout. So the removal takes effect at once,
    /// even if this daemon cannot tell it from an entry that expired in an outage.
    pub fn apply_removal(&mut self, name: &TargetId, revision: u64, now: MonoTime) -> bool {
        if self.is_outdated(name, revision) {
            return false;
        }
        self.note_revision(name, revision, now);
        self.record_update(name, revision, None, now);
        self.note_entries_gone(|gone| gone == name, now);
        self.drop_entry(name, EntrySource::Peer);
        true
    }

    /// Records that an entry was added, to be announced to peers.
    pub fn note_added(&mut self, name: &TargetId, value: &[u8], now: MonoTime) {
        let value = Some(ByteBuf::from(value));
        self.record_update(name, self.seen_revision(name), value, now);
    }

    /// Returns the entries added or removed recently, without added ones that are no longer
    /// present, for whatever reason.
    pub fn recent_updates(&self) -> impl Iterator<Item = &RecentUpdate> {
        let is_present = |name: &TargetId| {
            let entry = self.entries.get(name);
            entry.is_some_and(|entry| entry.missing.is_none())
        };
        let recent = self.recent_updates.values();
        recent
            .filter(move |recent| recent.update.value.is_none() || is_present(&recent.update.name))
    }

    /// Removes missing entries that did not reappear in time and applies those that were
    /// withheld for long enough; returns true if there were any.
    pub fn expire(&mut self, now: MonoTime) -> bool {
        let released = self.release_withheld(now);
        let before = self.entries.len();
        self.entries.retain(|name, entry| {
            let expired = entry.missing.filter(|missing| now >= missing.until);
            if let Some(missing) = expired {
                log::info!(
                    target_id = name.as_str(),
                    missing_ms = millis(now.since(missing.since));
                    "removed target: its entry did not reappear in the store"
                );
            }
            expired.is_none()
        });
        self.departed
            .retain(|_, departure| departure.has_entry || now.since(departure.at) < DEPARTURE_TTL);
        // Kept for longer than peers announce an update: if it were forgotten earlier, it
        // would be new again and announced forever.
        self.recent_updates
            .retain(|_, recent| now.since(recent.at) < DEPARTURE_TTL);
        let entries = &self.entries;
        self.seen
            .retain(|name, seen| entries.contains_key(name) || now.since(seen.at) < DEPARTURE_TTL);
        released || before != self.entries.len()
    }

    fn release_withheld(&mut self, now: MonoTime) -> bool {
        let is_due = |withheld: &WithheldEntry| now >= withheld.until;
        let due = self.withheld.values().filter(|withheld| is_due(withheld));
        let due: Vec<EntryChange> = due.map(|withheld| withheld.change.clone()).collect();
        let released = !due.is_empty();
        for change in due {
            self.apply(change, EntrySource::Store, now);
        }
        released
    }

    /// Returns when the next missing entry is due for removal, or a withheld one to be applied.
    #[must_use]
    pub fn next_expiry(&self) -> Option<MonoTime> {
        let missing = self.missing_entries().map(|(_, missing)| missing.until);
        let withheld = self.withheld.values().map(|withheld| withheld.until);
        missing.chain(withheld).min()
    }

    /// Returns the targets that may get work, by service and in the same order on all
    /// daemons.
    #[must_use]
    pub fn by_service(&self) -> TargetsByService {
        let mut services = TargetsByService::new();
        for entry in self.entries.values() {
            let service = entry.record.service.clone();
            services
                .entry(service)
                .or_default()
                .push(entry.record.clone());
        }
        for records in services.values_mut() {
            records.sort_by(|a, b| a.id.cmp(&b.id));
        }
        services
    }

    /// Returns whether an incarnation of a target has departed.
    #[must_use]
    pub fn has_departed(&self, incarnation: &TargetIncarnation) -> bool {
        self.departed.contains_key(incarnation)
    }

    /// Returns the incarnations that departed and are still remembered.
    pub fn departed(&self) -> impl Iterator<Item = &TargetIncarnation> {
        self.departed.keys()
    }

    /// Returns the entries that are missing in the store and whose targets still get work.
    pub fn missing_entries(&self) -> impl Iterator<Item = (&TargetIncarnation, MissingEntry)> {
        let entries = self.entries.values();
        entries.filter_map(|entry| Some((&entry.record.id, entry.missing?)))
    }

    fn insert_target(
        &mut self,
        record: TargetRecord,
        revision: u64,
        source: EntrySource,
        now: MonoTime,
    ) -> bool {
        self.note_entries_gone(|name| name == record.id.name(), now);
        if record.leaving && !self.departed.contains_key(&record.id) {
            log::info!(target_id = record.id.as_str(), revision = ObjectVersion(revision).revision(), source = source.as_str(); "target is leaving");
            self.mark_departed(&record.id, now);
        }
        if let Some(departure) = self.departed.get_mut(&record.id) {
            departure.has_entry = true;
            return false;
        }
        let before = self.entries.get(record.id.name());
        let is_new = before.is_none_or(|entry| entry.record.id != record.id);
        log_change(
            before.map(|entry| &*entry.record),
            &record,
            revision,
            source,
        );
        let name = record.id.name().clone();
        let entry = TargetEntry {
            record: Arc::new(record),
            missing: None,
        };
        self.entries.insert(name, entry);
        is_new
    }

    // Records that the store no longer has the entries of the departed incarnations of some names.
    fn note_entries_gone(&mut self, is_gone: impl Fn(&TargetId) -> bool, now: MonoTime) {
        for (incarnation, departure) in &mut self.departed {
            if departure.has_entry && is_gone(incarnation.name()) {
                *departure = TargetDeparture {
                    at: now,
                    has_entry: false,
                };
            }
        }
    }

    fn remove_or_mark_missing(&mut self, name: &TargetId, source: EntrySource, now: MonoTime) {
        if let Some(until) = self.outage.entry_return_deadline(now) {
            self.mark_missing(name, until, source, now);
            return;
        }
        if self.drop_entry(name, source) && source == EntrySource::Store {
            self.record_update(name, self.seen_revision(name), None, now);
        }
    }

    fn drop_entry(&mut self, name: &TargetId, source: EntrySource) -> bool {
        let dropped = self.entries.swap_remove(name).is_some();
        if dropped {
            log::info!(
                target_id = name.as_str(),
                revision = ObjectVersion(self.seen_revision(name)).revision(),
                source = source.as_str();
                "removed target: its entry is no longer in the store"
            );
        }
        dropped
    }

    fn record_update(
        &mut self,
        name: &TargetId,
        revision: u64,
        value: Option<ByteBuf>,
        now: MonoTime,
    ) {
        if revision == 0 {
            return;
        }
        let update = EntryUpdate {
            name: name.clone(),
            revision,
            value,
        };
        self.recent_updates
            .insert(name.clone(), RecentUpdate { update, at: now });
    }

    fn seen_revision(&self, name: &TargetId) -> u64 {
        self.seen.get(name).map_or(0, |seen| seen.revision)
    }

    fn mark_missing(
        &mut self,
        name: &TargetId,
        until: MonoTime,
        source: EntrySource,
        now: MonoTime,
    ) {
        let Some(entry) = self.entries.get_mut(name) else {
            return;
        };
        if entry.missing.is_some() {
            return;
        }
        entry.missing = Some(MissingEntry { since: now, until });
        metrics::counter!("pistachiowick_entries_missing_total").increment(1);
        let failed_for = self.outage.since_last_failure(now).unwrap_or_default();
        log::info!(
            target_id = name.as_str(),
            source = source.as_str(),
            store_failed_ms = millis(failed_for),
            left_ms = millis(until.since(now));
            "target's entry is missing in the store; work is still sent to the target for left_ms"
        );
    }

    // The previous content may be outdated, so the entry's target is removed until the
    // target writes it again, which takes one heartbeat.
    fn ignore_unreadable(
        &mut self,
        name: &TargetId,
        revision: u64,
        error: &WireError,
        source: EntrySource,
    ) {
        let logged_revision = self.unreadable.insert(name.clone(), revision);
        if logged_revision != Some(revision) {
            metrics::counter!("pistachiowick_unreadable_entries_total").increment(1);
            log::warn!(target_id = name.as_str(), revision = ObjectVersion(revision).revision(), source = source.as_str(); "ignored unreadable target entry, other entries stay in use; the target gets no work until it writes the entry again: {error}");
        }
        self.entries.swap_remove(name);
    }

    // A removed entry reappears only with a higher revision.
    fn is_outdated(&self, name: &TargetId, revision: u64) -> bool {
        let removed = self
            .recent_updates
            .get(name)
            .filter(|recent| recent.update.value.is_none());
        let covered = removed.is_some_and(|recent| revision <= recent.update.revision);
        revision > 0 && (covered || revision < self.seen_revision(name))
    }

    fn note_revision(&mut self, name: &TargetId, revision: u64, at: MonoTime) {
        let revision = revision.max(self.seen_revision(name));
        self.seen
            .insert(name.clone(), SeenRevision { revision, at });
    }
}

fn log_change(
    before: Option<&TargetRecord>,
    record: &TargetRecord,
    revision: u64,
    source: EntrySource,
) {
    let message = match before {
        None => "target appeared",
        Some(before) if before.id != record.id => "target restarted",
        Some(before) if before != record => "target changed",
        Some(_) => return,
    };
    log::info!(
        target_id = record.id.as_str(),
        born = record.id.started_at().map_or(0, |at| at.0),
        address = record.address.to_string(),
        service = record.service.as_str(),
        software = record.software.as_str(),
        stage = record.stage.map_or("", |stage| stage.as_str()),
        revision = ObjectVersion(revision).revision(),
        source = source.as_str();
        "{message}"
    );
}
