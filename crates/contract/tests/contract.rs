//! Tests of contracts, their INI representation and the registry.

use std::sync::Arc;

use contract::ChangeStatus;
use contract::Contract;
use contract::Registry;
use contract::StoredContract;
use contract::TokenDigest;
use contract::amend::ReadBack;
use contract::amend::change_status;
use contract::ini;
use contract::registry::ActiveContract;
use contract::registry::ApplyResult;
use proptest::prelude::*;
use yare::parameterized;

fn text(more: &str) -> String {
    let token = TokenDigest::of("secret");
    format!(
        "[contract]\ncustomer = aarhus\ntoken-sha256 = {token}\nservices = portal\n\
         rate = 10\nconcurrency = 4\n{more}"
    )
}

fn sample() -> Contract {
    ini::parse("a.ini", &text("once = portal:POST:/orders\n")).unwrap()
}

fn active(rev: i64, token: &str) -> ActiveContract {
    let mut contract = sample();
    contract.token_digest = TokenDigest::of(token);
    let change = format!("c{rev}").into();
    ActiveContract {
        rev,
        stored: Arc::new(StoredContract { contract, change }),
    }
}

#[parameterized(
    rate = { "burst = -1", "burst" },
    class = { "class = 8", "class" },
    weight = { "weight = 0", "weight" },
    deadline = { "deadline = 0s", "deadline" },
    weighs = { "weighs = both", "weighs" },
    once_other = { "once = voucher:POST:/x", "once" },
    once_form = { "once = portal:post:/x", "once" },
    models_without_tokens = { "models = fitting", "tokens" },
    tokens_zero = { "models = fitting\ntokens = 0", "tokens" },
    unknown = { "concurency = 3", "concurency" },
)]
fn mistakes_are_named(more: &str, key: &str) {
    let got = ini::parse("a.ini", &text(more));

    match got {
        Ok(contract) => panic!("accepted {contract:?}"),
        Err(mistakes) => assert!(mistakes.to_string().contains(key), "{mistakes}"),
    }
}

#[parameterized(
    exact = { "POST", "/orders", true },
    below = { "POST", "/orders/7", true },
    query = { "POST", "/orders?a=1", true },
    longer_word = { "POST", "/ordersheet", false },
    method = { "GET", "/orders", false },
)]
fn rules_cover_whole_path_segments(method: &str, path: &str, expected: bool) {
    assert_eq!(sample().is_non_idempotent("portal", method, path), expected);
}

#[test]
fn a_rendered_contract_parses_to_the_same() {
    let contract = sample();

    assert_eq!(ini::parse("b.ini", &ini::render(&contract)), Ok(contract));
}

#[test]
fn an_amended_contract_is_validated_as_a_whole() {
    let change = |key: &str, value: &str| vec![(key.to_owned(), value.to_owned())];

    let good = ini::amend(&sample(), &change("rate", "20")).unwrap();
    let bad = ini::amend(&sample(), &change("rat", "20")).unwrap_err();

    assert_eq!(good.request_rate, 20.0);
    assert!(bad.to_string().contains("did you mean \"rate\""), "{bad}");
    assert_eq!(ini::diff(Some(&sample()), &good).len(), 1);
}

// Guards against a customer's old limit or token that comes back into force, because revisions are applied in order of
// arrival: a peer delivers revision 9, then a slow watch of the platform delivers revision 7.
#[test]
fn an_older_revision_never_replaces_a_newer_one() {
    let mut registry = Registry::default();

    let first = registry.apply(active(9, "new"));
    let second = registry.apply(active(7, "old"));

    assert_eq!((first, second), (ApplyResult::Applied, ApplyResult::Stale));
    assert!(registry.by_token("new").is_some());
    assert!(registry.by_token("old").is_none());
}

#[test]
fn a_replaced_token_stops_working() {
    let mut registry = Registry::default();
    registry.apply(active(1, "old"));

    registry.apply(active(2, "new"));

    assert!(registry.by_token("old").is_none());
}

// Guards against telling an operator "not applied" when the change takes effect later, or the reverse: the reply to the
// write is lost, and the state that is read back does not show a write that is still in flight.
#[parameterized(
    mine = { 8, "me", false, ChangeStatus::InForce(8) },
    replaced = { 9, "other", true, ChangeStatus::Replaced(9) },
    lost_race = { 8, "other", false, ChangeStatus::NotApplied(8) },
    pending = { 7, "before", false, ChangeStatus::Retry },
    gone = { 0, "", false, ChangeStatus::NotApplied(0) },
)]
fn a_lost_reply_is_resolved(rev: i64, change: &str, audited: bool, expected: ChangeStatus) {
    let read_back = ReadBack {
        rev,
        change,
        audited,
    };

    assert_eq!(change_status("me", 7, read_back), expected);
}

proptest! {
    #[test]
    fn the_registry_ends_with_the_highest_revision(revs in prop::collection::vec(1i64..50, 1..40)) {
        let mut registry = Registry::default();
        let mut highest = 0;
        for rev in &revs {
            registry.apply(active(*rev, "t"));
            prop_assert!(registry.newest_revision() >= highest);
            highest = registry.newest_revision();
        }
        prop_assert_eq!(registry.newest_revision(), *revs.iter().max().unwrap());
    }
}
