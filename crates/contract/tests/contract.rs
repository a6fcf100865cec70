//! Tests of contracts, their form and the book.

use std::sync::Arc;

use contract::Book;
use contract::Contract;
use contract::Settle;
use contract::Stored;
use contract::TokenDigest;
use contract::amend::Seen;
use contract::amend::settle;
use contract::book::InForce;
use contract::book::Offer;
use contract::form;
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
    form::read("a.ini", &text("once = portal:POST:/orders\n")).unwrap()
}

fn in_force(rev: i64, token: &str) -> InForce {
    let mut contract = sample();
    contract.token = TokenDigest::of(token);
    let change = format!("c{rev}").into();
    InForce {
        rev,
        stored: Arc::new(Stored { contract, change }),
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
    let got = form::read("a.ini", &text(more));

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
fn rules_cover_whole_segments(method: &str, path: &str, expected: bool) {
    assert_eq!(sample().is_once("portal", method, path), expected);
}

#[test]
fn a_written_contract_reads_the_same() {
    let contract = sample();

    assert_eq!(form::read("b.ini", &form::write(&contract)), Ok(contract));
}

#[test]
fn an_amendment_is_checked_as_a_whole() {
    let change = |key: &str, value: &str| vec![(key.to_owned(), value.to_owned())];

    let good = form::amend(&sample(), &change("rate", "20")).unwrap();
    let bad = form::amend(&sample(), &change("rat", "20")).unwrap_err();

    assert_eq!(good.rate, 20.0);
    assert!(bad.to_string().contains("did you mean \"rate\""), "{bad}");
    assert_eq!(form::diff(Some(&sample()), &good).len(), 1);
}

// Symptom: a customer's old limit or old token works again.
// Sequence: revision 9 is applied from a peer, then the slow watch of the platform delivers 7.
// Cause: news applied in the order of arrival rather than of revision.
#[test]
fn an_older_revision_never_replaces_a_newer_one() {
    let mut book = Book::default();

    let first = book.offer(in_force(9, "new"));
    let second = book.offer(in_force(7, "old"));

    assert_eq!((first, second), (Offer::Applied, Offer::Stale));
    assert!(book.by_token("new").is_some());
    assert!(book.by_token("old").is_none());
}

#[test]
fn a_replaced_token_stops_working() {
    let mut book = Book::default();
    book.offer(in_force(1, "old"));

    book.offer(in_force(2, "new"));

    assert!(book.by_token("old").is_none());
}

// Symptom: an operator is told "not applied" and the change takes effect later, or the reverse.
// Sequence: the write's answer is lost; the tool reads back.
// Cause: guessing from the read alone while the lost write may still be on its way.
#[parameterized(
    mine = { 8, "me", false, Settle::InForce(8) },
    replaced = { 9, "other", true, Settle::Replaced(9) },
    lost_race = { 8, "other", false, Settle::NotApplied(8) },
    pending = { 7, "before", false, Settle::WriteAgain },
    gone = { 0, "", false, Settle::NotApplied(0) },
)]
fn a_lost_answer_is_settled(rev: i64, change: &str, audited: bool, expected: Settle) {
    let seen = Seen {
        rev,
        change,
        audited,
    };

    assert_eq!(settle("me", 7, seen), expected);
}

proptest! {
    #[test]
    fn the_book_ends_with_the_highest_revision(revs in prop::collection::vec(1i64..50, 1..40)) {
        let mut book = Book::default();
        let mut high = 0;
        for rev in &revs {
            book.offer(in_force(*rev, "t"));
            prop_assert!(book.newest() >= high);
            high = book.newest();
        }
        prop_assert_eq!(book.newest(), *revs.iter().max().unwrap());
    }
}
