//! When a daemon may send orders under a lease, take a lease over, and release it.

use std::time::Duration;

use indexmap::IndexMap;
use pistachiowick::authority::lease::LeaseTable;
use pistachiowick::authority::lease_groups::{self, GroupCounts};
use pistachiowick::authority::lease_record::{LeaseRecord, lease_object};
use pistachiowick::authority::lease_state::{LeaseAction, LeaseTimes};
use pistachiowick::membership::fleet::{DaemonView, FleetView, UseState};
use pistachiowick::names::{
    CentreName, DaemonId, FenceNumber, GroupName, MonoTime, ProcessIncarnation, TargetId,
};
use pistachiowick::ports::{ObjectVersion, PlatformError, StoredObject};
use rstest::rstest;

const TIMES: LeaseTimes = LeaseTimes {
    duration: Duration::from_millis(6_000),
    guard: Duration::from_millis(1_500),
    max_order_flight: Duration::from_millis(1_000),
};

fn group() -> GroupName {
    GroupName::from("north-0")
}

fn table(id: &str, rank: usize) -> LeaseTable {
    let mut table = LeaseTable::new(DaemonId::from(id), ProcessIncarnation(1), TIMES);
    table.set_groups(&IndexMap::from([(group(), rank)]), MonoTime(0));
    table
}

fn lost() -> PlatformError {
    PlatformError::Lost {
        reason: "no answer".to_owned(),
    }
}

fn conflict(version: u64) -> PlatformError {
    PlatformError::Conflict {
        current: ObjectVersion(version),
    }
}

fn record_of_other(
    version: u64,
    fence: u64,
    released: bool,
    order_in_flight: bool,
) -> StoredObject {
    let record = LeaseRecord {
        holder: DaemonId::from("other"),
        incarnation: ProcessIncarnation(7),
        fence: FenceNumber(fence),
        write_id: format!("other-{version}"),
        released,
        order_in_flight,
    };
    StoredObject {
        object: lease_object(&group()),
        version: ObjectVersion(version),
        value: Some(record.encode()),
    }
}

/// Ticks until a write is due, answering reads with `found`; returns its time, id and
/// object.
fn write_after(
    table: &mut LeaseTable,
    found: Option<&StoredObject>,
    from: u64,
    to: u64,
) -> Option<(u64, String, StoredObject)> {
    for at in (from..=to).step_by(100) {
        for action in table.tick(MonoTime(at)) {
            match action {
                LeaseAction::Read(group) => {
                    table.note_read(&group, &Ok(found.cloned()), MonoTime(at));
                }
                LeaseAction::Write {
                    write_id, write, ..
                } => {
                    let stored = StoredObject {
                        object: write.object,
                        version: ObjectVersion(write.expected.0 + 1),
                        value: Some(write.value),
                    };
                    return Some((at, write_id, stored));
                }
            }
        }
    }
    None
}

fn acquire(table: &mut LeaseTable, at: u64) -> u64 {
    let (at, write_id, stored) = write_after(table, None, at, at + 20_000).unwrap();
    table.note_write(&group(), &write_id, &Ok(stored.version), MonoTime(at));
    at
}

struct TakeOverCase {
    found: StoredObject,
    rank: usize,
    earliest: u64,
    latest: u64,
}

#[rstest]
#[case::lapsed(TakeOverCase { found: record_of_other(3, 4, false, false), rank: 0, earliest: 7_000, latest: 7_100 })]
#[case::lapsed_second(TakeOverCase { found: record_of_other(3, 4, false, false), rank: 1, earliest: 8_500, latest: 8_600 })]
#[case::released(TakeOverCase { found: record_of_other(3, 4, true, false), rank: 0, earliest: 0, latest: 100 })]
#[case::released_with_order_out(TakeOverCase {
    found: record_of_other(3, 4, true, true), rank: 0, earliest: 1_000, latest: 1_100,
})]
#[case::released_second(TakeOverCase { found: record_of_other(3, 4, true, false), rank: 1, earliest: 6_000, latest: 6_100 })]
/// A lease expires or is released. If it is acquired too early, the last holder may
/// still rely on it and have orders in flight; if too late, nobody orders the engines.
fn takes_over_when_nothing_can_be_under_way(#[case] case: TakeOverCase) {
    let mut table = table("a", case.rank);
    let (at, write_id, stored) = write_after(&mut table, Some(&case.found), 0, 60_000).unwrap();
    assert!((case.earliest..=case.latest).contains(&at), "{at}");
    assert_eq!(LeaseRecord::decode(&stored).unwrap().fence, FenceNumber(5));
    assert!(table.authority(&group(), MonoTime(at)).is_none());
    table.note_write(&group(), &write_id, &Ok(stored.version), MonoTime(at));
    let authority = table.authority(&group(), MonoTime(at)).unwrap();
    assert_eq!(authority.fence, FenceNumber(5));
}

/// The holder renews while a candidate watches: each new version restarts the wait,
/// even if a stale read in between shows an older one.
#[test]
fn a_renewed_lease_is_never_taken() {
    let mut table = table("a", 0);
    for version in 1..20 {
        let from = version * 3_000;
        let newest = record_of_other(version, 4, false, false);
        assert!(write_after(&mut table, Some(&newest), from, from + 1_500).is_none());
        let stale = record_of_other(version - 1, 4, false, false);
        assert!(write_after(&mut table, Some(&stale), from + 1_600, from + 2_900).is_none());
    }
}

/// The response to a write comes late. The lease must count from before the write was
/// sent, or it would outlast the time that other daemons wait.
#[test]
fn authority_counts_from_before_the_write() {
    let mut table = table("a", 0);
    let (at, write_id, stored) = write_after(&mut table, None, 0, 20_000).unwrap();
    table.note_write(
        &group(),
        &write_id,
        &Ok(stored.version),
        MonoTime(at + 1_900),
    );
    let last = at + 6_000 - 1_500;
    assert!(table.authority(&group(), MonoTime(last - 1)).is_some());
    assert!(table.authority(&group(), MonoTime(last)).is_none());
}

/// The process is paused until after its lease expires, and checks the lease before the
/// first tick since then.
#[test]
fn a_pause_ends_authority_without_a_tick() {
    let mut table = table("a", 0);
    let at = acquire(&mut table, 0);
    assert!(table.authority(&group(), MonoTime(at + 4_499)).is_some());
    assert!(table.authority(&group(), MonoTime(at + 60_000)).is_none());
}

enum Answer {
    LostAndApplied,
    LostAndNotApplied,
    TakenOver,
    NoResponse,
}

struct RenewCase {
    answer: Answer,
    keeps: bool,
}

/// The response to a renewal is lost. If the renewal took effect, the lease goes on; if
/// the write met another daemon's record, ordering stops at once, before the old lease
/// expires.
#[rstest]
#[case::applied(RenewCase { answer: Answer::LostAndApplied, keeps: true })]
#[case::not_applied(RenewCase { answer: Answer::LostAndNotApplied, keeps: true })]
#[case::no_response(RenewCase { answer: Answer::NoResponse, keeps: true })]
#[case::taken(RenewCase { answer: Answer::TakenOver, keeps: false })]
fn a_lost_renewal_is_read_back(#[case] case: RenewCase) {
    let mut table = table("a", 0);
    let at = acquire(&mut table, 0);
    let (sent, write_id, stored) = write_after(&mut table, None, at, at + 6_000).unwrap();
    assert!(sent < at + 4_500, "renewed too late to keep ordering");
    let unchanged = StoredObject {
        version: ObjectVersion(stored.version.0 - 1),
        ..stored.clone()
    };
    let found = match case.answer {
        Answer::TakenOver => {
            let taken = record_of_other(stored.version.0, 9, false, false);
            table.note_write(
                &group(),
                &write_id,
                &Err(conflict(stored.version.0)),
                MonoTime(sent),
            );
            assert!(table.authority(&group(), MonoTime(sent)).is_none());
            taken
        }
        Answer::LostAndApplied | Answer::LostAndNotApplied => {
            table.note_write(&group(), &write_id, &Err(lost()), MonoTime(sent));
            if matches!(case.answer, Answer::LostAndApplied) {
                stored
            } else {
                unchanged
            }
        }
        Answer::NoResponse => stored,
    };
    let mut now = sent;
    let mut renewed = false;
    while now < sent + 2_500 && !renewed {
        now += 100;
        for action in table.tick(MonoTime(now)) {
            match action {
                LeaseAction::Read(group) => {
                    table.note_read(&group, &Ok(Some(found.clone())), MonoTime(now));
                }
                LeaseAction::Write {
                    write_id, write, ..
                } => {
                    renewed = true;
                    let version = ObjectVersion(write.expected.0 + 1);
                    table.note_write(&group(), &write_id, &Ok(version), MonoTime(now));
                }
            }
        }
    }
    let later = MonoTime(at + 4_600);
    assert_eq!(table.authority(&group(), later).is_some(), case.keeps);
}

/// Two renewals are sent; the response to the first is lost and it takes effect late,
/// so the second meets a conflict. The conflict is with this daemon's own write, and
/// the lease must not be dropped for it.
#[test]
fn a_late_renewal_of_its_own_does_not_end_the_lease() {
    let mut table = table("a", 0);
    let at = acquire(&mut table, 0);
    let (sent, write_id, first) = write_after(&mut table, None, at, at + 6_000).unwrap();
    table.note_write(&group(), &write_id, &Err(lost()), MonoTime(sent));
    let before = StoredObject {
        version: ObjectVersion(first.version.0 - 1),
        ..first.clone()
    };
    let (again, write_id, _) =
        write_after(&mut table, Some(&before), sent + 100, sent + 900).unwrap();
    table.note_write(
        &group(),
        &write_id,
        &Err(conflict(first.version.0)),
        MonoTime(again),
    );
    assert!(table.authority(&group(), MonoTime(again)).is_some());
    assert!(write_after(&mut table, Some(&first), again + 100, again + 900).is_none());
    let later = MonoTime(at + 4_600);
    assert!(table.authority(&group(), later).is_some());
}

#[test]
fn an_unreachable_platform_ends_the_lease() {
    let mut table = table("a", 0);
    let at = acquire(&mut table, 0);
    let down = PlatformError::Unavailable {
        reason: "down".to_owned(),
        retry_after: Duration::ZERO,
    };
    let mut calls = 0;
    for now in (at..at + 20_000).step_by(100) {
        for action in table.tick(MonoTime(now)) {
            calls += 1;
            match action {
                LeaseAction::Read(group) => {
                    table.note_read(&group, &Err(down.clone()), MonoTime(now));
                }
                LeaseAction::Write { write_id, .. } => {
                    table.note_write(&group(), &write_id, &Err(down.clone()), MonoTime(now));
                }
            }
        }
        let allowed = now < at + 4_500;
        assert_eq!(table.authority(&group(), MonoTime(now)).is_some(), allowed);
    }
    assert!(calls <= 30, "{calls}");
    let changes = table.take_changes();
    assert!(
        changes
            .iter()
            .any(|n| !n.held && n.reason.contains("without a renewal"))
    );
}

/// An engine refuses an order because it has seen a later fence. The lease is given up,
/// and acquired again only with a fence above that one.
#[test]
fn a_fenced_holder_gives_up() {
    let mut table = table("a", 0);
    let at = acquire(&mut table, 0);
    table.give_up(&group(), FenceNumber(40), MonoTime(at + 100));
    assert!(table.authority(&group(), MonoTime(at + 100)).is_none());
    let (again, _, stored) = write_after(&mut table, None, at + 200, at + 60_000).unwrap();
    assert!(again >= at + 6_000);
    assert_eq!(LeaseRecord::decode(&stored).unwrap().fence, FenceNumber(41));
}

/// In a planned stop, ordering ends first, then the record shows the release, and the
/// daemon does not acquire the lease again.
#[test]
fn a_planned_stop_hands_over() {
    let mut table = table("a", 0);
    let at = acquire(&mut table, 0);
    table.set_order_in_flight(&group(), true);
    table.stop();
    assert!(table.authority(&group(), MonoTime(at)).is_none());
    assert!(!table.is_handed_over());
    let (now, write_id, stored) = write_after(&mut table, None, at, at + 300).unwrap();
    let record = LeaseRecord::decode(&stored).unwrap();
    assert!(record.released && record.order_in_flight);
    table.note_write(&group(), &write_id, &Ok(stored.version), MonoTime(now));
    assert!(table.is_handed_over());
    assert!(write_after(&mut table, Some(&stored), now, now + 60_000).is_none());
}

/// The lease moves to a daemon that has ranked first for long, but not to one that
/// joins and leaves again.
#[test]
fn a_lease_moves_to_a_daemon_that_ranks_first_for_long() {
    let mut table = table("a", 0);
    let mut now = acquire(&mut table, 0);
    let mut released = None;
    let end = now + 200_000;
    while released.is_none() && now < end {
        now += 100;
        let first = (20_000..50_000).contains(&now) || now >= 90_000;
        let rank = usize::from(first);
        table.set_groups(&IndexMap::from([(group(), rank)]), MonoTime(now));
        for action in table.tick(MonoTime(now)) {
            let LeaseAction::Write {
                write_id, write, ..
            } = action
            else {
                continue;
            };
            let version = ObjectVersion(write.expected.0 + 1);
            let stored = StoredObject {
                object: write.object,
                version,
                value: Some(write.value),
            };
            if LeaseRecord::decode(&stored).unwrap().released {
                released = Some(now);
            }
            table.note_write(&group(), &write_id, &Ok(version), MonoTime(now));
        }
    }
    let released = released.unwrap();
    assert!((150_000..=150_200).contains(&released), "{released}");
}

/// A daemon ranks second for a minute, the first one is cut off, and the second
/// acquires the lease. It must keep it: if the minute counted as time held while
/// outranked, it would release the lease at once, and nobody would hold it while the
/// first daemon is unreachable.
#[test]
fn a_daemon_that_takes_over_late_keeps_the_lease() {
    let mut table = table("a", 1);
    let unchanged_record = record_of_other(3, 4, false, false);
    let (at, write_id, stored) =
        write_after(&mut table, Some(&unchanged_record), 60_000, 80_000).unwrap();
    table.note_write(&group(), &write_id, &Ok(stored.version), MonoTime(at));
    table.set_groups(&IndexMap::from([(group(), 1)]), MonoTime(at + 100));
    let next = write_after(&mut table, None, at + 100, at + 4_000);
    let (_, _, stored) = next.expect("a renewal");
    assert!(!LeaseRecord::decode(&stored).unwrap().released);
}

fn fleet(daemons: &[(&str, &str)]) -> FleetView {
    let views = daemons.iter().map(|(id, centre)| {
        let view = DaemonView {
            id: DaemonId::from(*id),
            address: String::new(),
            peer_address: String::new(),
            data_centre: CentreName::from(*centre),
            incarnation: ProcessIncarnation(1),
            state: UseState::Live,
        };
        (view.id.clone(), view)
    });
    FleetView {
        daemons: views.collect(),
        ..FleetView::default()
    }
}

#[test]
fn each_group_has_one_leader_of_its_data_centre() {
    let daemons = [
        ("a", "north"),
        ("b", "north"),
        ("c", "north"),
        ("d", "north"),
        ("e", "south"),
    ];
    let fleet = fleet(&daemons);
    let counts: GroupCounts = IndexMap::from([
        (CentreName::from("north"), 8),
        (CentreName::from("west"), 1),
    ]);
    let mut candidates_by_group: IndexMap<GroupName, Vec<(usize, &str)>> = IndexMap::new();
    for (id, _) in daemons {
        for (group, rank) in lease_groups::local_ranks(&fleet, &counts, &DaemonId::from(id)) {
            candidates_by_group
                .entry(group)
                .or_default()
                .push((rank, id));
        }
    }
    assert_eq!(candidates_by_group.len(), 10);
    for (group, candidates) in &candidates_by_group {
        let mut ranks: Vec<usize> = candidates.iter().map(|(rank, _)| *rank).collect();
        ranks.sort_unstable();
        assert_eq!(ranks, [0, 1, 2], "{group}");
        if group.as_str().starts_with("north") {
            assert!(candidates.iter().all(|(_, id)| *id != "e"));
        }
    }
    let first: Vec<&str> = candidates_by_group
        .values()
        .flat_map(|c| c.iter().filter(|(rank, _)| *rank == 0).map(|(_, id)| *id))
        .collect();
    assert!(
        first.iter().any(|id| *id != first[0]),
        "one daemon ranks first in every group"
    );
}

#[rstest]
#[case(0, 64, 1)]
#[case(4, 64, 1)]
#[case(64, 64, 1)]
#[case(65, 64, 2)]
#[case(632, 64, 13)]
fn group_counts_leave_room(
    #[case] engines: usize,
    #[case] max_group_engines: usize,
    #[case] count: u32,
) {
    assert_eq!(
        lease_groups::initial_group_count(engines, max_group_engines),
        count
    );
    let centre = CentreName::from("north");
    let mut sizes: IndexMap<GroupName, usize> = IndexMap::new();
    for number in 0..engines {
        let target = TargetId::from(format!("engine-{number}"));
        *sizes
            .entry(lease_groups::group_of(&centre, &target, count))
            .or_default() += 1;
    }
    assert!(
        sizes.values().all(|size| *size <= max_group_engines),
        "{sizes:?}"
    );
}

/// The lease of a failed holder is read, and every other read is stale. If the older
/// record counted as a change, the wait would restart each time and the group would
/// stay without a holder.
#[test]
fn stale_reads_do_not_restart_the_wait() {
    let mut table = table("a", 0);
    let (newest, stale) = (
        record_of_other(3, 4, false, false),
        record_of_other(2, 4, false, false),
    );
    let mut reads = 0;
    for at in (0..=8_000).step_by(100) {
        for action in table.tick(MonoTime(at)) {
            let LeaseAction::Read(group) = action else {
                assert!(at >= 7_000, "{at}");
                return;
            };
            reads += 1;
            let found = if reads % 2 == 1 { &newest } else { &stale };
            table.note_read(&group, &Ok(Some(found.clone())), MonoTime(at));
        }
    }
    panic!("never taken over");
}
