//! Resume tokens: signed tokens are accepted, and nothing else is.

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use pistachiowick::intents::IntentKey;
use pistachiowick::names::UnixTime;
use pistachiowick::requests::resume_token::{
    MAX_TOKEN_LENGTH, ResumeToken, TokenError, TokenSigner,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use rstest::rstest;

fn config() -> Config {
    Config {
        cases: 256,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(20_261_202),
        ..Config::default()
    }
}

fn signer(secrets: &[&str]) -> TokenSigner {
    let secrets: Vec<String> = secrets.iter().map(|s| (*s).to_owned()).collect();
    TokenSigner::new(&secrets).unwrap()
}

fn tokens() -> impl Strategy<Value = ResumeToken> {
    let key = prop::option::of(("[a-z0-9-]{1,64}", any::<u64>()));
    let names = ("[a-z-]{1,20}", "[a-z-]{1,20}", "[a-z0-9-]{1,40}");
    let places = (
        "[a-z0-9-]{1,20}",
        "[a-z0-9-]{0,20}",
        "[0-9.:]{0,21}",
        "[a-z@+]{0,20}",
        "[a-z0-9.]{0,10}",
    );
    (names, places, any::<u32>(), any::<u64>(), key).prop_map(
        |(names, places, attempt, at, key)| {
            let workspace: &str = &names.0;
            ResumeToken {
                workspace: workspace.into(),
                class: names.1.as_str().into(),
                request_id: names.2.as_str().into(),
                daemon: places.0.as_str().into(),
                target: places.1.as_str().into(),
                target_address: places.2.clone(),
                model: places.3.clone(),
                software: places.4.clone(),
                attempt,
                deadline: UnixTime(at),
                key: key.map(|(key, minted)| IntentKey {
                    workspace: workspace.into(),
                    key: key.as_str().into(),
                    minted_at: UnixTime(minted),
                }),
            }
        },
    )
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn sealed_token_opens(token in tokens()) {
        let text = signer(&["one", "two"]).seal(&token);
        prop_assert_eq!(signer(&["one"]).open(&text), Ok(token.clone()));
        prop_assert_eq!(signer(&["new", "one"]).open(&text), Ok(token));
        prop_assert_eq!(signer(&["two"]).open(&text), Err(TokenError::Forged));
    }

    // One bit of a token is changed, for example to reach another workspace's request.
    #[test]
    fn flipped_bit_is_refused(token in tokens(), at in any::<prop::sample::Index>(), bit in 0_u8..8) {
        let signer = signer(&["one"]);
        let mut sealed = URL_SAFE_NO_PAD.decode(signer.seal(&token)).unwrap();
        let at = at.index(sealed.len());
        sealed[at] ^= 1 << bit;
        prop_assert_eq!(signer.open(&URL_SAFE_NO_PAD.encode(sealed)), Err(TokenError::Forged));
    }

    // One bit of the encoded text is changed, including unused bits of the last character.
    #[test]
    fn flipped_character_is_refused(token in tokens(), at in any::<prop::sample::Index>(), bit in 0_u8..7) {
        let signer = signer(&["one"]);
        let mut text = signer.seal(&token).into_bytes();
        let at = at.index(text.len());
        text[at] ^= 1 << bit;
        let text = String::from_utf8(text).unwrap();
        prop_assert!(signer.open(&text).is_err());
    }

    #[test]
    fn truncated_token_is_refused(token in tokens(), at in any::<prop::sample::Index>()) {
        let signer = signer(&["one"]);
        let text = signer.seal(&token);
        let at = at.index(text.len());
        prop_assert!(signer.open(&text[..at]).is_err());
    }
}

struct TextCase {
    text: String,
    error: TokenError,
}

#[rstest]
#[case::empty(TextCase { text: String::new(), error: TokenError::Malformed })]
#[case::not_base64(TextCase { text: "a token?".to_owned(), error: TokenError::Malformed })]
#[case::no_signature(TextCase { text: "AQID".to_owned(), error: TokenError::Malformed })]
#[case::unsigned(TextCase { text: "A".repeat(400), error: TokenError::Forged })]
#[case::too_long(TextCase { text: "A".repeat(MAX_TOKEN_LENGTH + 1), error: TokenError::TooLong })]
fn invalid_text_is_refused(#[case] case: TextCase) {
    assert_eq!(signer(&["one"]).open(&case.text), Err(case.error));
}

#[rstest]
#[case::none(&[])]
#[case::empty(&[""])]
#[case::second_empty(&["one", ""])]
fn signer_needs_secrets(#[case] secrets: &[&str]) {
    let secrets: Vec<String> = secrets.iter().map(|s| (*s).to_owned()).collect();
    assert_eq!(
        TokenSigner::new(&secrets).unwrap_err(),
        TokenError::NoSecret
    );
}

#[test]
fn debug_output_shows_no_secret() {
    let shown = format!("{:?}", signer(&["hidden-secret"]));
    assert!(!shown.contains("hidden"), "{shown}");
}
