//! The configuration and the list of upstreams.

use std::collections::BTreeSet;

use table::Config;
use table::Incarnation;
use table::Incarnations;
use table::Route;
use table::RouteKind;
use table::Upstream;
use table::UpstreamChange;
use table::UpstreamList;
use table::WeightedService;
use yare::parameterized;

fn listed(id: &str) -> Upstream {
    Upstream {
        id: id.into(),
        incarnation: Incarnation {
            name: id.into(),
            started_at: None,
            heartbeats: 1,
        },
        service: "fit".into(),
        addr: ([127, 0, 0, 1], 1).into(),
        domain: "nord".into(),
        slots: 8,
        leaving: false,
        spot: false,
        weights: Vec::new(),
    }
}

#[test]
fn what_is_missing_is_gone_at_once() {
    let mut roster = UpstreamList::default();
    roster.update(vec![listed("a"), listed("b")], 0);

    let news = roster.update(vec![listed("a")], 1_000);

    assert!(matches!(&news[..], [UpstreamChange::Removed(one)] if &*one.id == "b"));
}

// Symptom: after an outage of the platform all living upstreams are taken for gone.
// Sequence: their entries lapse meanwhile, and come back within two seconds of its return.
// Cause: an entry that is missing right after an outage is kept for that long, and no longer.
#[parameterized(
    soon = { 5_100, 1 },
    later = { 7_400, 0 },
)]
fn an_entry_that_lapsed_in_an_outage_is_kept_for_a_while(then: u64, left: usize) {
    let mut roster = UpstreamList::default();
    roster.update(vec![listed("a")], 0);
    roster.update(Vec::new(), 5_000);
    for now in (5_000..then).step_by(850).skip(1) {
        roster.update(Vec::new(), now);
    }

    roster.update(Vec::new(), then);

    assert_eq!(roster.all().count(), left);
}

#[test]
fn a_leaving_upstream_is_told_once() {
    let mut roster = UpstreamList::default();
    roster.update(vec![listed("a")], 0);
    let leaving = Upstream {
        leaving: true,
        ..listed("a")
    };

    let first = roster.update(vec![leaving.clone()], 1_000);
    let second = roster.update(vec![leaving], 2_000);

    assert!(matches!(first[..], [UpstreamChange::Leaving(_)]));
    assert!(second.is_empty());
}

#[parameterized(
    low = { 0.0, "a" },
    middle = { 0.89, "a" },
    high = { 0.91, "b" },
    end = { 1.0, "b" },
)]
fn services_get_their_weights(draw: f64, service: &str) {
    let share = |service: &str, weight| WeightedService {
        service: service.into(),
        weight,
    };
    let route = Route {
        name: "r".into(),
        host: "h".into(),
        prefix: "/".into(),
        kind: RouteKind::Idempotent,
        timeout: 1,
        max_attempts: 1,
        ttl: 0,
        single_version: false,
        resumable: false,
        open: false,
        services: vec![share("a", 90), share("b", 10)],
    };

    assert_eq!(
        Config::pick_service(&route, draw).map(|name| &**name),
        Some(service)
    );
}

fn start(born: Option<u64>, beats: u64) -> Incarnation {
    Incarnation {
        name: "a".into(),
        started_at: born,
        heartbeats: beats,
    }
}

// Symptom: an engine that was started again gets nothing, or gets what it cannot make.
// Sequence: it starts under the name that it had; entries of the former start come late.
// Cause: what was known of the former start is believed of the new one.
#[parameterized(
    same = { (Some(5), 1), (Some(5), 2), Some(true) },
    newer = { (Some(5), 9), (Some(6), 1), Some(false) },
    former = { (Some(5), 1), (Some(4), 99), None },
    says_it_now = { (None, 9), (Some(6), 1), Some(false) },
    does_not_say = { (None, 9), (None, 10), Some(true) },
    counts_go_back = { (None, 9), (None, 2), Some(false) },
)]
fn the_starts_of_an_upstream_are_told_apart(
    first: (Option<u64>, u64),
    second: (Option<u64>, u64),
    same: Option<bool>,
) {
    let mut starts = Incarnations::default();
    let known = starts.identify(&start(first.0, first.1), 1).unwrap();

    let told = starts.identify(&start(second.0, second.1), 2);

    assert_eq!(told.map(|id| id == known), same);
}

#[test]
fn an_entry_that_was_read_before_is_no_new_start() {
    let mut starts = Incarnations::default();
    let known = starts.identify(&start(None, 9), 4);

    let late = starts.identify(&start(None, 2), 3);

    assert_eq!(late, known);
}

// Symptom: an upstream counts twice, and gets twice what it can take.
// Sequence: it starts anew while the platform is away; what was listed before is kept for a while.
// Cause: keeping the former start beside the new one.
#[test]
fn a_new_start_takes_the_place_of_one_that_is_kept() {
    let mut roster = UpstreamList::default();
    roster.update(vec![listed("a")], 0);
    let new = Upstream {
        id: "a@6".into(),
        ..listed("a")
    };

    let news = roster.update(vec![new], 5_000);

    assert_eq!(roster.all().count(), 1);
    assert!(
        news.iter()
            .any(|one| matches!(one, UpstreamChange::Removed(old) if &*old.id == "a"))
    );
}

// Guards against a look for one upstream that takes longer the more there are.
#[test]
fn some_upstreams_of_a_service_are_a_few_and_all_in_turn() {
    let one = |at: usize| Upstream {
        service: if at < 900 { "fit".into() } else { "web".into() },
        ..listed(&format!("i-{at}"))
    };
    let mut roster = UpstreamList::default();
    roster.update((0..1_000).map(one).collect(), 0);

    let looks = (0..900)
        .step_by(100)
        .map(|dice| roster.subset_of_service("fit", dice, 100));
    let seen: Vec<_> = looks.flatten().map(|one| one.id.clone()).collect();

    assert_eq!(seen.len(), 900);
    assert_eq!(seen.iter().collect::<BTreeSet<_>>().len(), 900);
    assert_eq!(roster.subset_of_service("web", 7, 512).count(), 100);
    assert_eq!(roster.subset_of_service("none", 7, 512).count(), 0);
}
