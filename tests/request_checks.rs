//! Validation of a caller's message: errors name the field and the remedy.

use std::sync::Arc;

use indexmap::IndexMap;
use pistachiowick::config::catalogue::{
    ClassSpec, ClassTarget, ItemSpec, ModelChoice, WorkspaceSpec,
};
use pistachiowick::config::view::set_item;
use pistachiowick::control::snapshot::{ConfigView, ControlSnapshot, ItemRecord};
use pistachiowick::decide::placement::PoolKey;
use pistachiowick::decide::shares::WeightCorrections;
use pistachiowick::names::WorkspaceName;
use pistachiowick::pb::SubmitRequest;
use pistachiowick::requests::request::{CallerRequest, RequestError};
use pistachiowick::settings::LimitSettings;
use rstest::rstest;

const WORKSPACE: &str = "rowing";

fn class(name: &str, repeatable: bool, target: ClassTarget) -> ItemSpec {
    ItemSpec::Class(ClassSpec {
        workspace: WORKSPACE.into(),
        name: name.into(),
        deadline_ms: 4_000,
        priority: 1,
        repeatable,
        target,
    })
}

fn config() -> ConfigView {
    let models = ClassTarget::Models(ModelChoice {
        models: vec!["base".into(), "large".into()],
        adapters: vec!["law".to_owned()],
        versions: vec!["1".to_owned(), "2".to_owned()],
    });
    let any_version = ClassTarget::Models(ModelChoice {
        models: vec!["base".into()],
        ..ModelChoice::default()
    });
    let workspace = ItemSpec::Workspace(WorkspaceSpec {
        name: WORKSPACE.into(),
        weight: 3,
        key_hashes: Vec::new(),
    });
    let items = [
        workspace,
        class("check", true, models),
        class("any", true, any_version),
        class("receipt", false, ClassTarget::Service("ledger".into())),
    ];
    let mut view = ConfigView::default();
    for spec in items {
        let record = ItemRecord {
            revision: 1,
            spec: Some(spec.clone()),
        };
        set_item(&mut view, &spec.item_name(), Some(record));
    }
    view
}

fn limits() -> LimitSettings {
    LimitSettings {
        longest_deadline_ms: 60_000,
        ..LimitSettings::default()
    }
}

fn check_for(workspace: &str, submit: SubmitRequest) -> Result<CallerRequest, RequestError> {
    let snapshot = ControlSnapshot {
        config: Arc::new(config()),
        ..ControlSnapshot::default()
    };
    let workspace = workspace.into();
    CallerRequest::check("r-1".into(), &workspace, submit, &snapshot, &limits())
}

fn check(submit: SubmitRequest) -> Result<CallerRequest, RequestError> {
    check_for(WORKSPACE, submit)
}

fn model_message() -> SubmitRequest {
    SubmitRequest {
        class: "check".to_owned(),
        prompt: b"is this crew eligible".to_vec(),
        prompt_tokens: 100,
        max_output_tokens: 50,
        ..SubmitRequest::default()
    }
}

fn service_message() -> SubmitRequest {
    SubmitRequest {
        class: "receipt".to_owned(),
        key: "receipt-7".to_owned(),
        key_minted_at_ms: 1_800_000_000_000,
        prompt: b"issue receipt 7".to_vec(),
        ..SubmitRequest::default()
    }
}

struct InvalidCase {
    change: fn(&mut SubmitRequest),
    field: &'static str,
    remedy: &'static str,
}

#[rstest]
#[case::other_model(InvalidCase {
    change: |m| m.model = "huge".to_owned(),
    field: "model is huge",
    remedy: "the class may use base, large",
})]
#[case::other_adapter(InvalidCase {
    change: |m| m.adapter = "tax".to_owned(),
    field: "adapter is tax",
    remedy: "the class may use none or law",
})]
#[case::other_version(InvalidCase {
    change: |m| m.version = "9".to_owned(),
    field: "version is 9",
    remedy: "the class may use 1, 2",
})]
#[case::no_prompt_length(InvalidCase {
    change: |m| m.prompt_tokens = 0,
    field: "prompt_tokens is 0",
    remedy: "send the prompt's length in tokens",
})]
#[case::no_output(InvalidCase {
    change: |m| m.max_output_tokens = 0,
    field: "max_output_tokens is 0",
    remedy: "send 1 to 1048576",
})]
#[case::endless_output(InvalidCase {
    change: |m| m.max_output_tokens = (1 << 20) + 1,
    field: "max_output_tokens is 1048577",
    remedy: "send 1 to 1048576",
})]
#[case::prefix_longer_than_prompt(InvalidCase {
    change: |m| m.shared_prefix_tokens = 101,
    field: "shared_prefix_tokens is 101",
    remedy: "send at most prompt_tokens (100)",
})]
#[case::deadline_too_far(InvalidCase {
    change: |m| m.deadline_ms = 60_001,
    field: "deadline_ms is 60001",
    remedy: "send at most 60000 ms",
})]
#[case::key_too_long(InvalidCase {
    change: |m| m.key = "k".repeat(201),
    field: "key is 201 bytes long",
    remedy: "send at most 200 bytes",
})]
fn invalid_message_to_a_model_is_refused(#[case] case: InvalidCase) {
    let mut message = model_message();
    (case.change)(&mut message);
    let text = check(message)
        .expect_err("the message is invalid")
        .to_string();
    assert_eq!(text, format!("{}; {}", case.field, case.remedy));
}

#[rstest]
#[case::no_key(InvalidCase {
    change: |m| m.key = String::new(),
    field: "key is empty",
    remedy: "requests of this class may not be repeated and need a key",
})]
#[case::key_too_long(InvalidCase {
    change: |m| m.key = "é".repeat(101),
    field: "key is 202 bytes long",
    remedy: "send at most 200 bytes",
})]
#[case::no_time_of_the_key(InvalidCase {
    change: |m| m.key_minted_at_ms = 0,
    field: "key_minted_at_ms is 0",
    remedy: "send the Unix time in milliseconds at which the key was made",
})]
#[case::deadline_too_far(InvalidCase {
    change: |m| m.deadline_ms = u32::MAX,
    field: "deadline_ms is 4294967295",
    remedy: "send at most 60000 ms",
})]
#[case::prefix_without_prompt(InvalidCase {
    change: |m| m.shared_prefix_tokens = 1,
    field: "shared_prefix_tokens is 1",
    remedy: "send at most prompt_tokens (0)",
})]
fn invalid_message_to_a_service_is_refused(#[case] case: InvalidCase) {
    let mut message = service_message();
    (case.change)(&mut message);
    let text = check(message)
        .expect_err("the message is invalid")
        .to_string();
    assert_eq!(text, format!("{}; {}", case.field, case.remedy));
}

#[rstest]
#[case::unknown("exam")]
#[case::empty("")]
#[case::path("rowing/check")]
fn class_that_is_not_configured_is_refused(#[case] name: &str) {
    let message = SubmitRequest {
        class: name.to_owned(),
        ..model_message()
    };
    let error = check(message).expect_err("there is no such class");
    assert!(matches!(error, RequestError::UnknownClass { .. }));
}

// The class exists, but in another workspace than the caller's.
#[test]
fn class_of_another_workspace_is_refused() {
    let checked = check_for("stores", model_message());
    let error = checked.expect_err("the class belongs to another workspace");
    assert!(matches!(error, RequestError::UnknownClass { .. }));
}

struct ValidCase {
    message: fn() -> SubmitRequest,
    pool: PoolKey,
    versions: &'static [&'static str],
    has_intent: bool,
    deadline_ms: u64,
}

#[rstest]
#[case::first_model(ValidCase {
    message: model_message,
    pool: PoolKey::Model("base".into()),
    versions: &["1", "2"],
    has_intent: false,
    deadline_ms: 4_000,
})]
#[case::named_model_and_version(ValidCase {
    message: || SubmitRequest {
        model: "large".to_owned(),
        version: "2".to_owned(),
        adapter: "law".to_owned(),
        ..model_message()
    },
    pool: PoolKey::Model("large".into()),
    versions: &["2"],
    has_intent: false,
    deadline_ms: 4_000,
})]
#[case::free_version(ValidCase {
    message: || SubmitRequest {
        class: "any".to_owned(),
        version: "9".to_owned(),
        ..model_message()
    },
    pool: PoolKey::Model("base".into()),
    versions: &["9"],
    has_intent: false,
    deadline_ms: 4_000,
})]
#[case::own_deadline(ValidCase {
    message: || SubmitRequest { deadline_ms: 60_000, ..model_message() },
    pool: PoolKey::Model("base".into()),
    versions: &["1", "2"],
    has_intent: false,
    deadline_ms: 60_000,
})]
#[case::key_of_repeatable_class_is_no_intent(ValidCase {
    message: || SubmitRequest { key: "k".to_owned(), ..model_message() },
    pool: PoolKey::Model("base".into()),
    versions: &["1", "2"],
    has_intent: false,
    deadline_ms: 4_000,
})]
#[case::service(ValidCase {
    message: service_message,
    pool: PoolKey::Service("ledger".into()),
    versions: &[],
    has_intent: true,
    deadline_ms: 4_000,
})]
fn valid_message_is_accepted(#[case] case: ValidCase) {
    let request = check((case.message)()).expect("the message is valid");
    assert_eq!(request.pool, case.pool);
    assert_eq!(request.versions, case.versions);
    assert_eq!(request.intent.is_some(), case.has_intent);
    assert!((request.weight - 3.0).abs() < 1e-9);
    assert_eq!(request.deadline.0 - request.arrived.0, case.deadline_ms);
    let job = request.job_spec();
    assert_eq!(job.need.pool, case.pool);
    assert_eq!(job.priority, 1);
    assert!((job.weight - 3.0).abs() < 1e-9);
    assert_eq!(job.deadline, request.deadline);
}

struct FingerprintCase {
    change: fn(&mut SubmitRequest),
    same: bool,
}

// A key that is reused with other content is detected by the fingerprint; fields that
// may differ between two submissions of one request are not part of it.
#[rstest]
#[case::again(FingerprintCase { change: |_| {}, same: true })]
#[case::later(FingerprintCase { change: |m| m.deadline_ms = 100, same: true })]
#[case::not_first(FingerprintCase { change: |m| m.first_submission = true, same: true })]
#[case::other_body(FingerprintCase { change: |m| m.prompt.push(b'!'), same: false })]
#[case::other_model(FingerprintCase { change: |m| m.model = "large".to_owned(), same: false })]
#[case::other_length(FingerprintCase { change: |m| m.max_output_tokens = 51, same: false })]
#[case::moved_border(FingerprintCase {
    change: |m| {
        m.model = "base".to_owned();
        m.adapter = "law".to_owned();
    },
    same: false,
})]
fn fingerprint_distinguishes_contents(#[case] case: FingerprintCase) {
    let first = check(model_message())
        .expect("the message is valid")
        .fingerprint();
    let mut message = model_message();
    (case.change)(&mut message);
    let second = check(message).expect("the message is valid").fingerprint();
    assert_eq!(first == second, case.same);
}

// The workspace received twice its due share across the fleet, so its weight is halved.
#[test]
fn weight_is_corrected_by_the_shares_across_the_fleet() {
    let workspace: WorkspaceName = WORKSPACE.into();
    let factors = IndexMap::from([(workspace.clone(), 0.5)]);
    let snapshot = ControlSnapshot {
        config: Arc::new(config()),
        shares: Arc::new(WeightCorrections { factors }),
        ..ControlSnapshot::default()
    };
    let request = CallerRequest::check(
        "r-1".into(),
        &workspace,
        model_message(),
        &snapshot,
        &limits(),
    )
    .expect("the message is valid");
    let job = request.job_spec();
    assert!((job.weight - 1.5).abs() < 1e-9, "{}", job.weight);
    assert!((job.need.share_factor - 0.5).abs() < 1e-9);
}
