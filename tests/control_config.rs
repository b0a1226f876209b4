//! Configuration buckets: validation, edits and applying objects in any order.

use std::time::Duration;

use pistachiowick::config::buckets::{
    self, ApplyResult, BUCKETS, BucketIndex, BucketRecord, ConfigState, TOMBSTONE_AGE,
};
use pistachiowick::config::catalogue::{
    ClassSpec, ClassTarget, HoldSpec, ItemKind, ItemName, ItemSpec, ModelChoice, ModelSpec,
    WorkspaceSpec,
};
use pistachiowick::control::snapshot::ConfigView;
use pistachiowick::control::{ChangeError, ItemChange};
use pistachiowick::names::{ClassName, ModelName, TargetId, UnixTime, WorkspaceName};
use pistachiowick::ports::{ObjectName, ObjectVersion, StoredObject};
use rstest::rstest;

fn workspace(name: &str) -> ItemSpec {
    ItemSpec::Workspace(WorkspaceSpec {
        name: WorkspaceName::from(name),
        weight: 1,
        key_hashes: Vec::new(),
    })
}

fn workspace_with_key(name: &str, hash: &str) -> ItemSpec {
    ItemSpec::Workspace(WorkspaceSpec {
        name: WorkspaceName::from(name),
        weight: 1,
        key_hashes: vec![hash.to_owned()],
    })
}

fn class(workspace: &str, name: &str, model: &str) -> ClassSpec {
    ClassSpec {
        workspace: WorkspaceName::from(workspace),
        name: ClassName::from(name),
        deadline_ms: 1_000,
        priority: 1,
        repeatable: true,
        target: ClassTarget::Models(ModelChoice {
            models: vec![ModelName::from(model)],
            ..ModelChoice::default()
        }),
    }
}

fn model(name: &str) -> ItemSpec {
    ItemSpec::Model(ModelSpec {
        name: ModelName::from(name),
        versions: vec!["1".to_owned()],
        adapters: Vec::new(),
        weight_bytes: 1,
        least_engines: 1,
    })
}

fn put(spec: ItemSpec, based_on: u64) -> ItemChange {
    ItemChange {
        item: spec.item_name(),
        spec: Some(spec),
        based_on,
    }
}

fn remove(spec: &ItemSpec, based_on: u64) -> ItemChange {
    ItemChange {
        item: spec.item_name(),
        spec: None,
        based_on,
    }
}

fn stored(item: &ItemName, version: u64, bucket: &BucketRecord) -> StoredObject {
    StoredObject {
        object: BucketIndex::of(item).object(),
        version: ObjectVersion(version),
        value: Some(bucket.encode().unwrap()),
    }
}

/// Buckets that are edited by one change after another.
#[derive(Default)]
struct BucketStore {
    state: ConfigState,
    buckets: indexmap::IndexMap<BucketIndex, BucketRecord>,
    version: u64,
}

impl BucketStore {
    fn edit(&mut self, change: &ItemChange) -> Result<StoredObject, ChangeError> {
        self.edit_at(change, UnixTime(1))
    }

    fn edit_at(&mut self, change: &ItemChange, now: UnixTime) -> Result<StoredObject, ChangeError> {
        let index = BucketIndex::of(&change.item);
        let bucket = self.buckets.get(&index).cloned().unwrap_or_default();
        self.version += 1;
        let mark = format!("mark-{}", self.version);
        let next = buckets::edit(&bucket, self.state.view(), change, &mark, now)?;
        let object = stored(&change.item, self.version, &next);
        self.buckets.insert(index, next);
        Ok(object)
    }

    fn accept(&mut self, change: &ItemChange) -> StoredObject {
        let object = self.edit(change).unwrap();
        self.state.apply(&object).unwrap();
        object
    }
}

#[test]
fn workspace_and_classes_share_a_bucket() {
    for number in 0..1_000 {
        let name = format!("w{number}");
        let workspace = workspace(&name).item_name();
        let class = ItemSpec::Class(class(&name, "c", "m")).item_name();
        let index = BucketIndex::of(&workspace);
        assert_eq!(index, BucketIndex::of(&class));
        assert_eq!(BucketIndex::from_object(&index.object()), Some(index));
    }
}

#[rstest]
#[case("bucket-000", true)]
#[case("bucket-255", true)]
#[case("bucket-256", false)]
#[case("other", false)]
fn reads_bucket_names(#[case] name: &str, #[case] known: bool) {
    let object = ObjectName {
        kind: "config".to_owned(),
        name: name.to_owned(),
    };
    assert_eq!(BucketIndex::from_object(&object).is_some(), known);
    assert_eq!(BUCKETS, 256);
}

struct CheckCase {
    change: ItemSpec,
    message_parts: [&'static str; 3],
}

const LONG: &str = "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\
                    aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa";

#[rstest]
#[case::no_name(CheckCase { change: workspace(""), message_parts: ["name", "\"\"", "1 to 128"] })]
#[case::slash(CheckCase { change: workspace("a/b"), message_parts: ["name", "a/b", "choose another"] })]
#[case::long(CheckCase { change: workspace(LONG), message_parts: ["name", "aaa", "1 to 128"] })]
#[case::weight(CheckCase {
    change: ItemSpec::Workspace(WorkspaceSpec {
        name: WorkspaceName::from("w"), weight: 0, key_hashes: Vec::new(),
    }),
    message_parts: ["weight is 0", "1 to 1000000", "within the range"],
})]
#[case::hash_length(CheckCase { change: workspace_with_key("w", "abc"), message_parts: ["key_hashes", "abc", "64 hex"] })]
#[case::hash_digits(CheckCase { change: workspace_with_key("w", &"g".repeat(64)), message_parts: ["key_hashes", "ggg", "SHA-256"] })]
#[case::key_of_another_workspace(CheckCase {
    change: workspace_with_key("w", &"A".repeat(64)),
    message_parts: ["key_hashes", "\"rich\"", "another key"],
})]
#[case::no_workspace(CheckCase {
    change: ItemSpec::Class(class("ghost", "c", "m")),
    message_parts: ["workspace", "ghost", "create it first"],
})]
#[case::no_model(CheckCase {
    change: ItemSpec::Class(class("rich", "c", "ghost")),
    message_parts: ["model", "ghost", "create it first"],
})]
#[case::models_empty(CheckCase {
    change: ItemSpec::Class(ClassSpec {
        target: ClassTarget::Models(ModelChoice::default()), ..class("rich", "c", "m")
    }),
    message_parts: ["models is empty", "at least 1", "service"],
})]
#[case::version(CheckCase {
    change: ItemSpec::Class(ClassSpec {
        target: ClassTarget::Models(ModelChoice {
            models: vec![ModelName::from("m")], versions: vec!["9".to_owned()], adapters: Vec::new(),
        }),
        ..class("rich", "c", "m")
    }),
    message_parts: ["versions", "\"9\"", "add it"],
})]
#[case::deadline(CheckCase {
    change: ItemSpec::Class(ClassSpec { deadline_ms: 0, ..class("rich", "c", "m") }),
    message_parts: ["deadline_ms is 0", "1 to 86400000", "within"],
})]
#[case::hold(CheckCase {
    change: ItemSpec::Hold(HoldSpec { target: TargetId::from(""), reason: String::new() }),
    message_parts: ["target", "\"\"", "choose"],
})]
fn refuses_invalid_items(#[case] case: CheckCase) {
    let mut store = BucketStore::default();
    store.accept(&put(workspace_with_key("rich", &"a".repeat(64)), 0));
    store.accept(&put(model("m"), 0));
    let error = store.edit(&put(case.change, 0)).unwrap_err();
    let ChangeError::Invalid { reason } = error else {
        panic!("{error:?}");
    };
    for part in case.message_parts {
        assert!(reason.contains(part), "{reason:?} lacks {part:?}");
    }
}

#[test]
fn refuses_to_delete_items_in_use() {
    let mut store = BucketStore::default();
    store.accept(&put(workspace("w"), 0));
    store.accept(&put(model("m"), 0));
    store.accept(&put(ItemSpec::Class(class("w", "c", "m")), 0));
    for (spec, used) in [(workspace("w"), 1), (model("m"), 1)] {
        let error = store.edit(&remove(&spec, used)).unwrap_err();
        assert!(
            error.to_string().contains("delete the class first"),
            "{error}"
        );
    }
}

struct RevisionCase {
    based_on: u64,
    deletes: bool,
    accepted: bool,
}

#[rstest]
#[case::current(RevisionCase { based_on: 2, deletes: false, accepted: true })]
#[case::older(RevisionCase { based_on: 1, deletes: false, accepted: false })]
#[case::as_new_item(RevisionCase { based_on: 0, deletes: false, accepted: false })]
#[case::delete_current(RevisionCase { based_on: 2, deletes: true, accepted: true })]
#[case::delete_without_a_revision(RevisionCase { based_on: 0, deletes: true, accepted: false })]
fn refuses_a_change_based_on_another_revision(#[case] case: RevisionCase) {
    let mut store = BucketStore::default();
    store.accept(&put(workspace("w"), 0));
    store.accept(&put(workspace("w"), 1));
    let change = if case.deletes {
        remove(&workspace("w"), case.based_on)
    } else {
        put(workspace("w"), case.based_on)
    };
    match store.edit(&change) {
        Ok(_) => assert!(case.accepted),
        Err(ChangeError::Conflict { current, found }) => {
            assert!(!case.accepted);
            assert_eq!(current, 2);
            assert!(found.contains("\"w\""), "{found}");
        }
        Err(other) => panic!("{other:?}"),
    }
}

/// An operator deletes an item and creates it again; later a change arrives that is based
/// on the deleted item. It would be accepted if revisions were reused.
#[test]
fn never_reuses_a_revision() {
    let mut store = BucketStore::default();
    store.accept(&put(workspace("w"), 0));
    store.accept(&remove(&workspace("w"), 1));
    let late = UnixTime(1).plus(TOMBSTONE_AGE + Duration::from_secs(1));
    let other = (0..)
        .map(|n| workspace(&format!("x{n}")))
        .find(|w| BucketIndex::of(&w.item_name()) == BucketIndex::of(&workspace("w").item_name()))
        .unwrap();
    let object = store.edit_at(&put(other, 0), late).unwrap();
    store.state.apply(&object).unwrap();
    let name = workspace("w").item_name();
    assert!(
        !store.buckets[&BucketIndex::of(&name)]
            .items
            .contains_key(&name)
    );
    assert!(!store.state.view().items.contains_key(&name));
    store.accept(&put(workspace("w"), 0));
    assert_eq!(store.state.view().items[&name].revision, 4);
    assert!(matches!(
        store.edit(&put(workspace("w"), 1)),
        Err(ChangeError::Conflict { current: 4, .. })
    ));
}

/// A daemon has applied revision 2; then a slow peer sends revision 1 of the bucket and a
/// listing returns revision 2 again. The older object must change nothing.
#[test]
fn an_older_object_changes_nothing() {
    let mut store = BucketStore::default();
    let first = store.accept(&put(workspace_with_key("w", &"a".repeat(64)), 0));
    let second = store.accept(&put(workspace_with_key("w", &"b".repeat(64)), 1));
    for object in [&first, &second, &first] {
        assert_eq!(store.state.apply(object), Ok(ApplyResult::Known));
    }
    let view = store.state.view();
    assert_eq!(view.items[&workspace("w").item_name()].revision, 2);
    assert!(view.key_owners.contains_key(&"b".repeat(64)));
    assert!(!view.key_owners.contains_key(&"a".repeat(64)));
}

/// The platform's object is replaced manually by older content with a newer version.
/// Applying it would revert changes that operators were told are in force.
#[test]
fn older_content_under_a_newer_version_is_refused() {
    let mut store = BucketStore::default();
    let first = store.accept(&put(workspace("w"), 0));
    store.accept(&put(workspace_with_key("w", &"b".repeat(64)), 1));
    let before = pistachiowick::invariants::violations(
        pistachiowick::invariants::Invariant::ConfigNeverReverts,
    );
    let forged = StoredObject {
        version: ObjectVersion(99),
        ..first
    };
    assert_eq!(store.state.apply(&forged), Ok(ApplyResult::Known));
    assert_eq!(
        store.state.view().items[&workspace("w").item_name()].revision,
        2
    );
    let after = pistachiowick::invariants::violations(
        pistachiowick::invariants::Invariant::ConfigNeverReverts,
    );
    assert_eq!(after, before + 1);
}

/// Two operators add the same key to two workspaces at once; as the buckets differ, both
/// changes are stored. Daemons that receive them in different order must agree on the owner.
#[test]
fn a_key_of_two_workspaces_has_one_owner_everywhere() {
    let hash = "c".repeat(64);
    let empty = ConfigView::default();
    let objects = ["beta", "alpha"].map(|name| {
        let change = put(workspace_with_key(name, &hash), 0);
        let bucket = BucketRecord::default();
        let next = buckets::edit(&bucket, &empty, &change, name, UnixTime(1)).unwrap();
        stored(&change.item, 1, &next)
    });
    for order in [[0, 1], [1, 0]] {
        let mut state = ConfigState::default();
        for position in order {
            state.apply(&objects[position]).unwrap();
        }
        assert_eq!(state.view().key_owners[&hash], WorkspaceName::from("alpha"));
    }
}

#[test]
fn a_missing_item_counts_as_deleted() {
    let mut store = BucketStore::default();
    let item = workspace("w").item_name();
    store.accept(&put(workspace("w"), 0));
    let bucket = BucketRecord {
        sequence: 9,
        ..BucketRecord::default()
    };
    store.state.apply(&stored(&item, 50, &bucket)).unwrap();
    let record = &store.state.view().items[&item];
    assert_eq!((record.revision, &record.spec), (9, &None));
    assert!(store.state.view().workspaces.is_empty());
}

#[test]
fn an_unreadable_bucket_changes_nothing() {
    let mut store = BucketStore::default();
    let object = store.accept(&put(workspace("w"), 0));
    for value in [None, Some(b"{".to_vec())] {
        let broken = StoredObject {
            version: ObjectVersion(70),
            value,
            ..object.clone()
        };
        assert!(store.state.apply(&broken).is_err());
        assert_eq!(store.state.view().workspaces.len(), 1);
    }
}

#[test]
fn items_of_different_kinds_may_share_a_name() {
    let mut store = BucketStore::default();
    store.accept(&put(workspace("same"), 0));
    store.accept(&put(model("same"), 0));
    store.accept(&put(ItemSpec::Class(class("same", "same", "same")), 0));
    store.accept(&put(
        ItemSpec::Hold(HoldSpec {
            target: TargetId::from("same"),
            reason: "fans".to_owned(),
        }),
        0,
    ));
    let view = store.state.view();
    assert_eq!(view.items.len(), 4);
    assert_eq!(view.holds[&TargetId::from("same")], "fans");
    let kinds: Vec<ItemKind> = view.items.keys().map(|item| item.kind).collect();
    assert!(kinds.contains(&ItemKind::Class) && kinds.contains(&ItemKind::Hold));
}
