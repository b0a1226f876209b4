//! Who may call: keys, their hashes and the metadata that carries them.

use pistachiowick::control::snapshot::ConfigView;
use pistachiowick::requests::access::{
    AccessError, SecretKey, key_hash, operator_allowed, parse_bearer, workspace_of,
};
use pistachiowick::settings::AccessSettings;
use rstest::rstest;

/// SHA-256 of `abc`, from FIPS 180-2.
const ABC_HASH: &str = "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad";

fn settings(hashes: &[&str]) -> AccessSettings {
    AccessSettings {
        operator_key_hashes: hashes.iter().map(|h| (*h).to_owned()).collect(),
        token_secrets: vec!["secret".to_owned()],
    }
}

#[test]
fn hash_is_sha256_in_hexadecimal() {
    assert_eq!(key_hash(&SecretKey::new("abc")), ABC_HASH);
}

struct OperatorCase {
    hashes: &'static [&'static str],
    key: &'static str,
    allowed: bool,
}

#[rstest]
#[case::none(OperatorCase { hashes: &[], key: "abc", allowed: false })]
#[case::only(OperatorCase { hashes: &[ABC_HASH], key: "abc", allowed: true })]
#[case::among(OperatorCase { hashes: &["00", ABC_HASH, "11"], key: "abc", allowed: true })]
#[case::upper_case(OperatorCase {
    hashes: &["BA7816BF8F01CFEA414140DE5DAE2223B00361A396177A9CB410FF61F20015AD"],
    key: "abc",
    allowed: true,
})]
#[case::other(OperatorCase { hashes: &[ABC_HASH], key: "abd", allowed: false })]
#[case::hash_itself(OperatorCase { hashes: &[ABC_HASH], key: ABC_HASH, allowed: false })]
#[case::beginning(OperatorCase { hashes: &["ba7816"], key: "abc", allowed: false })]
#[case::empty_hash(OperatorCase { hashes: &[""], key: "", allowed: false })]
fn operator_key_decides(#[case] case: OperatorCase) {
    let allowed = operator_allowed(&SecretKey::new(case.key), &settings(case.hashes));
    assert_eq!(allowed, case.allowed);
}

// A rival's key opens the rival's workspace and no other.
#[test]
fn key_opens_its_own_workspace() {
    let mut config = ConfigView::default();
    let rival = key_hash(&SecretKey::new("rival"));
    config
        .key_owners
        .insert(ABC_HASH.to_owned(), "regatta-one".into());
    config.key_owners.insert(rival, "regatta-two".into());
    let owner = |key: &str| workspace_of(&SecretKey::new(key), &config);
    assert_eq!(owner("abc"), Some("regatta-one".into()));
    assert_eq!(owner("rival"), Some("regatta-two".into()));
    assert_eq!(owner("nobody"), None);
    assert_eq!(owner(ABC_HASH), None);
}

struct BearerCase {
    value: &'static str,
    key: Result<&'static str, AccessError>,
}

#[rstest]
#[case::plain(BearerCase { value: "Bearer abc", key: Ok("abc") })]
#[case::lower_case(BearerCase { value: "bearer abc", key: Ok("abc") })]
#[case::spaces(BearerCase { value: "  Bearer   abc ", key: Ok("abc") })]
#[case::no_scheme(BearerCase { value: "abc", key: Err(AccessError::NoKey) })]
#[case::other_scheme(BearerCase { value: "Basic abc", key: Err(AccessError::NoKey) })]
#[case::no_key(BearerCase { value: "Bearer ", key: Err(AccessError::NoKey) })]
#[case::empty(BearerCase { value: "", key: Err(AccessError::NoKey) })]
fn metadata_names_the_key(#[case] case: BearerCase) {
    let found = parse_bearer(case.value).map(|key| key_hash(&key));
    assert_eq!(found, case.key.map(|key| key_hash(&SecretKey::new(key))));
}

#[test]
fn overlong_key_is_refused() {
    let value = format!("Bearer {}", "k".repeat(513));
    assert_eq!(parse_bearer(&value).unwrap_err(), AccessError::TooLong);
}

#[test]
fn debug_output_shows_no_key() {
    let key = parse_bearer("Bearer abc").unwrap();
    assert!(!format!("{key:?}").contains("abc"));
}
