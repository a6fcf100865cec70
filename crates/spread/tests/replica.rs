//! Updates of the list of upstreams hold only what has changed, and all of it, whichever instance sends them.

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
use spread::replica::PART_ENTRIES;

fn item(key: &str, rev: i64) -> Item {
    Item {
        key: key.into(),
        value: rev.to_be_bytes().to_vec(),
        rev,
    }
}

fn key(index: usize) -> String {
    format!("u{index:05}")
}

/// A read of a list that did not change during the read.
fn read(items: Vec<Item>, rev: i64) -> Listing {
    Listing { items, since: rev }
}

/// A replica with `count` entries; the entry at index n last changed at revision n + 1.
fn replica(count: usize) -> Replica {
    let mut replica = Replica::default();
    let items = (0..count).map(|i| item(&key(i), i as i64 + 1));
    replica.apply_read(read(items.collect(), count as i64), 1, 0);
    replica
}

/// Polls until there are no more updates; returns the number of entries received and of replies.
fn follow(replica: &mut Replica, source: &Replica) -> (usize, usize) {
    let (mut items, mut replies) = (0, 0);
    while source.has_more(replica.sync_state(0), 0) {
        let update = source.update_since(replica.sync_state(0), 0);
        items += update.items.len();
        replies += 1;
        replica.merge(&update, 0);
    }
    (items, replies)
}

// Guards against sending the whole list after each read.
#[test]
fn unchanged_entries_are_not_sent() {
    let mut replica = replica(200);
    let state = replica.sync_state(0);
    let items = (0..200).map(|i| item(&key(i), if i == 7 { 201 } else { i as i64 + 1 }));

    replica.apply_read(read(items.collect(), 201), 2, 850);

    let update = replica.update_since(state, 850);
    assert_eq!(update.removed, Some(Removed::Keys(Vec::new())));
    assert_eq!(update.items, [Arc::new(item(&key(7), 201))]);
}

// Guards against sending a list of thousands of entries to each instance that switches to another source.
#[test]
fn a_follower_that_switches_sources_receives_only_missing_changes() {
    let mut first = replica(10_000);
    let (mut second, mut follower) = (Replica::default(), Replica::default());
    follow(&mut second, &first);
    follow(&mut follower, &first);
    let items = (3..10_000).map(|i| item(&key(i), i as i64 + 1));
    first.apply_read(read(items.collect(), 10_001), 2, 0);
    follow(&mut second, &first);

    let (items, replies) = follow(&mut follower, &second);

    assert_eq!((items, replies), (0, 1));
    assert_eq!(follower.len(), 9_997);
}

// Guards against a reply so large that it times out on a slow link and is sent again from the start.
#[test]
fn a_long_list_is_sent_in_parts_that_are_forwarded_before_it_is_complete() {
    let source = replica(10_000);
    let (mut near, mut far) = (Replica::default(), Replica::default());

    let update = source.update_since(near.sync_state(0), 0);
    near.merge(&update, 0);
    let (forwarded, _) = follow(&mut far, &near);

    assert_eq!(update.items.len(), PART_ENTRIES);
    assert_eq!(forwarded, PART_ENTRIES);
    assert!(!near.is_complete() && !far.is_complete());
    let (rest, replies) = follow(&mut near, &source);
    assert_eq!(
        (rest, replies),
        (10_000 - PART_ENTRIES, 10_000 / PART_ENTRIES)
    );
    follow(&mut far, &near);
    assert!(far.is_complete());
    assert_eq!(far.len(), 10_000);
}

// Guards against an instance that considers its list complete although it received the remaining parts of an older list.
#[test]
fn a_part_with_the_rest_of_an_older_list_is_incomplete() {
    let old = replica(1_000);
    let mut new = Replica::default();
    follow(&mut new, &old);
    let items = (0..1_000).map(|i| item(&key(i), if i == 5 { 1_001 } else { i as i64 + 1 }));
    new.apply_read(read(items.collect(), 1_001), 2, 0);
    let mut follower = Replica::default();
    follower.merge(&new.update_since(follower.sync_state(0), 0), 0);

    follow(&mut follower, &old);

    assert!(!follower.is_complete());
    follow(&mut follower, &new);
    assert!(follower.is_complete());
    assert_eq!(follower.len(), 1_000);
}

// Guards against followers that take a source without changes for a dead one, or an old read for a new one.
#[test]
fn a_read_without_changes_is_an_update_for_older_replicas() {
    let mut replica = replica(3);
    let state = replica.sync_state(900);

    let before = replica.has_more(state, 900);
    let items = (0..3).map(|i| item(&key(i), i as i64 + 1));
    replica.apply_read(read(items.collect(), 3), 2, 900);

    assert!(!before);
    assert!(replica.has_more(state, 900));
    assert!(!replica.has_more(replica.sync_state(950), 950));
}

#[test]
fn a_new_configuration_is_sent_alone() {
    let mut replica = replica(1);
    let state = replica.sync_state(0);

    let newer = replica.set_configuration(Some(item("plan", 5)), 0);
    let again = replica.set_configuration(Some(item("plan", 5)), 0);

    let update = replica.update_since(state, 0);
    assert!(replica.has_more(state, 0));
    assert_eq!((newer, again), (true, false));
    assert_eq!(
        (update.configuration, update.items.len()),
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
        is_reader: true,
        centicores: 50,
    }
}

// Guards against sending the entries of hundreds of instances after each read of them.
#[test]
fn unchanged_member_entries_are_not_sent_again() {
    let mut replica = replica(1);
    replica.set_members(vec![member("a"), member("b")], 0);
    let first = replica.update_since(SyncState::default(), 0);
    let mut follower = Replica::default();
    follower.merge(&first, 0);

    replica.set_members(vec![member("b"), member("a")], 2_000);
    let same = replica.update_since(follower.sync_state(2_000), 2_000);
    replica.set_members(vec![member("b")], 4_000);
    let other = replica.update_since(follower.sync_state(4_000), 4_000);

    assert_eq!(first.members.map(|all| all.len()), Some(2));
    assert_eq!((same.members, same.members_age), (None, Some(0)));
    assert_eq!(other.members.map(|all| all.len()), Some(1));
}

// Guards against an instance that replaces its member entries by older ones.
#[test]
fn older_member_entries_are_ignored() {
    let mut replica = replica(1);
    replica.set_members(vec![member("a")], 2_000);
    let old = Update {
        members: Some(vec![member("b")]),
        members_age: Some(1_500),
        ..Update::default()
    };

    replica.merge(&old, 3_000);

    let names = replica
        .membership()
        .map(|membership| membership.members.to_vec());
    assert_eq!(names, Some(vec![member("a")]));
}

/// Number of instances that read the platform.
const READERS: usize = 2;

const INSTANCES: usize = 5;

/// Number of keys that change together, so that a list has several parts.
const BLOCK_KEYS: usize = 40;

/// A model of the platform's store.
#[derive(Default)]
struct Store {
    rev: i64,
    /// For each entry, the revisions of its last change and of its creation.
    items: BTreeMap<String, (i64, i64)>,
    /// For each removed key, the revision of its last removal.
    removed: BTreeMap<String, i64>,
}

impl Store {
    fn change(&mut self, block: usize, exists: bool) {
        for index in block * BLOCK_KEYS..(block + 1) * BLOCK_KEYS {
            self.rev += 1;
            let key = key(index);
            if exists {
                let created = self
                    .items
                    .get(&key)
                    .map_or(self.rev, |(_, created)| *created);
                self.items.insert(key, (self.rev, created));
            } else if self.items.remove(&key).is_some() {
                self.removed.insert(key, self.rev);
            }
        }
    }

    fn page(&self, keys: impl Fn(&str) -> bool) -> Vec<Item> {
        let items = self.items.iter().filter(|(key, _)| keys(key));
        items.map(|(key, (rev, _))| item(key, *rev)).collect()
    }

    /// Reads two pages with a change between them.
    fn read(&mut self, (block, exists): (usize, bool)) -> Listing {
        let middle = key(10 * BLOCK_KEYS);
        let (since, mut items) = (self.rev, self.page(|key| *key < *middle));
        self.change(block, exists);
        items.extend(self.page(|key| *key >= *middle));
        Listing { items, since }
    }

    /// Checks the replica of an instance that receives updates from others.
    fn check(&self, replica: &Replica) -> Result<(), TestCaseError> {
        let mut all = Replica::default();
        follow(&mut all, replica);
        prop_assert_eq!(all.len(), replica.len(), "some entries are not forwarded");
        let mut have: BTreeMap<String, i64> = BTreeMap::new();
        let mut rev = 0;
        while rev < replica.rev() {
            let part = replica.update_since(
                SyncState {
                    rev,
                    ..SyncState::default()
                },
                0,
            );
            have.extend(part.items.iter().map(|item| (item.key.clone(), item.rev)));
            rev = part.rev;
        }
        for (key, (rev, created)) in &self.items {
            if *rev <= replica.rev() {
                prop_assert_eq!(have.get(key), Some(rev), "{} is missing or old", key);
            }
            if replica.is_complete() && *created <= replica.rev() {
                prop_assert!(have.contains_key(key), "{} is missing", key);
            }
        }
        // Removals are sent with the last part.
        let removed = have.keys().filter(|key| !self.items.contains_key(*key));
        for key in removed.filter(|_| replica.is_complete()) {
            prop_assert!(self.removed[key] > replica.rev(), "{} was removed", key);
        }
        Ok(())
    }
}

fn change() -> impl Strategy<Value = (usize, bool)> {
    (0..20_usize, prop::bool::weighted(0.7))
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    // Guards against a change that no instance forwards. Combines arbitrary changes, also during a read, two readers,
    // followers that poll any instance for one part or for all, and restarts.
    #[test]
    fn replicas_that_merge_updates_have_the_whole_list(
        turns in prop::collection::vec(
            (prop::collection::vec(change(), 0..4), change(), 0..READERS,
                prop::collection::vec((0..INSTANCES, 0..INSTANCES, any::<bool>()), 0..8), 0..12_usize), 1..25)
    ) {
        let mut store = Store::default();
        let mut replicas: Vec<Replica> = (0..INSTANCES).map(|_| Replica::default()).collect();
        for (edition, (changes, between, reader, polls, start)) in (1..).zip(turns) {
            for (block, exists) in changes {
                store.change(block, exists);
            }
            if let Some(replica) = replicas.get_mut(start) {
                *replica = Replica::default();
            }
            let read = store.read(between);
            replicas[reader].apply_read(read, edition, 0);
            for (to, from, all) in polls {
                if to == from {
                    continue;
                }
                let mut replica = std::mem::take(&mut replicas[to]);
                if all {
                    follow(&mut replica, &replicas[from]);
                } else if replicas[from].has_more(replica.sync_state(0), 0) {
                    let update = replicas[from].update_since(replica.sync_state(0), 0);
                    replica.merge(&update, 0);
                }
                replicas[to] = replica;
            }
            for replica in &replicas {
                store.check(replica)?;
            }
        }
    }
}

// Guards against a configuration that counts as younger than it is: one that was read before a long list, one that
// passes several instances, and an update that waits unread.
#[test]
fn the_age_of_a_configuration_counts_from_the_start_of_its_read() {
    let (mut reader, mut near, mut far) = (replica(1), Replica::default(), Replica::default());
    reader.set_configuration(Some(item("plan", 5)), 1_000);
    reader.apply_read(read(vec![item(&key(0), 1)], 6), 2, 1_900);

    let update = reader.update_since(near.sync_state(2_000), 2_000);
    // Its poll was sent at 1,200 and held for 800 ms; it is read 700 ms after that.
    near.merge(
        &Update {
            held: 800,
            ..update
        },
        1_200 + 800,
    );
    let update = near.update_since(far.sync_state(2_700), 2_700);
    far.merge(&update, 2_690);

    assert_eq!(near.config_age(2_700), Some(1_700));
    assert_eq!(far.config_age(2_700), Some(1_710));
}

// Guards against an update without anything new that makes a configuration count as confirmed.
#[test]
fn an_update_confirms_a_configuration_only_as_far_as_its_source_knows() {
    let (mut source, mut follower) = (replica(1), replica(1));
    source.set_configuration(Some(item("plan", 5)), 500);
    follower.set_configuration(Some(item("plan", 5)), 300);

    follower.merge(
        &source.update_since(follower.sync_state(3_000), 3_000),
        3_000,
    );

    assert_eq!(follower.config_age(3_000), Some(2_500));
}

// Guards against followers that wait for a long list although its reader has confirmed the configuration long since.
#[test]
fn a_confirmation_that_is_much_newer_is_an_update() {
    let (mut source, mut follower) = (replica(1), replica(1));
    source.set_configuration(Some(item("plan", 5)), 2_000);
    follower.set_configuration(Some(item("plan", 5)), 500);
    let state = follower.sync_state(2_000);

    let update = source.update_since(state, 2_000);
    let is_update = source.has_more(state, 2_000);
    follower.merge(&update, 2_000);

    assert!(is_update && update.items.is_empty());
    assert_eq!(follower.config_age(2_000), Some(0));
    assert!(!source.has_more(follower.sync_state(2_000), 2_000));
}
