//! What is passed on of the list of upstreams: only what has changed, and all of it.

use std::collections::BTreeMap;

use node::board::Board;
use node::board::Have;
use node::board::News;
use plat::Item;
use proptest::prelude::*;

fn item(key: u8, rev: i64) -> Item {
    Item {
        key: format!("u{key:03}"),
        value: vec![key],
        rev,
    }
}

/// A follower that does what it hears.
#[derive(Default)]
struct Follower {
    list: BTreeMap<String, Item>,
    have: Have,
    /// What it passes on itself.
    board: Board,
}

impl Follower {
    fn hear(&mut self, news: &News) {
        if news.whole {
            self.list.clear();
        }
        for item in &news.items {
            self.list.insert(item.key.clone(), item.clone());
        }
        for key in &news.gone {
            self.list.remove(key);
        }
        self.have.count = news.count;
        self.board.merge(news, 0);
    }
}

#[test]
fn what_has_not_changed_is_not_passed_on() {
    let mut board = Board::default();
    let mut all: Vec<_> = (0..200).map(|key| item(key, 1)).collect();
    board.read(all.clone(), 1, 0);
    let have = Have {
        count: board.count(),
        plan: 0,
    };
    all[7].rev = 2;

    board.read(all, 2, 850);

    let news = board.since(have);
    assert!(!news.whole);
    assert_eq!(news.items, [item(7, 2)]);
}

#[test]
fn a_configuration_is_passed_on_by_itself() {
    let mut board = Board::default();
    board.read(vec![item(1, 1)], 1, 0);
    let have = Have {
        count: board.count(),
        plan: 0,
    };

    let newer = board.plan(Some(item(0, 5)));
    let again = board.plan(Some(item(0, 5)));

    let news = board.since(have);
    assert_eq!((newer, again), (true, false));
    assert_eq!((news.plan, news.items.len()), (Some(item(0, 5)), 0));
}

proptest! {
    // Symptom: an instance sends calls to an upstream that is gone, or knows none of the new ones.
    // Sequence: any of changes, reads that are missed, and followers that start anew, over two hops.
    // Cause: a change that is passed on to nobody.
    #[test]
    fn whoever_hears_what_has_changed_has_the_list(
        turns in prop::collection::vec(
            (prop::collection::vec((0..40_u8, any::<bool>()), 0..30), 0..8_u8), 1..60)
    ) {
        let mut list: BTreeMap<u8, i64> = BTreeMap::new();
        let mut reader = Board::default();
        let (mut near, mut far) = (Follower::default(), Follower::default());
        for (rev, (changes, luck)) in (1_i64..).zip(turns) {
            for (key, there) in changes {
                match there {
                    true => list.insert(key, rev),
                    false => list.remove(&key),
                };
            }
            reader.read(list.iter().map(|(key, rev)| item(*key, *rev)).collect(), rev, 0);
            match luck {
                0 => continue,
                1 => near = Follower::default(),
                2 => far = Follower::default(),
                _ => (),
            }
            if luck == 1 {
                // It counts anew, and whoever follows it asks for everything.
                far.have.count = 0;
            }
            near.hear(&reader.since(near.have));
            if luck != 3 {
                far.hear(&near.board.since(far.have));
                let want: Vec<_> = list.iter().map(|(key, rev)| item(*key, *rev)).collect();
                prop_assert_eq!(far.list.values().cloned().collect::<Vec<_>>(), want);
            }
        }
    }
}
