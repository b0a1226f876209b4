//! Which daemons a hub tells of in a word.
//!
//! A word that tells each reader of each daemon grows with the square of the fleet: at 300
//! daemons in three data centres it was 16 of the 22 MB that a hub sent in a second. What
//! readers act on goes at once; that a daemon is still there goes by turns.

use indexmap::IndexMap;
use xxhash_rust::xxh3::xxh3_64;

use crate::gateway::peers::wire::MemberStatus;
use crate::names::DaemonId;
use crate::target_incarnation::TargetIncarnation;

/// Words in which each daemon is told of once. Words go out every 200 ms and daemons count
/// as away after 2.6 s: over two hubs a note is then at most 1.4 s old, which leaves a hub
/// that goes 1.2 s to be replaced.
const TURNS: u64 = 2;

/// What readers act on at once.
#[derive(Clone, Debug, Eq, PartialEq)]
struct ToldState {
    leaving: bool,
    confirms_keys: bool,
    changing: Vec<TargetIncarnation>,
}

impl From<&MemberStatus> for ToldState {
    fn from(note: &MemberStatus) -> Self {
        Self {
            leaving: note.leaving,
            confirms_keys: note.confirms_keys,
            changing: note.changing.clone(),
        }
    }
}

/// What readers of one kind were told.
#[derive(Debug, Default)]
pub struct MemberBroadcasts {
    told: IndexMap<DaemonId, ToldState>,
    word: u64,
}

impl MemberBroadcasts {
    /// Returns the notes that go out with the next word: those that are new and those
    /// whose turn it is. A reader that missed a word learns of a change at its turn.
    pub fn pick(&mut self, mut notes: Vec<MemberStatus>) -> Vec<MemberStatus> {
        self.word += 1;
        let word = self.word;
        let before = std::mem::take(&mut self.told);
        self.told = notes
            .iter()
            .map(|note| (note.id.clone(), ToldState::from(note)))
            .collect();
        notes.retain(|note| {
            let turn = xxh3_64(note.id.as_str().as_bytes()) % TURNS == word % TURNS;
            turn || before.get(&note.id) != self.told.get(&note.id)
        });
        notes
    }
}
