//! Property tests of which connection gives way.

use std::net::IpAddr;
use std::time::Duration;

use net::eviction::Candidate;
use net::eviction::Waiting;
use net::eviction::choose;
use proptest::collection::vec;
use proptest::prelude::*;

fn candidate() -> impl Strategy<Value = Candidate> {
    let waiting = prop_oneof![Just(Waiting::NextRequest), Just(Waiting::Progress)];
    (0..4_u8, waiting, 0..10_000_u64).prop_map(|(host, waiting, millis)| Candidate {
        from: IpAddr::from([127, 0, 0, host]),
        waiting,
        idle: Duration::from_millis(millis),
    })
}

/// Number of candidates with the address of one.
fn siblings(candidates: &[Candidate], candidate: &Candidate) -> usize {
    let same = candidates
        .iter()
        .filter(|other| other.from == candidate.from);
    same.count()
}

proptest! {
    // Guards against an ordinary caller that gives way at random while a crowd stays.
    #[test]
    fn none_ranks_before_the_one_that_gives_way(candidates in vec(candidate(), 0..40)) {
        let chosen = choose(candidates.iter().copied().enumerate());

        prop_assert_eq!(chosen.is_none(), candidates.is_empty());
        let chosen = chosen.map(|index| candidates[index]);
        for (other, chosen) in candidates.iter().zip(chosen.iter().cycle()) {
            prop_assert!(other.waiting <= chosen.waiting);
            if other.waiting == chosen.waiting {
                let [others, own] = [other, chosen].map(|one| siblings(&candidates, one));
                prop_assert!(others <= own);
                prop_assert!(others < own || other.idle <= chosen.idle);
            }
        }
    }
}
