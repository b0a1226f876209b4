//! Which daemons' status a hub includes in a message.
//!
//! With the status of each daemon in each message, the traffic of a hub grows with the
//! square of the fleet: at 300 daemons in three data centres it was 16 of the 22 MB that a
//! hub sent per second. Changes that receivers act on are sent at once; an unchanged status,
//! which only shows that the daemon is still reachable, is sent in rotation.

use indexmap::IndexMap;
use xxhash_rust::xxh3::xxh3_64;

use crate::gateway::peers::wire::MemberStatus;
use crate::names::DaemonId;
use crate::target_incarnation::TargetIncarnation;

/// Number of messages in which each daemon is included once. Messages are sent every 200 ms
/// and daemons count as unreachable after 2.6 s: through two hubs, a status is then at most
/// 1.4 s old, which leaves 1.2 s to replace a hub that fails.
const ROTATION_LENGTH: u64 = 2;

/// The part of a daemon's status that receivers act on at once.
#[derive(Clone, Debug, Eq, PartialEq)]
struct SentStatus {
    leaving: bool,
    confirms_keys: bool,
    changing: Vec<TargetIncarnation>,
}

impl From<&MemberStatus> for SentStatus {
    fn from(member: &MemberStatus) -> Self {
        Self {
            leaving: member.leaving,
            confirms_keys: member.confirms_keys,
            changing: member.changing.clone(),
        }
    }
}

/// The status last sent to one kind of receivers (members or hubs).
#[derive(Debug, Default)]
pub struct MemberBroadcasts {
    sent: IndexMap<DaemonId, SentStatus>,
    message_number: u64,
}

impl MemberBroadcasts {
    /// Returns the status that goes into the next message: of daemons that changed and of
    /// those that are next in the rotation. A receiver that missed a message learns of a
    /// change by the rotation.
    pub fn due_members(&mut self, mut members: Vec<MemberStatus>) -> Vec<MemberStatus> {
        self.message_number += 1;
        let message_number = self.message_number;
        let before = std::mem::take(&mut self.sent);
        self.sent = members
            .iter()
            .map(|member| (member.id.clone(), SentStatus::from(member)))
            .collect();
        members.retain(|member| {
            let is_due = xxh3_64(member.id.as_str().as_bytes()) % ROTATION_LENGTH
                == message_number % ROTATION_LENGTH;
            is_due || before.get(&member.id) != self.sent.get(&member.id)
        });
        members
    }
}
