//! What is passed on of the list of upstreams: only what has changed, and all of it, whoever tells it.

use std::collections::BTreeMap;
use std::sync::Arc;

use plat::Item;
use plat::Listing;
use proptest::prelude::*;
use spread::Member;
use spread::Removed;
use spread::Replica;
use spread::SyncState;
use spread::Update;
use spread::replica::PART;

fn item(key: &str, rev: i64) -> Item {
    Item {
        key: key.into(),
        value: rev.to_be_bytes().to_vec(),
        rev,
    }
}

fn key(at: usize) -> String {
    format!("u{at:05}")
}

/// A read of a list that did not change meanwhile.
fn read(items: Vec<Item>, rev: i64) -> Listing {
    Listing { items, since: rev }
}

/// A board with `count` entries, the one at position n changed last at revision n + 1.
fn board(count: usize) -> Replica {
    let mut board = Replica::default();
    let items = (0..count).map(|at| item(&key(at), at as i64 + 1));
    board.apply_read(read(items.collect(), count as i64), 1, 0);
    board
}

/// Asks until there is no more; gives the entries that were told and the answers.
fn follow(board: &mut Replica, source: &Replica) -> (usize, usize) {
    let (mut items, mut answers) = (0, 0);
    while source.has_more(board.sync_state(0), 0) {
        let news = source.update_since(board.sync_state(0), 0);
        items += news.items.len();
        answers += 1;
        board.merge(&news, 0);
    }
    (items, answers)
}

// Guards against the whole list being sent with each read.
#[test]
fn what_has_not_changed_is_not_passed_on() {
    let mut board = board(200);
    let have = board.sync_state(0);
    let items = (0..200).map(|at| item(&key(at), if at == 7 { 201 } else { at as i64 + 1 }));

    board.apply_read(read(items.collect(), 201), 2, 850);

    let news = board.update_since(have, 850);
    assert_eq!(news.removed, Some(Removed::Keys(Vec::new())));
    assert_eq!(news.items, [Arc::new(item(&key(7), 201))]);
}

// Guards against a list of thousands being sent whole to each instance that changes its source.
#[test]
fn a_follower_that_changes_its_source_hears_what_it_lacks() {
    let mut first = board(10_000);
    let (mut second, mut follower) = (Replica::default(), Replica::default());
    follow(&mut second, &first);
    follow(&mut follower, &first);
    let items = (3..10_000).map(|at| item(&key(at), at as i64 + 1));
    first.apply_read(read(items.collect(), 10_001), 2, 0);
    follow(&mut second, &first);

    let (items, answers) = follow(&mut follower, &second);

    assert_eq!((items, answers), (0, 1));
    assert_eq!(follower.len(), 9_997);
}

// Guards against an answer so large that it is not there in time on a slow link, and is begun again.
#[test]
fn a_long_list_is_told_in_parts_that_can_be_passed_on() {
    let source = board(10_000);
    let (mut near, mut far) = (Replica::default(), Replica::default());

    let news = source.update_since(near.sync_state(0), 0);
    near.merge(&news, 0);
    let (early, _) = follow(&mut far, &near);

    assert_eq!(news.items.len(), PART);
    assert_eq!(early, PART);
    assert!(!near.is_complete() && !far.is_complete());
    let (rest, answers) = follow(&mut near, &source);
    assert_eq!((rest, answers), (10_000 - PART, 10_000 / PART));
    follow(&mut far, &near);
    assert!(far.is_complete());
    assert_eq!(far.len(), 10_000);
}

// Guards against an instance that takes its list for whole when the source of the rest has an older one.
#[test]
fn a_part_is_not_whole_with_the_rest_of_an_older_list() {
    let old = board(1_000);
    let mut new = Replica::default();
    follow(&mut new, &old);
    let items = (0..1_000).map(|at| item(&key(at), if at == 5 { 1_001 } else { at as i64 + 1 }));
    new.apply_read(read(items.collect(), 1_001), 2, 0);
    let mut follower = Replica::default();
    follower.merge(&new.update_since(follower.sync_state(0), 0), 0);

    follow(&mut follower, &old);

    assert!(!follower.is_complete());
    follow(&mut follower, &new);
    assert!(follower.is_complete());
    assert_eq!(follower.len(), 1_000);
}

// Guards against followers that take a source with nothing new for a silent one, or an old read for a new one.
#[test]
fn a_read_that_changed_nothing_is_news_to_whoever_has_an_older_one() {
    let mut board = board(3);
    let have = board.sync_state(900);

    let before = board.has_more(have, 900);
    let items = (0..3).map(|at| item(&key(at), at as i64 + 1));
    board.apply_read(read(items.collect(), 3), 2, 900);

    assert!(!before);
    assert!(board.has_more(have, 900));
    assert!(!board.has_more(board.sync_state(950), 950));
}

#[test]
fn a_configuration_is_passed_on_by_itself() {
    let mut board = board(1);
    let have = board.sync_state(0);

    let newer = board.set_configuration(Some(item("plan", 5)));
    let again = board.set_configuration(Some(item("plan", 5)));

    let news = board.update_since(have, 0);
    assert!(board.has_more(have, 0));
    assert_eq!((newer, again), (true, false));
    assert_eq!(
        (news.configuration, news.items.len()),
        (Some(item("plan", 5)), 0)
    );
}

fn member(name: &str) -> Member {
    Member {
        owner: batch::Owner {
            instance: name.into(),
            start: 1,
        },
        domain: "nord".into(),
        addr: ([127, 0, 0, 1], 1).into(),
        reads: true,
        power: 50,
    }
}

// Guards against the entries of hundreds of instances being sent with each read of them.
#[test]
fn the_same_instances_are_not_passed_on_again() {
    let mut board = board(1);
    board.set_members(vec![member("a"), member("b")], 0);
    let first = board.update_since(SyncState::default(), 0);
    let mut follower = Replica::default();
    follower.merge(&first, 0);

    board.set_members(vec![member("b"), member("a")], 2_000);
    let same = board.update_since(follower.sync_state(2_000), 2_000);
    board.set_members(vec![member("b")], 4_000);
    let other = board.update_since(follower.sync_state(4_000), 4_000);

    assert_eq!(first.members.map(|all| all.len()), Some(2));
    assert_eq!((same.members, same.members_age), (None, Some(0)));
    assert_eq!(other.members.map(|all| all.len()), Some(1));
}

// Guards against an instance that goes back to the entries of instances that it had.
#[test]
fn older_entries_of_instances_change_nothing() {
    let mut board = board(1);
    board.set_members(vec![member("a")], 2_000);
    let old = Update {
        members: Some(vec![member("b")]),
        members_age: Some(1_500),
        ..Update::default()
    };

    board.merge(&old, 3_000);

    let names = board.membership().map(|roll| roll.members.to_vec());
    assert_eq!(names, Some(vec![member("a")]));
}

/// Instances that read the platform.
const READERS: usize = 2;

/// All instances.
const ALL: usize = 5;

/// Keys that change together, so that a list has several parts.
const BLOCK: usize = 40;

/// The platform's store.
#[derive(Default)]
struct Store {
    rev: i64,
    /// The revisions at which entries were changed and came.
    items: BTreeMap<String, (i64, i64)>,
    /// The revision at which an entry went last.
    gone: BTreeMap<String, i64>,
}

impl Store {
    fn change(&mut self, block: usize, is_there: bool) {
        for at in block * BLOCK..(block + 1) * BLOCK {
            self.rev += 1;
            let key = key(at);
            if is_there {
                let came = self.items.get(&key).map_or(self.rev, |(_, came)| *came);
                self.items.insert(key, (self.rev, came));
            } else if self.items.remove(&key).is_some() {
                self.gone.insert(key, self.rev);
            }
        }
    }

    fn page(&self, keys: impl Fn(&str) -> bool) -> Vec<Item> {
        let items = self.items.iter().filter(|(key, _)| keys(key));
        items.map(|(key, (rev, _))| item(key, *rev)).collect()
    }

    /// Reads two pages with a change between them.
    fn read(&mut self, (block, is_there): (usize, bool)) -> Listing {
        let middle = key(10 * BLOCK);
        let (since, mut items) = (self.rev, self.page(|key| *key < *middle));
        self.change(block, is_there);
        items.extend(self.page(|key| *key >= *middle));
        Listing { items, since }
    }

    /// Checks what an instance has that follows others.
    fn check(&self, board: &Replica) -> Result<(), TestCaseError> {
        let mut all = Replica::default();
        follow(&mut all, board);
        prop_assert_eq!(all.len(), board.len(), "not all is passed on");
        let mut have: BTreeMap<String, i64> = BTreeMap::new();
        let mut rev = 0;
        while rev < board.rev() {
            let part = board.update_since(
                SyncState {
                    rev,
                    ..SyncState::default()
                },
                0,
            );
            have.extend(part.items.iter().map(|item| (item.key.clone(), item.rev)));
            rev = part.rev;
        }
        for (key, (rev, came)) in &self.items {
            if *rev <= board.rev() {
                prop_assert_eq!(have.get(key), Some(rev), "{} is missing or old", key);
            }
            if board.is_complete() && *came <= board.rev() {
                prop_assert!(have.contains_key(key), "{} is missing", key);
            }
        }
        // What is gone is told with the last part.
        let gone = have.keys().filter(|key| !self.items.contains_key(*key));
        for key in gone.filter(|_| board.is_complete()) {
            prop_assert!(self.gone[key] > board.rev(), "{} is gone", key);
        }
        Ok(())
    }
}

fn change() -> impl Strategy<Value = (usize, bool)> {
    (0..20_usize, prop::bool::weighted(0.7))
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    // Guards against a change that is passed on to nobody. Any of changes, also within a read, two readers, followers
    // that ask any other for one part or for all, and starts.
    #[test]
    fn whoever_hears_what_has_changed_has_the_list(
        turns in prop::collection::vec(
            (prop::collection::vec(change(), 0..4), change(), 0..READERS,
                prop::collection::vec((0..ALL, 0..ALL, any::<bool>()), 0..8), 0..12_usize), 1..25)
    ) {
        let mut store = Store::default();
        let mut boards: Vec<Replica> = (0..ALL).map(|_| Replica::default()).collect();
        for (edition, (changes, between, reader, asks, start)) in (1..).zip(turns) {
            for (block, is_there) in changes {
                store.change(block, is_there);
            }
            if let Some(board) = boards.get_mut(start) {
                *board = Replica::default();
            }
            let read = store.read(between);
            boards[reader].apply_read(read, edition, 0);
            for (to, from, all) in asks {
                if to == from {
                    continue;
                }
                let mut board = std::mem::take(&mut boards[to]);
                if all {
                    follow(&mut board, &boards[from]);
                } else if boards[from].has_more(board.sync_state(0), 0) {
                    let news = boards[from].update_since(board.sync_state(0), 0);
                    board.merge(&news, 0);
                }
                boards[to] = board;
            }
            for board in &boards {
                store.check(board)?;
            }
        }
    }
}
