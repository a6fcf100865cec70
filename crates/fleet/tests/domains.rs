//! Rumours between failure domains.

use std::collections::BTreeMap;

use fleet::Member;
use fleet::MemberState;
use fleet::Rumour;
use fleet::View;
use fleet::view::PROBE_INTERVAL;
use kernel::Millis;
use kernel::Name;
use poison::Observations;
use proptest::prelude::*;

/// Time within which a crash report must reach all instances of two failure domains, in milliseconds.
const REPORT_DEADLINE: Millis = 6_000;

/// Time after the start, in milliseconds, within which the crashes are observed: the rumours of the start are still
/// being sent.
const START_PERIOD: Millis = 9_000;

/// Number of engines whose state the first instance reports at its start.
const ENGINES: usize = 4;

fn name(text: &str) -> Name {
    text.parse().unwrap()
}

fn member(text: &str) -> Member {
    let domain = text.split_once('-').unwrap().0;
    Member {
        name: name(text),
        domain: name(domain),
        addr: "127.0.0.1:1".parse().unwrap(),
        incarnation: 1,
        state: MemberState::Alive,
    }
}

fn views(names: &[&str]) -> Vec<View> {
    let view = |me: &&str| {
        let mut view = View::new(member(me), 0);
        names
            .iter()
            .for_each(|other| view.add_member(member(other), 0));
        view
    };
    let mut views: Vec<_> = names.iter().map(view).collect();
    for engine in 0..ENGINES {
        views[0].receive(state(engine), 0);
    }
    views
}

fn state(engine: usize) -> Rumour {
    Rumour::Engine {
        name: name(&format!("engine-{engine}")),
        version: Some(1),
        leaving: false,
        at: 1,
    }
}

/// Sends the rumours of one instance to another; returns whether they held a crash report that was new to it.
fn send(views: &mut [View], from: usize, to: usize, now: Millis) -> bool {
    let domain = views[to].me().domain.clone();
    let rumours = views[from].outgoing(&domain);
    let mut is_new = false;
    for rumour in rumours {
        let crashes = matches!(rumour, Rumour::Crashes { .. });
        is_new |= views[to].receive(rumour, now) && crashes;
    }
    is_new
}

/// Lets the instances probe until `end`; returns those that receive a crash report, with the time.
fn run(
    views: &mut [View],
    observed: Millis,
    end: Millis,
    pauses: &[Millis],
) -> BTreeMap<usize, Millis> {
    let mut received = BTreeMap::new();
    let mut next: Vec<Millis> = pauses.iter().take(views.len()).copied().collect();
    let (mut reported, mut turn) = (false, 0);
    while let Some((from, now)) = next
        .iter()
        .copied()
        .enumerate()
        .min_by_key(|(_, time)| *time)
    {
        if now > end {
            break;
        }
        if from == 0 && now >= observed && !reported {
            views[0].report_demand(1, Vec::new());
            views[0].report_crashes(now, Observations::default());
            reported = true;
        }
        for probe in views[from].tick(now) {
            let to = views
                .iter()
                .position(|v| v.me().name == probe.name)
                .unwrap();
            for (from, to) in [(from, to), (to, from)] {
                if send(views, from, to, now) {
                    received.entry(to).or_insert(now);
                }
            }
        }
        turn += 1;
        next[from] = now + pauses[turn % pauses.len()];
    }
    received
}

proptest! {
    // Guards against a request that crashes three upstreams of one failure domain and, seconds later, three more of
    // another. The crash report competed with the rumours of the start for room in the messages. With one count of
    // sends for both domains it was dropped after the messages to neighbours, before any probe of the other domain had
    // room for it.
    #[test]
    fn crash_reports_reach_another_failure_domain_beside_other_rumours(
        pauses in prop::collection::vec(PROBE_INTERVAL * 9 / 10..PROBE_INTERVAL * 11 / 10, 64),
        observed in 0..START_PERIOD,
    ) {
        let mut views = views(&["nord-0", "nord-1", "syd-0", "syd-1"]);

        let received = run(&mut views, observed, observed + REPORT_DEADLINE, &pauses);

        let others: Vec<_> = received.keys().filter(|index| **index > 0).copied().collect();
        prop_assert_eq!(others, [1, 2, 3], "{:?} after {}", received, observed);
    }
}
