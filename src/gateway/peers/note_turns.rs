//! Which daemons' status a hub includes in a message.
//!
//! With the status of each daemon in each message, the traffic of a hub grows with the
//! square of the fleet: at 300 daemons in three data centres it was 16 of the 22 MB that a
//! hub sent per second. Changes that receivers act on are sent at once; that a daemon is
//! still reachable is sent in rotation.

use indexmap::IndexMap;
use xxhash_rust::xxh3::xxh3_64;

use crate::gateway::peers::wire::MemberNote;
use crate::names::DaemonId;
use crate::target_life::TargetLife;

/// Number of messages in which each daemon is included once. Messages are sent every 200 ms
/// and daemons count as unreachable after 2.6 s: through two hubs, a status is then at most
/// 1.4 s old, which leaves 1.2 s to replace a hub that fails.
const TURNS: u64 = 2;

/// The part of a daemon's status that receivers act on at once.
#[derive(Clone, Debug, Eq, PartialEq)]
struct ToldState {
    leaving: bool,
    confirms_keys: bool,
    changing: Vec<TargetLife>,
}

impl From<&MemberNote> for ToldState {
    fn from(note: &MemberNote) -> Self {
        Self {
            leaving: note.leaving,
            confirms_keys: note.confirms_keys,
            changing: note.changing.clone(),
        }
    }
}

/// The status last sent to one kind of receivers (members or hubs).
#[derive(Debug, Default)]
pub struct NoteTurns {
    told: IndexMap<DaemonId, ToldState>,
    word: u64,
}

impl NoteTurns {
    /// Returns the status that goes into the next message: of daemons that changed and of
    /// those that are next in the rotation. A receiver that missed a message learns of a
    /// change by the rotation.
    pub fn pick(&mut self, mut notes: Vec<MemberNote>) -> Vec<MemberNote> {
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
