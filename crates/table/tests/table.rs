//! Tests of the configuration, the list of upstreams and their incarnations.

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

fn upstream(id: &str) -> Upstream {
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
fn missing_upstream_is_removed_immediately() {
    let mut list = UpstreamList::default();
    list.update(vec![upstream("a"), upstream("b")], 0);

    let changes = list.update(vec![upstream("a")], 1_000);

    assert!(matches!(&changes[..], [UpstreamChange::Removed(one)] if &*one.id == "b"));
}

// Guards against removing all healthy upstreams after an outage of the platform: their entries expire
// during the outage and reappear within two seconds of its end. Missing entries are kept for that time
// and no longer.
#[parameterized(
    soon = { 5_100, 1 },
    later = { 7_400, 0 },
)]
fn entry_expired_in_an_outage_is_kept_briefly(until: u64, expected: usize) {
    let mut list = UpstreamList::default();
    list.update(vec![upstream("a")], 0);
    list.update(Vec::new(), 5_000);
    for now in (5_000..until).step_by(850).skip(1) {
        list.update(Vec::new(), now);
    }

    list.update(Vec::new(), until);

    assert_eq!(list.all().count(), expected);
}

#[test]
fn leaving_upstream_is_reported_once() {
    let mut list = UpstreamList::default();
    list.update(vec![upstream("a")], 0);
    let leaving = Upstream {
        leaving: true,
        ..upstream("a")
    };

    let first = list.update(vec![leaving.clone()], 1_000);
    let second = list.update(vec![leaving], 2_000);

    assert!(matches!(first[..], [UpstreamChange::Leaving(_)]));
    assert!(second.is_empty());
}

#[parameterized(
    low = { 0.0, "a" },
    middle = { 0.89, "a" },
    high = { 0.91, "b" },
    end = { 1.0, "b" },
)]
fn services_are_picked_by_weight(draw: f64, service: &str) {
    let weighted = |service: &str, weight| WeightedService {
        service: service.into(),
        weight,
    };
    let route = Route {
        name: "r".into(),
        host: "h".into(),
        prefix: "/".into(),
        kind: RouteKind::Idempotent,
        timeout: 1,
        target_latency: None,
        priority: None,
        max_attempts: 1,
        ttl: 0,
        single_version: false,
        resumable: false,
        open: false,
        services: vec![weighted("a", 90), weighted("b", 10)],
    };

    assert_eq!(
        Config::pick_service(&route, draw).map(|name| &**name),
        Some(service)
    );
}

fn incarnation(started_at: Option<u64>, heartbeats: u64) -> Incarnation {
    Incarnation {
        name: "a".into(),
        started_at,
        heartbeats,
    }
}

// Guards against a restarted engine getting no requests, or requests that it cannot serve: it restarts
// under its old name while late entries of the previous incarnation arrive, and what was known of that
// one is attributed to the new one.
#[parameterized(
    same = { (Some(5), 1), (Some(5), 2), Some(true) },
    newer = { (Some(5), 9), (Some(6), 1), Some(false) },
    older = { (Some(5), 1), (Some(4), 99), None },
    reports_start_time_now = { (None, 9), (Some(6), 1), Some(false) },
    no_start_time = { (None, 9), (None, 10), Some(true) },
    fewer_heartbeats = { (None, 9), (None, 2), Some(false) },
)]
fn incarnations_are_distinguished(
    first: (Option<u64>, u64),
    second: (Option<u64>, u64),
    same: Option<bool>,
) {
    let mut incarnations = Incarnations::default();
    let known = incarnations
        .identify(&incarnation(first.0, first.1), 1)
        .unwrap();

    let next = incarnations.identify(&incarnation(second.0, second.1), 2);

    assert_eq!(next.map(|id| id == known), same);
}

#[test]
fn older_revision_is_no_restart() {
    let mut incarnations = Incarnations::default();
    let known = incarnations.identify(&incarnation(None, 9), 4);

    let late = incarnations.identify(&incarnation(None, 2), 3);

    assert_eq!(late, known);
}

// Guards against counting an upstream twice and overloading it: it restarts during an outage of the
// platform, after which missing entries, here that of the previous incarnation, are kept for a while.
#[test]
fn new_incarnation_replaces_a_kept_one() {
    let mut list = UpstreamList::default();
    list.update(vec![upstream("a")], 0);
    let new = Upstream {
        id: "a@6".into(),
        ..upstream("a")
    };

    let changes = list.update(vec![new], 5_000);

    assert_eq!(list.all().count(), 1);
    assert!(
        changes
            .iter()
            .any(|one| matches!(one, UpstreamChange::Removed(old) if &*old.id == "a"))
    );
}

// Guards against lookups whose cost grows with the number of upstreams.
#[test]
fn subsets_are_limited_and_cover_the_service() {
    let numbered = |at: usize| Upstream {
        service: if at < 900 { "fit".into() } else { "web".into() },
        ..upstream(&format!("i-{at}"))
    };
    let mut list = UpstreamList::default();
    list.update((0..1_000).map(numbered).collect(), 0);

    let subsets = (0..900)
        .step_by(100)
        .map(|offset| list.subset_of_service("fit", offset, 100));
    let seen: Vec<_> = subsets.flatten().map(|one| one.id.clone()).collect();

    assert_eq!(seen.len(), 900);
    assert_eq!(seen.iter().collect::<BTreeSet<_>>().len(), 900);
    assert_eq!(list.subset_of_service("web", 7, 512).count(), 100);
    assert_eq!(list.subset_of_service("none", 7, 512).count(), 0);
}
