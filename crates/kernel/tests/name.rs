//! Tests of the validation of names and identifiers.

use kernel::Name;
use kernel::NameError;
use kernel::RequestId;
use yare::parameterized;

#[parameterized(
    letters = { "aarhus", None },
    punctuation = { "v1.2_a-b", None },
    empty = { "", Some(NameError::Empty) },
    upper = { "Aarhus", Some(NameError::InvalidCharacter) },
    slash = { "a/b", Some(NameError::InvalidCharacter) },
    punctuation_first = { "-a", Some(NameError::InvalidCharacter) },
)]
fn name_is_validated(text: &str, expected: Option<NameError>) {
    let parsed = text.parse::<Name>();

    assert_eq!(parsed.err(), expected);
}

#[test]
fn too_long_name_is_rejected() {
    let text = "a".repeat(kernel::name::MAX_NAME_BYTES + 1);

    assert_eq!(text.parse::<Name>(), Err(NameError::TooLong));
}

#[parameterized(
    too_short = { "ab" },
    not_hexadecimal = { "0000000000000000000000000000000g" },
)]
fn invalid_request_id_is_rejected(text: &str) {
    assert!(text.parse::<RequestId>().is_err());
}

#[test]
fn generated_request_ids_differ() {
    assert_ne!(RequestId::generate(), RequestId::generate());
}
