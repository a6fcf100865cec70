//! Tests of how many upstreams are ordered, and that the ordered count never decreases.

use capacity::CapacityDemand;
use capacity::DesiredCapacity;
use capacity::DomainUpstreams;
use capacity::Order;
use capacity::OrderSubject;
use capacity::RetrySchedule;
use capacity::ScalingBounds;
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
    let domains = ["nord", "syd", "vest"].into_iter().zip(counts);
    let upstreams = |(domain, regular): (&str, u32)| DomainUpstreams {
        domain: domain.into(),
        regular,
        spot: 0,
    };
    domains.map(upstreams).collect()
}

fn demand(requests: u64, fill: f64) -> CapacityDemand {
    CapacityDemand {
        requests,
        slots: 8,
        fill,
    }
}

fn order(domain: &str, count: u32) -> Order {
    let subject = OrderSubject {
        service: "fit".into(),
        domain: domain.into(),
        spot: false,
    };
    Order { subject, count }
}

#[parameterized(
    zero_fill = { demand(648, 0.0), [16, 16, 16], &[] },
    no_requests = { demand(0, 1.0), [16, 16, 16], &[] },
    exactly_enough_are_present = { demand(384, 1.0), [16, 16, 16], &[] },
    more_than_enough_are_present = { demand(8, 1.0), [16, 16, 16], &[] },
    equal_domains_cheapest_first = { demand(392, 1.0), [16, 16, 16], &[("syd", 17)] },
    domain_with_fewest_first = { demand(384, 1.0), [16, 4, 16], &[("syd", 16)] },
    domain_without_upstreams = { demand(384, 1.0), [16, 16, 0], &[("vest", 16)] },
    capped_at_the_maximum = { demand(9_000, 1.0), [16, 16, 16], &[("nord", 32), ("syd", 32), ("vest", 32)] },
    partial_fill = { demand(784, 0.5), [16, 16, 16], &[("syd", 17)] },
)]
fn plan_orders_covers_the_demand(
    demand: CapacityDemand,
    counts: [u32; 3],
    expected: &[(&str, u32)],
) {
    let orders = plan_orders("fit", &bounds(32), &present(counts), &[], demand);

    let expected: Vec<_> = expected
        .iter()
        .map(|(domain, count)| order(domain, *count))
        .collect();
    assert_eq!(orders, expected);
}

// Guards against ordering upstreams that are still starting a second time, in another failure domain.
#[test]
fn ordered_upstreams_count_as_present() {
    let previous = [order("syd", 20)];

    let orders = plan_orders(
        "fit",
        &bounds(32),
        &present([16, 16, 16]),
        &previous,
        demand(416, 1.0),
    );

    assert_eq!(orders, [order("syd", 20)]);
}

#[test]
fn an_order_is_sent_again_when_its_upstreams_do_not_appear() {
    let (order, mut schedule) = (order("syd", 20), RetrySchedule::default());

    assert!(schedule.is_due(&order, 16, 0));
    schedule.accepted(&order.subject, 4_000, 0);
    assert!(!schedule.is_due(&order, 16, 6_000));
    assert!(schedule.is_due(&order, 16, 7_100));
    assert!(!schedule.is_due(&order, 20, 7_100));
    schedule.unavailable(&order.subject, 7_100);
    assert!(!schedule.is_due(&order, 16, 9_000) && schedule.is_due(&order, 16, 9_700));
    schedule.unanswered(&order.subject, 10_000);
    assert!(schedule.is_due(&order, 16, 10_900));
}

proptest! {
    // For any present and previously ordered upstreams, an order is above the present count and at most the maximum,
    // and the ordered count never decreases.
    #[test]
    fn orders_stay_within_bounds(
        counts in [0_u32..40, 0..40, 0..40],
        previous in [0_u32..33, 0..33, 0..33],
        requests in 0_u64..2_000,
        fill in 0.0_f64..3.0,
    ) {
        let mut desired = DesiredCapacity::default();
        for (domain, count) in ["nord", "syd", "vest"].into_iter().zip(previous) {
            desired.raise(order(domain, count));
        }
        let present = present(counts);

        let orders = plan_orders("fit", &bounds(32), &present, desired.orders(), demand(requests, fill));

        for order in orders {
            let domain = present.iter().find(|domain| domain.domain == order.subject.domain).unwrap();
            prop_assert!(order.count > domain.regular);
            prop_assert!(order.count <= 32);
            let before = desired.orders().iter().find(|known| known.subject == order.subject).unwrap().count;
            desired.raise(order.clone());
            let after = desired.orders().iter().find(|known| known.subject == order.subject).unwrap().count;
            prop_assert!(after >= before && after >= order.count);
        }
    }
}
