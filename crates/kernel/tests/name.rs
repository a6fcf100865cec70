//! Tests of names and identifiers.

use kernel::Name;
use kernel::NameError;
use kernel::RequestId;
use yare::parameterized;

#[parameterized(
    plain = { "aarhus", None },
    signs = { "v1.2_a-b", None },
    empty = { "", Some(NameError::Empty) },
    upper = { "Aarhus", Some(NameError::Character) },
    slash = { "a/b", Some(NameError::Character) },
    sign_first = { "-a", Some(NameError::Character) },
)]
fn names_are_checked(text: &str, expected: Option<NameError>) {
    let got = text.parse::<Name>();

    assert_eq!(got.err(), expected);
}

#[test]
fn a_long_name_is_refused() {
    let text = "a".repeat(kernel::name::MAX_NAME + 1);

    assert_eq!(text.parse::<Name>(), Err(NameError::Long));
}

#[parameterized(
    short = { "ab" },
    sign = { "0000000000000000000000000000000g" },
)]
fn request_ids_are_checked(text: &str) {
    assert!(text.parse::<RequestId>().is_err());
}

#[test]
fn fresh_ids_differ() {
    assert_ne!(RequestId::generate(), RequestId::generate());
}
