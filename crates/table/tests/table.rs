//! The configuration and the list of upstreams.

use table::Belief;
use table::Kind;
use table::Listed;
use table::Plan;
use table::Roster;
use table::Route;
use table::Share;
use yare::parameterized;

fn listed(id: &str) -> Listed {
    Listed {
        id: id.into(),
        service: "fit".into(),
        addr: ([127, 0, 0, 1], 1).into(),
        domain: "nord".into(),
        slots: 8,
        leaving: false,
        weights: Vec::new(),
    }
}

#[test]
fn what_is_missing_is_gone_at_once() {
    let mut roster = Roster::default();
    roster.read(vec![listed("a"), listed("b")], 0);

    let news = roster.read(vec![listed("a")], 1_000);

    assert!(matches!(&news[..], [Belief::Gone(one)] if &*one.id == "b"));
}

// Symptom: after an outage of the platform all living upstreams are taken for gone.
// Sequence: their entries lapse meanwhile, and come back within two seconds of its return.
// Cause: an entry that is missing right after an outage is kept for that long, and no longer.
#[parameterized(
    soon = { 5_100, 1 },
    later = { 7_400, 0 },
)]
fn an_entry_that_lapsed_in_an_outage_is_kept_for_a_while(then: u64, left: usize) {
    let mut roster = Roster::default();
    roster.read(vec![listed("a")], 0);
    roster.read(Vec::new(), 5_000);
    for now in (5_000..then).step_by(850).skip(1) {
        roster.read(Vec::new(), now);
    }

    roster.read(Vec::new(), then);

    assert_eq!(roster.all().count(), left);
}

#[test]
fn a_leaving_upstream_is_told_once() {
    let mut roster = Roster::default();
    roster.read(vec![listed("a")], 0);
    let leaving = Listed {
        leaving: true,
        ..listed("a")
    };

    let first = roster.read(vec![leaving.clone()], 1_000);
    let second = roster.read(vec![leaving], 2_000);

    assert!(matches!(first[..], [Belief::Leaving(_)]));
    assert!(second.is_empty());
}

#[parameterized(
    low = { 0.0, "a" },
    middle = { 0.89, "a" },
    high = { 0.91, "b" },
    end = { 1.0, "b" },
)]
fn services_get_their_weights(draw: f64, service: &str) {
    let share = |service: &str, weight| Share {
        service: service.into(),
        weight,
    };
    let route = Route {
        name: "r".into(),
        host: "h".into(),
        prefix: "/".into(),
        kind: Kind::Idempotent,
        timeout: 1,
        attempts: 1,
        ttl: 0,
        single: false,
        resumable: false,
        shares: vec![share("a", 90), share("b", 10)],
    };

    assert_eq!(Plan::draw(&route, draw).map(|name| &**name), Some(service));
}
