//! Leases in a store that is restored from an older copy: fences and holders that it lost.

use std::time::Duration;

use indexmap::IndexMap;
use pistachiowick::authority::lease::LeaseTable;
use pistachiowick::authority::lease_record::{LeaseRecord, lease_object};
use pistachiowick::authority::lease_state::{LeaseAction, LeaseTimes};
use pistachiowick::names::{DaemonId, FenceNumber, GroupName, MonoTime, ProcessIncarnation};
use pistachiowick::ports::{ObjectVersion, PlatformError, StoredObject};
use rstest::rstest;

const TIMES: LeaseTimes = LeaseTimes {
    duration: Duration::from_millis(6_000),
    guard: Duration::from_millis(1_500),
    max_order_flight: Duration::from_millis(1_000),
};
/// Time for which a record has to stay unchanged until its holder has certainly stopped.
const EXPIRY_MS: u64 = 7_000;
/// Time within which a lease that may be taken is taken.
const LIMIT_MS: u64 = 20_000;
const STEP_MS: u64 = 100;

/// A store with one lease, its clock, and copies of it.
struct FakeStore {
    now: u64,
    era: u64,
    revision: u64,
    stored: Option<(u64, Vec<u8>)>,
    // Fences under which a lease was acquired, in order.
    acquired: Vec<FenceNumber>,
}

type StoreCopy = (u64, Option<(u64, Vec<u8>)>);

impl FakeStore {
    fn new(era: u64) -> Self {
        Self {
            now: 0,
            era,
            revision: 10,
            stored: None,
            acquired: Vec::new(),
        }
    }

    fn copy(&self) -> StoreCopy {
        (self.revision, self.stored.clone())
    }

    fn restore(&mut self, copy: StoreCopy) {
        self.era += 1;
        (self.revision, self.stored) = copy;
    }

    fn read(&self) -> Option<StoredObject> {
        let (revision, value) = self.stored.clone()?;
        Some(StoredObject {
            object: lease_object(&group()),
            version: ObjectVersion::in_era(self.era, revision),
            value: Some(value),
        })
    }

    // As the adapter does, a write in another era is refused.
    fn write(
        &mut self,
        expected: ObjectVersion,
        value: Vec<u8>,
    ) -> Result<ObjectVersion, PlatformError> {
        let current = self.stored.as_ref().map_or(ObjectVersion(0), |(r, _)| {
            ObjectVersion::in_era(self.era, *r)
        });
        if expected != current {
            return Err(PlatformError::Conflict { current });
        }
        self.revision += 1;
        self.stored = Some((self.revision, value));
        Ok(ObjectVersion::in_era(self.era, self.revision))
    }

    fn record(&self) -> LeaseRecord {
        LeaseRecord::decode(&self.read().expect("a record")).expect("a valid record")
    }

    /// Runs a daemon until it acquires the lease, for `limit_ms` at most; returns when it did.
    fn acquire(&mut self, daemon: &mut LeaseTable, limit_ms: u64) -> Option<u64> {
        let end = self.now + limit_ms;
        while self.now < end {
            self.step(daemon);
            let authority = daemon.authority(&group(), MonoTime(self.now));
            if let Some(authority) = authority {
                self.acquired.push(authority.fence);
                return Some(self.now);
            }
            self.now += STEP_MS;
        }
        None
    }

    fn step(&mut self, daemon: &mut LeaseTable) {
        let now = MonoTime(self.now);
        for action in daemon.tick(now) {
            match action {
                LeaseAction::Read(group) => {
                    // The answer names the era, also without an object.
                    daemon.note_era(self.era);
                    daemon.note_read(&group, &Ok(self.read()), now);
                }
                LeaseAction::Write {
                    group,
                    write_id,
                    write,
                } => {
                    let result = self.write(write.expected, write.value);
                    daemon.note_write(&group, &write_id, &result, now);
                }
            }
        }
    }

    fn pass(&mut self, daemon: &mut LeaseTable, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            self.step(daemon);
            self.now += STEP_MS;
        }
    }
}

fn group() -> GroupName {
    GroupName::from("duties")
}

fn daemon(id: &str) -> LeaseTable {
    let mut table = LeaseTable::new(DaemonId::from(id), ProcessIncarnation(1), TIMES);
    table.set_groups(&IndexMap::from([(group(), 0)]), MonoTime(0));
    table
}

enum Copy {
    // Made before the lease was first acquired.
    Empty,
    // Made while the first holder held it.
    OfFirstHolder,
    // Made after the first holder had released it.
    Released,
}

struct FenceCase {
    copy: Copy,
    restores: u64,
    // Whether the daemon that takes the lease then has just started.
    restarted: bool,
}

// Guards against a fence that two daemons use, as the record of the second holder was lost with
// the restore.
#[rstest]
#[case::lost(FenceCase { copy: Copy::Empty, restores: 1, restarted: false })]
#[case::lost_and_restarted(FenceCase { copy: Copy::Empty, restores: 1, restarted: true })]
#[case::older_holder(FenceCase { copy: Copy::OfFirstHolder, restores: 1, restarted: false })]
#[case::older_holder_and_restarted(FenceCase { copy: Copy::OfFirstHolder, restores: 1, restarted: true })]
#[case::released(FenceCase { copy: Copy::Released, restores: 1, restarted: false })]
#[case::released_and_restarted(FenceCase { copy: Copy::Released, restores: 1, restarted: true })]
#[case::twice(FenceCase { copy: Copy::OfFirstHolder, restores: 2, restarted: false })]
#[case::twice_and_restarted(FenceCase { copy: Copy::Released, restores: 3, restarted: true })]
fn fences_rise_over_restores(#[case] case: FenceCase) {
    let mut store = FakeStore::new(1);
    let empty = store.copy();
    let (mut first, mut second) = (daemon("a"), daemon("b"));
    store.acquire(&mut first, LIMIT_MS).expect("a first holder");
    let held = store.copy();
    first.stop();
    store.pass(&mut first, 500);
    assert!(store.record().released);
    let released = store.copy();
    store.acquire(&mut second, LIMIT_MS).expect("a second one");
    let copy = match case.copy {
        Copy::Empty => empty,
        Copy::OfFirstHolder => held,
        Copy::Released => released,
    };
    for _ in 0..case.restores {
        store.restore(copy.clone());
        let mut next = if case.restarted {
            daemon("c")
        } else {
            daemon("a")
        };
        if !case.restarted {
            // It has been running since before the restore.
            next.note_era(1);
        }
        store.acquire(&mut next, LIMIT_MS).expect("a next holder");
        second.note_era(store.era);
        store.acquire(&mut second, LIMIT_MS).expect("it takes over");
    }
    let fences = &store.acquired;
    assert!(fences.windows(2).all(|two| two[0] < two[1]), "{fences:?}");
}

struct WaitCase {
    copy: Copy,
}

// Guards against a second holder beside one whose record was lost with the restore.
#[rstest]
#[case::lost(WaitCase { copy: Copy::Empty })]
#[case::older_holder(WaitCase { copy: Copy::OfFirstHolder })]
#[case::released(WaitCase { copy: Copy::Released })]
fn a_record_of_an_earlier_era_does_not_show_the_holder(#[case] case: WaitCase) {
    let mut store = FakeStore::new(1);
    let empty = store.copy();
    let (mut first, mut second) = (daemon("a"), daemon("b"));
    store.acquire(&mut first, LIMIT_MS).expect("a first holder");
    let held = store.copy();
    first.stop();
    store.pass(&mut first, 500);
    let released = store.copy();
    store.acquire(&mut second, LIMIT_MS).expect("a second one");
    let restored_at = store.now;
    store.restore(match case.copy {
        Copy::Empty => empty,
        Copy::OfFirstHolder => held,
        Copy::Released => released,
    });
    let mut third = daemon("c");
    let acquired_at = store.acquire(&mut third, LIMIT_MS);
    let waited = acquired_at.expect("it is acquired in the end") - restored_at;
    assert!(waited >= EXPIRY_MS, "{waited}");
    assert!(
        second
            .authority(&group(), MonoTime(restored_at + waited))
            .is_none(),
        "two holders"
    );
}

// Guards against a holder that acts on after the restore has taken its lease away.
#[test]
fn a_new_era_ends_the_lease_at_once() {
    let mut store = FakeStore::new(1);
    let mut holder = daemon("a");
    let copy = store.copy();
    store.acquire(&mut holder, LIMIT_MS).expect("a holder");
    store.restore(copy);
    holder.note_era(store.era);
    assert!(holder.authority(&group(), MonoTime(store.now)).is_none());
    assert!(holder.take_changes().iter().any(|change| !change.held));
}

// Guards against a holder that takes its own write of before the restore for a lease.
#[test]
fn an_own_write_of_an_earlier_era_is_no_lease() {
    let mut store = FakeStore::new(1);
    let mut holder = daemon("a");
    store.acquire(&mut holder, LIMIT_MS).expect("a holder");
    let restored_at = store.now;
    store.restore(store.copy());
    // It learns of the restore by its next renewal.
    store.pass(&mut holder, 3_500);
    assert!(holder.authority(&group(), MonoTime(store.now)).is_none());
    let acquired_at = store.acquire(&mut holder, LIMIT_MS).expect("a lease");
    assert!(acquired_at - restored_at >= EXPIRY_MS);
    assert_eq!(store.acquired[1].era(), 2);
}

struct FlightCase {
    // Whether the answer to the write is lost, so that it is read back.
    is_lost: bool,
}

// Guards against a lease by a write that was sent before the restore and took effect after it.
#[rstest]
#[case::answered(FlightCase { is_lost: false })]
#[case::read_back(FlightCase { is_lost: true })]
fn a_write_that_crosses_the_restore_gives_no_lease(#[case] case: FlightCase) {
    let mut store = FakeStore::new(1);
    let mut candidate = daemon("a");
    candidate.note_era(1);
    let (write_id, value) = loop {
        let now = MonoTime(store.now);
        match candidate.tick(now).pop() {
            Some(LeaseAction::Read(group)) => candidate.note_read(&group, &Ok(None), now),
            Some(LeaseAction::Write {
                write_id, write, ..
            }) => break (write_id, write.value),
            None => store.now += STEP_MS,
        }
    };
    store.restore(store.copy());
    let version = store.write(ObjectVersion(0), value).expect("it is created");
    let result = match case.is_lost {
        true => Err(PlatformError::Lost {
            reason: "no answer".to_owned(),
        }),
        false => Ok(version),
    };
    let now = store.now;
    candidate.note_write(&group(), &write_id, &result, MonoTime(now));
    let acquired_at = store.acquire(&mut candidate, LIMIT_MS).expect("a lease");
    assert!(acquired_at - now >= EXPIRY_MS, "{}", acquired_at - now);
    assert_eq!(store.acquired, [FenceNumber::first_in(2)]);
}

// Guards against a first start that waits for holders which cannot exist.
#[test]
fn the_first_holder_of_a_new_fleet_does_not_wait() {
    let mut store = FakeStore::new(7);
    let mut table = LeaseTable::of_new_fleet(DaemonId::from("a"), ProcessIncarnation(1), TIMES);
    table.set_groups(&IndexMap::from([(group(), 0)]), MonoTime(0));
    assert!(store.acquire(&mut table, 500).is_some());
    assert!(table.is_first_holder(&group()));
    table.note_era(8);
    store.restore((10, None));
    assert!(store.acquire(&mut table, EXPIRY_MS - STEP_MS).is_none());
    assert!(store.acquire(&mut table, LIMIT_MS).is_some());
    assert!(!table.is_first_holder(&group()));
}
