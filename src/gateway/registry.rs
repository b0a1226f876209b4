//! Targets as the store shows them, with entries that vanish without reason kept a while.
//!
//! Entries expire while the store is away although their targets live. Taking each
//! disappearance as a departure would empty the fleet after an outage; keeping
//! each would send work to targets that are gone. So: an entry that disappears
//! while the store was answering all the time is gone at once, one that
//! disappears around an outage has [`ENTRY_RETURN_TIME`] from the store's return, unless
//! another daemon heard the store all along and tells that it ended.
//!
//! A departure ends one life of a target. The store's revisions tell which of two
//! entries of a name is newer; targets' own clocks may step.
//!
//! [`ENTRY_RETURN_TIME`]: crate::gateway::store_contact::ENTRY_RETURN_TIME

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use serde_bytes::ByteBuf;
use serde_tuple::{Deserialize_tuple, Serialize_tuple};

use crate::gateway::fleet::TargetsByService;
use crate::gateway::model::TargetRecord;
use crate::gateway::port::WireError;
use crate::gateway::store_contact::StoreOutageTracker;
use crate::names::{MonoTime, TargetId, millis};
use crate::target_incarnation::TargetIncarnation;

/// How long the end of a life, and the revision of a name's last entry, are
/// remembered: longer than any stale view of them can arrive.
const DEPARTED_TIME: Duration = Duration::from_secs(120);
/// Where word of targets comes from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EntrySource {
    /// Another daemon, which read the store and passes on what it read.
    Hub,
    /// Another daemon's word that an entry began or ended.
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

/// What an entry says.
#[derive(Clone, Debug, PartialEq)]
pub enum EntryContent {
    /// The store holds it no more.
    Gone,
    /// It names a target.
    Named(TargetRecord),
    /// It names none: another writer wrote it, or over it.
    Unreadable(WireError),
}

/// One entry as it was read.
#[derive(Clone, Debug, PartialEq)]
pub struct EntryChange {
    /// Name of the entry.
    pub name: TargetId,
    /// The store's revision of its last change; 0 where it is not told.
    pub revision: u64,
    /// What it says.
    pub content: EntryContent,
}

#[derive(Clone, Debug)]
struct TargetEntry {
    record: Arc<TargetRecord>,
    missing: Option<MissingEntry>,
}

/// An entry that the store holds no more and whose target still gets work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MissingEntry {
    /// When it was found missing.
    pub since: MonoTime,
    /// When it is given up.
    pub until: MonoTime,
}

/// What daemons tell each other of an entry: that it began or that it ended.
#[derive(Clone, Debug, Deserialize_tuple, Eq, PartialEq, Serialize_tuple)]
pub struct EntryUpdate {
    /// Name of the entry.
    pub name: TargetId,
    /// Revision of the change. An entry that ended is over up to it.
    pub revision: u64,
    /// Its value; `None` where it ended.
    pub value: Option<ByteBuf>,
}

/// A note that is remembered.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RecentUpdate {
    /// What is told.
    pub note: EntryUpdate,
    /// When it was learned.
    pub at: MonoTime,
}

#[derive(Clone, Copy, Debug)]
struct SeenRevision {
    revision: u64,
    at: MonoTime,
}

/// All targets known.
#[derive(Clone, Debug, Default)]
pub struct TargetRegistry {
    entries: IndexMap<TargetId, TargetEntry>,
    // Lives that announced their end. An older entry may be seen later, from a peer or
    // a stale read; leaving stays leaving for the life.
    departed: IndexMap<TargetIncarnation, MonoTime>,
    // Newest revision seen of each name, so that an older entry undoes nothing.
    seen: IndexMap<TargetId, SeenRevision>,
    // Entries that began or certainly ended, for daemons that do not hear the store.
    notes: IndexMap<TargetId, RecentUpdate>,
    // Entries that name no target, by the revision that was logged.
    unreadable: IndexMap<TargetId, u64>,
    contact: StoreOutageTracker,
    // Revision up to which this daemon itself read all changes.
    read_through: u64,
}

impl TargetRegistry {
    /// Notes that the store did not answer a call that was begun at `asked`.
    pub fn note_store_failure(&mut self, asked: MonoTime, now: MonoTime) {
        self.contact.note_failure(asked, now);
    }

    /// Notes that the store answered a call, whatever it was about.
    pub fn note_store_answer(&mut self, now: MonoTime) {
        self.contact.note_answer(now);
    }

    /// Notes that all changes up to a revision were taken.
    pub fn note_read_through(&mut self, revision: u64) {
        self.read_through = revision;
    }

    /// Takes a whole listing.
    pub fn replace(&mut self, listing: Vec<EntryChange>, source: EntrySource, now: MonoTime) {
        let listed: Vec<TargetId> = listing.iter().map(|news| news.name.clone()).collect();
        for news in listing {
            self.take(news, source, now);
        }
        let missing: Vec<TargetId> = self
            .entries
            .keys()
            .filter(|name| !listed.contains(name))
            .cloned()
            .collect();
        for name in missing {
            self.remove(&name, source, now);
        }
        self.unreadable.retain(|name, _| listed.contains(name));
    }

    /// Takes one entry, unless a newer one of its name is known; true when a target's life
    /// began with it.
    pub fn take(&mut self, news: EntryChange, source: EntrySource, now: MonoTime) -> bool {
        let EntryChange {
            name,
            revision,
            content,
        } = news;
        // Of what others tell, this daemon has read what is not newer than its own reading.
        let was_read = source == EntrySource::Peer && revision <= self.read_through;
        if was_read || self.is_outdated(&name, revision) {
            return false;
        }
        self.note_revision(&name, revision, now);
        match content {
            EntryContent::Gone => {
                self.unreadable.swap_remove(&name);
                self.remove(&name, source, now);
                false
            }
            EntryContent::Named(record) => {
                self.unreadable.swap_remove(&name);
                self.set(record, revision, source, now)
            }
            EntryContent::Unreadable(fault) => {
                self.leave_out(&name, revision, &fault, source);
                false
            }
        }
    }

    /// Takes the end of a life, announced by the target itself or noticed by an answer.
    pub fn depart(&mut self, life: &TargetIncarnation, now: MonoTime) {
        let current = self.entries.get(life.name());
        if current.is_some_and(|entry| entry.record.id == *life) {
            self.entries.swap_remove(life.name());
        }
        self.departed.insert(life.clone(), now);
    }

    /// Takes another daemon's word that an entry ended; true when it is news here.
    ///
    /// Who tells it heard the store all along. So the end counts at once, also where this
    /// daemon could not tell it from an entry that lapsed in an outage.
    pub fn take_end(&mut self, name: &TargetId, revision: u64, now: MonoTime) -> bool {
        if self.is_outdated(name, revision) {
            return false;
        }
        self.note_revision(name, revision, now);
        self.keep_note(name, revision, None, now);
        self.drop_entry(name, EntrySource::Peer);
        true
    }

    /// Keeps that an entry began, for other daemons.
    pub fn note_begun(&mut self, name: &TargetId, value: &[u8], now: MonoTime) {
        let value = Some(ByteBuf::from(value));
        self.keep_note(name, self.seen_revision(name), value, now);
    }

    /// Entries that began or ended lately. The begin of one that is not here any more, for
    /// whatever reason, is left out.
    pub fn notes(&self) -> impl Iterator<Item = &RecentUpdate> {
        let is_here = |name: &TargetId| {
            let entry = self.entries.get(name);
            entry.is_some_and(|entry| entry.missing.is_none())
        };
        let kept = self.notes.values();
        kept.filter(move |kept| kept.note.value.is_none() || is_here(&kept.note.name))
    }

    /// Gives up entries that did not come back in time; true when some were.
    pub fn expire(&mut self, now: MonoTime) -> bool {
        let before = self.entries.len();
        self.entries.retain(|name, entry| {
            let given_up = entry.missing.filter(|missing| now >= missing.until);
            if let Some(missing) = given_up {
                log::info!(
                    target_id = name.as_str(),
                    missing_ms = millis(now.since(missing.since));
                    "target's entry did not come back"
                );
            }
            given_up.is_none()
        });
        self.departed.retain(|_, at| now.since(*at) < DEPARTED_TIME);
        // Kept for longer than others tell it: what is learned anew would be told for ever.
        self.notes
            .retain(|_, kept| now.since(kept.at) < DEPARTED_TIME);
        let entries = &self.entries;
        self.seen
            .retain(|name, seen| entries.contains_key(name) || now.since(seen.at) < DEPARTED_TIME);
        before != self.entries.len()
    }

    /// When the next missing entry is given up.
    #[must_use]
    pub fn next_expiry(&self) -> Option<MonoTime> {
        self.missing().map(|(_, missing)| missing.until).min()
    }

    /// Targets that may get work, by service, in an order that all daemons share.
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

    /// Whether a life of a target announced its end.
    #[must_use]
    pub fn has_departed(&self, life: &TargetIncarnation) -> bool {
        self.departed.contains_key(life)
    }

    /// Lives that ended and are still remembered.
    pub fn departed(&self) -> impl Iterator<Item = &TargetIncarnation> {
        self.departed.keys()
    }

    /// Entries that the store holds no more and whose targets still get work.
    pub fn missing(&self) -> impl Iterator<Item = (&TargetIncarnation, MissingEntry)> {
        let entries = self.entries.values();
        entries.filter_map(|entry| Some((&entry.record.id, entry.missing?)))
    }

    fn set(
        &mut self,
        record: TargetRecord,
        revision: u64,
        source: EntrySource,
        now: MonoTime,
    ) -> bool {
        if self.departed.contains_key(&record.id) {
            return false;
        }
        if record.leaving {
            log::info!(target_id = record.id.as_str(), revision = revision, source = source.as_str(); "target leaves");
            self.depart(&record.id, now);
            return false;
        }
        let before = self.entries.get(record.id.name());
        let begins = before.is_none_or(|entry| entry.record.id != record.id);
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
        begins
    }

    fn remove(&mut self, name: &TargetId, source: EntrySource, now: MonoTime) {
        if let Some(until) = self.contact.entry_return_deadline(now) {
            self.miss(name, until, source, now);
            return;
        }
        if self.drop_entry(name, source) && source == EntrySource::Store {
            self.keep_note(name, self.seen_revision(name), None, now);
        }
    }

    fn drop_entry(&mut self, name: &TargetId, source: EntrySource) -> bool {
        let dropped = self.entries.swap_remove(name).is_some();
        if dropped {
            log::info!(
                target_id = name.as_str(),
                revision = self.seen_revision(name),
                source = source.as_str();
                "target's entry is gone"
            );
        }
        dropped
    }

    fn keep_note(&mut self, name: &TargetId, revision: u64, value: Option<ByteBuf>, now: MonoTime) {
        if revision == 0 {
            return;
        }
        let note = EntryUpdate {
            name: name.clone(),
            revision,
            value,
        };
        self.notes
            .insert(name.clone(), RecentUpdate { note, at: now });
    }

    fn seen_revision(&self, name: &TargetId) -> u64 {
        self.seen.get(name).map_or(0, |seen| seen.revision)
    }

    fn miss(&mut self, name: &TargetId, until: MonoTime, source: EntrySource, now: MonoTime) {
        let Some(entry) = self.entries.get_mut(name) else {
            return;
        };
        if entry.missing.is_some() {
            return;
        }
        entry.missing = Some(MissingEntry { since: now, until });
        metrics::counter!("pistachiowick_entries_missing_total").increment(1);
        let failed_for = self.contact.failed_for(now).unwrap_or_default();
        log::info!(
            target_id = name.as_str(),
            source = source.as_str(),
            store_failed_ms = millis(failed_for),
            left_ms = millis(until.since(now));
            "target's entry is missing; it gets work for a while"
        );
    }

    // What the entry said before is no more known to hold, so it names no target until
    // its own writer writes it again, which takes a heartbeat.
    fn leave_out(
        &mut self,
        name: &TargetId,
        revision: u64,
        fault: &WireError,
        source: EntrySource,
    ) {
        let logged = self.unreadable.insert(name.clone(), revision);
        if logged != Some(revision) {
            metrics::counter!("pistachiowick_unreadable_entries_total").increment(1);
            log::warn!(target_id = name.as_str(), revision = revision, source = source.as_str(); "target's entry left out, the others hold: {fault}");
        }
        self.entries.swap_remove(name);
    }

    // An entry that ended is not seen again with the revision that it had.
    fn is_outdated(&self, name: &TargetId, revision: u64) -> bool {
        let ended = self
            .notes
            .get(name)
            .filter(|kept| kept.note.value.is_none());
        let over = ended.is_some_and(|kept| revision <= kept.note.revision);
        revision > 0 && (over || revision < self.seen_revision(name))
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
        Some(before) if before.id != record.id => "target started again",
        Some(before) if before != record => "target changed",
        Some(_) => return,
    };
    log::info!(
        target_id = record.id.as_str(),
        born = record.id.born().map_or(0, |born| born.0),
        address = record.address.to_string(),
        service = record.service.as_str(),
        stage = record.stage.map_or("", |stage| stage.as_str()),
        revision = revision,
        source = source.as_str();
        "{message}"
    );
}
