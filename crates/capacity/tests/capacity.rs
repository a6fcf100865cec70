//! How many upstreams are asked for, and that what is asked for never falls.

use capacity::CapacityDemand;
use capacity::DesiredCapacity;
use capacity::DomainUpstreams;
use capacity::Order;
use capacity::RetrySchedule;
use capacity::ScalingBounds;
use capacity::Subject;
use capacity::plan_orders;
use proptest::prelude::*;
use yare::parameterized;

fn bounds(max_upstreams: u32) -> ScalingBounds {
    let price = |name: &str, price| (name.into(), price);
    ScalingBounds {
        min_upstreams: 1,
        max_upstreams,
        startup_ms: 4_000,
        prices: vec![price("nord", 1.0), price("syd", 0.8), price("vest", 1.25)],
    }
}

fn present(counts: [u32; 3]) -> Vec<DomainUpstreams> {
    let all = ["nord", "syd", "vest"].into_iter().zip(counts);
    let one = |(domain, regular): (&str, u32)| DomainUpstreams {
        domain: domain.into(),
        regular,
        spot: 0,
    };
    all.map(one).collect()
}

fn wish(requests: u64, fill: f64) -> CapacityDemand {
    CapacityDemand {
        requests,
        slots: 8,
        fill,
    }
}

fn order(domain: &str, count: u32) -> Order {
    let subject = Subject {
        service: "fit".into(),
        domain: domain.into(),
        spot: false,
    };
    Order { subject, count }
}

#[parameterized(
    nothing_is_wanted = { wish(648, 0.0), [16, 16, 16], &[] },
    nobody_asks = { wish(0, 1.0), [16, 16, 16], &[] },
    enough_are_there = { wish(384, 1.0), [16, 16, 16], &[] },
    too_many_are_there = { wish(8, 1.0), [16, 16, 16], &[] },
    evenly_and_the_cheapest_first = { wish(392, 1.0), [16, 16, 16], &[("syd", 17)] },
    the_emptiest_first = { wish(384, 1.0), [16, 4, 16], &[("syd", 16)] },
    a_domain_that_has_lost_all = { wish(384, 1.0), [16, 16, 0], &[("vest", 16)] },
    no_more_than_allowed = { wish(9_000, 1.0), [16, 16, 16], &[("nord", 32), ("syd", 32), ("vest", 32)] },
    a_part = { wish(784, 0.5), [16, 16, 16], &[("syd", 17)] },
)]
fn upstreams_are_asked_for(wish: CapacityDemand, counts: [u32; 3], expected: &[(&str, u32)]) {
    let orders = plan_orders("fit", &bounds(32), &present(counts), &[], wish);

    let expected: Vec<_> = expected
        .iter()
        .map(|(domain, count)| order(domain, *count))
        .collect();
    assert_eq!(orders, expected);
}

// Upstreams that had been asked for and were still starting were asked for once more, in another failure domain.
#[test]
fn what_was_asked_for_counts_as_there() {
    let asked = [order("syd", 20)];

    let orders = plan_orders(
        "fit",
        &bounds(32),
        &present([16, 16, 16]),
        &asked,
        wish(416, 1.0),
    );

    assert_eq!(orders, [order("syd", 20)]);
}

#[test]
fn an_order_is_given_again_when_its_upstreams_did_not_come() {
    let (one, mut tries) = (order("syd", 20), RetrySchedule::default());

    assert!(tries.is_due(&one, 16, 0));
    tries.accepted(&one.subject, 4_000, 0);
    assert!(!tries.is_due(&one, 16, 6_000));
    assert!(tries.is_due(&one, 16, 7_100));
    assert!(!tries.is_due(&one, 20, 7_100));
    tries.unavailable(&one.subject, 7_100);
    assert!(!tries.is_due(&one, 16, 9_000) && tries.is_due(&one, 16, 9_700));
    tries.unanswered(&one.subject, 10_000);
    assert!(tries.is_due(&one, 16, 10_900));
}

proptest! {
    // Whatever is there and was asked for, nothing is asked below what runs or above what is allowed, and what was
    // asked for never falls.
    #[test]
    fn orders_keep_to_their_bounds(
        counts in [0_u32..40, 0..40, 0..40],
        before in [0_u32..33, 0..33, 0..33],
        requests in 0_u64..2_000,
        fill in 0.0_f64..3.0,
    ) {
        let mut ledger = DesiredCapacity::default();
        for (domain, count) in ["nord", "syd", "vest"].into_iter().zip(before) {
            ledger.raise(order(domain, count));
        }
        let there = present(counts);

        let orders = plan_orders("fit", &bounds(32), &there, ledger.orders(), wish(requests, fill));

        for one in orders {
            let at = there.iter().find(|at| at.domain == one.subject.domain).unwrap();
            prop_assert!(one.count > at.regular);
            prop_assert!(one.count <= 32);
            let held = ledger.orders().iter().find(|held| held.subject == one.subject).unwrap().count;
            ledger.raise(one.clone());
            let now = ledger.orders().iter().find(|now| now.subject == one.subject).unwrap().count;
            prop_assert!(now >= held && now >= one.count);
        }
    }
}
