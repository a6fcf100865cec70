//! The replica of the platform's data at an instance: configuration, list of upstreams and member entries, and the
//! updates that others lack.
//!
//! Load pattern: thousands of upstreams and hundreds of instances. Few entries change between two reads, so only those
//! are sent on. The revision of the platform's store, which is the same everywhere, tells which have changed, so a
//! follower that switches to another source receives what it lacks and not the whole list. Updates have parts of
//! bounded size, so a follower on a slow link can serve the first part while it waits for the next.
//!
//! Removed entries have no revision. Each read of the list is therefore an edition with its own number. If the source
//! has had the follower's edition, it sends the keys removed since; otherwise it sends digests of all entries that
//! exist.

use std::collections::VecDeque;
use std::sync::Arc;

use kernel::Millis;
use kernel::Set;
use kernel::rendezvous_rank;
use plat::Item;
use plat::Listing;

use crate::Changes;
use crate::List;
use crate::Member;
use crate::Membership;
use crate::Removed;
use crate::SyncState;
use crate::Update;

/// Maximum number of removed entries whose keys are kept. A follower whose edition is older than these gets digests of
/// all existing entries instead.
const MAX_REMEMBERED_REMOVALS: usize = 1_024;

/// Maximum number of editions that are kept: those of the last minute. An instance that is further behind has
/// restarted.
const MAX_EDITIONS: usize = 64;

/// Entries per part of an update. A part has more if more entries have the same revision.
pub const PART_ENTRIES: usize = 512;

/// Minimum difference of age, in milliseconds, at which newer data without any other change is an update: less than
/// the interval between reads, and more than the transfer from one instance to the next takes.
const MIN_AGE_GAIN: Millis = 300;

/// Minimum difference of the configuration's age, in milliseconds, at which its confirmation alone is an update: more
/// than the interval between reads, so that a confirmation usually goes with the list that was read beside it.
const MIN_CONFIG_AGE_GAIN: Millis = 1_000;

/// The platform's data as an instance knows it.
///
/// A list that was read page by page is no snapshot: it has all changes up to one revision and some later ones.
///
/// # Examples
///
/// ```
/// use plat::{Item, Listing};
/// use spread::{Replica, Removed, SyncState};
///
/// let item = |key: &str, rev| Item { key: key.into(), value: vec![1], rev };
/// let mut replica = Replica::default();
/// replica.apply_read(Listing { items: vec![item("a", 1), item("b", 2)], since: 2 }, 71, 0);
/// let first = replica.update_since(SyncState::default(), 0);
/// assert_eq!((first.items.len(), first.rev, first.edition), (2, 2, 71));
/// replica.apply_read(Listing { items: vec![item("b", 3)], since: 3 }, 72, 850);
/// let next = replica.update_since(SyncState { rev: 2, edition: 71, ..SyncState::default() }, 850);
/// assert_eq!((next.items.len(), next.removed), (1, Some(Removed::Keys(vec!["a".into()]))));
/// ```
#[derive(Debug, Default)]
pub struct Replica {
    items: List,
    /// Keys of removed entries, each with the number of the change that removed it.
    removed: VecDeque<(String, u64)>,
    /// Editions that this list has been, each with the number of the change that made it.
    editions: VecDeque<(u64, u64)>,
    /// Number of the last change.
    change_number: u64,
    /// Whether the list equals the last edition.
    is_edition: bool,
    /// Revision up to which all changes have been applied.
    rev: i64,
    /// Revision from which on the list is complete: an entry may change after the part that would have held it was
    /// sent.
    complete_rev: i64,
    configuration: Option<Item>,
    /// The latest time at which the configuration is known to have been the newest.
    confirmed_at: Option<Millis>,
    membership: Option<Membership>,
    read_at: Option<Millis>,
}

/// Digest that represents a key in [`Removed::AllExcept`].
fn digest(key: &str) -> u64 {
    rendezvous_rank(key, "entry")
}

impl Replica {
    /// The state to send with a poll.
    pub fn sync_state(&self, now: Millis) -> SyncState {
        SyncState {
            rev: self.rev,
            edition: self.edition(),
            configuration: self.configuration_rev(),
            age: self.age(now),
            members_digest: self
                .membership
                .as_ref()
                .map_or(0, |membership| membership.digest),
            members_age: self
                .membership
                .as_ref()
                .map(|membership| now.saturating_sub(membership.read_at)),
            config_age: self.config_age(now),
        }
    }

    /// Edition of the list; 0 if the list equals no single edition.
    fn edition(&self) -> u64 {
        let last = self.editions.back().filter(|_| self.is_edition);
        last.map_or(0, |(edition, _)| *edition)
    }

    /// The configuration.
    pub fn configuration(&self) -> Option<&Item> {
        self.configuration.as_ref()
    }

    /// The number of entries.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Returns whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Revision up to which the list is known; 0 without a list.
    pub fn rev(&self) -> i64 {
        self.rev
    }

    /// Returns whether the list is known and no part of it is missing.
    pub fn is_complete(&self) -> bool {
        self.rev > 0 && self.rev >= self.complete_rev
    }

    /// When the data was read at the platform, on the monotonic clock of this instance.
    pub fn read_at(&self) -> Option<Millis> {
        self.read_at
    }

    /// Age of the data, in milliseconds; [`None`] without data.
    pub fn age(&self, now: Millis) -> Option<Millis> {
        self.read_at.map(|at| now.saturating_sub(at))
    }

    /// Time since the configuration was last known to be the newest, in milliseconds; [`None`] before it is first read.
    pub fn config_age(&self, now: Millis) -> Option<Millis> {
        self.confirmed_at.map(|at| now.saturating_sub(at))
    }

    /// Revision of the configuration; 0 without one.
    fn configuration_rev(&self) -> i64 {
        self.configuration
            .as_ref()
            .map_or(0, |configuration| configuration.rev)
    }

    /// Applies a read of the whole list that ended at `now`. `edition` must be unique among all reads.
    pub fn apply_read(&mut self, read: Listing, edition: u64, now: Millis) -> Changes {
        let mut changes = Changes {
            removed: self.missing_keys(&read),
            ..Changes::default()
        };
        for key in &changes.removed {
            self.items.remove(key);
        }
        for item in read.items {
            if self.items.get(&item.key).is_none_or(|held| **held != item) {
                let item = Arc::new(item);
                self.items.insert(item.clone());
                changes.items.push(item);
            }
        }
        self.remember_removed(&changes.removed);
        self.record_edition(edition);
        self.rev = self.rev.max(read.since);
        self.complete_rev = self.rev;
        self.read_at = Some(now);
        changes
    }

    /// Keys of held entries that a read of the whole list does not have.
    fn missing_keys(&self, read: &Listing) -> Vec<String> {
        let listed: Set<&str> = read.items.iter().map(|item| &*item.key).collect();
        let held = self.items.iter().map(|item| &item.key);
        let missing_keys = held.filter(|key| !listed.contains(key.as_str()));
        missing_keys.cloned().collect()
    }

    /// Remembers the entries that this change removed.
    fn remember_removed(&mut self, keys: &[String]) {
        self.change_number += 1;
        let keys = keys.iter().map(|key| (key.clone(), self.change_number));
        self.removed.extend(keys);
        while self.removed.len() > MAX_REMEMBERED_REMOVALS
            && let Some((_, lost)) = self.removed.pop_front()
        {
            // For editions before this change not all removals are known any more.
            self.editions.retain(|(_, count)| *count >= lost);
        }
    }

    /// Records the edition that the list now equals; 0 for none.
    fn record_edition(&mut self, edition: u64) {
        self.is_edition = edition != 0;
        if self.is_edition && self.edition() != edition {
            self.editions.push_back((edition, self.change_number));
        }
        if self.editions.len() > MAX_EDITIONS {
            self.editions.pop_front();
        }
    }

    /// Sets the configuration, which was the newest at the time `at`, if it is newer; returns whether it is. For a read
    /// of the platform, `at` is when the read began: a newer configuration may be acknowledged while it takes place.
    ///
    /// # Examples
    ///
    /// ```
    /// use plat::Item;
    /// use spread::Replica;
    ///
    /// let item = |rev| Some(Item { key: "plan".into(), value: vec![1], rev });
    /// let mut replica = Replica::default();
    /// assert!(replica.set_configuration(item(5), 100));
    /// // The same configuration again: only its age is new.
    /// assert!(!replica.set_configuration(item(5), 950));
    /// assert_eq!(replica.config_age(1_000), Some(50));
    /// ```
    pub fn set_configuration(&mut self, configuration: Option<Item>, at: Millis) -> bool {
        self.confirmed_at = self.confirmed_at.max(Some(at));
        let held = self.configuration_rev();
        let Some(configuration) = configuration.filter(|configuration| configuration.rev > held)
        else {
            return false;
        };
        self.configuration = Some(configuration);
        true
    }

    /// Sets the member entries, read at `now`.
    pub fn set_members(&mut self, members: Vec<Member>, now: Millis) {
        self.membership = Some(Membership::new(members, now));
    }

    /// Applies an update from another instance. `now` is the earliest time at which the source can have sent it, which
    /// is when the poll was sent plus the time for which the source held it: the update may have waited on its way, or
    /// here to be read.
    pub fn merge(&mut self, update: &Update, now: Millis) -> Changes {
        if let Some(age) = update.config_age {
            self.set_configuration(update.configuration.clone(), now.saturating_sub(age));
        }
        self.merge_members(update, now);
        let mut changes = Changes::default();
        for item in &update.items {
            let held = self.items.get(&item.key);
            if held.is_none_or(|held| held.rev < item.rev) {
                self.items.insert(item.clone());
                changes.items.push(item.clone());
            }
        }
        if update.rev < self.rev {
            return changes;
        }
        self.rev = update.rev;
        self.complete_rev = self.complete_rev.max(update.complete_rev);
        let at = now.saturating_sub(update.age);
        self.read_at = Some(self.read_at.map_or(at, |held| held.max(at)));
        match &update.removed {
            Some(removed) => {
                let has_newer = self.remove(removed, update.rev, &mut changes);
                self.remember_removed(&changes.removed);
                self.record_edition(if has_newer { 0 } else { update.edition });
            }
            None => self.is_edition = false,
        }
        changes
    }

    /// Removes entries; returns whether any is kept that the source does not have.
    fn remove(&mut self, removed: &Removed, rev: i64, changes: &mut Changes) -> bool {
        match removed {
            Removed::Keys(keys) => {
                let held = keys.iter().filter(|key| self.items.remove(key));
                changes.removed = held.cloned().collect();
                false
            }
            Removed::AllExcept(digests) => {
                let listed: Set<u64> = digests.iter().copied().collect();
                let others = self.items.iter();
                let others = others.filter(|item| !listed.contains(&digest(&item.key)));
                // An entry newer than the source's list may exist all the same.
                let (old, new): (Vec<_>, Vec<_>) = others.partition(|item| item.rev <= rev);
                let has_newer = !new.is_empty();
                changes.removed = old.iter().map(|item| item.key.clone()).collect();
                for key in &changes.removed {
                    self.items.remove(key);
                }
                has_newer
            }
        }
    }

    /// Sets the member entries from an update if they are newer.
    fn merge_members(&mut self, update: &Update, now: Millis) {
        let Some(age) = update.members_age else {
            return;
        };
        let at = now.saturating_sub(age);
        let newer = self
            .membership
            .as_ref()
            .is_none_or(|membership| at > membership.read_at);
        match (&update.members, &mut self.membership) {
            (Some(new), _) if newer => self.membership = Some(Membership::new(new.clone(), at)),
            // The entries are the same; only their age is new.
            (None, Some(membership)) if newer => membership.read_at = at,
            _ => (),
        }
    }

    /// The member entries, if known.
    pub fn membership(&self) -> Option<&Membership> {
        self.membership.as_ref()
    }

    /// Returns whether there is an update for a follower: a change, or the information that nothing had changed until
    /// more recently.
    pub fn has_more(&self, state: SyncState, now: Millis) -> bool {
        if self.configuration_rev() > state.configuration || self.has_newer_confirmation(state, now)
        {
            return true;
        }
        let Some(age) = self.age(now) else {
            return false;
        };
        let younger = state.age.is_none_or(|held| age + MIN_AGE_GAIN <= held);
        self.rev > state.rev || younger && self.rev == state.rev
    }

    /// Returns whether the configuration was confirmed so much later than a follower's that the follower must not wait
    /// for the list of this round.
    fn has_newer_confirmation(&self, state: SyncState, now: Millis) -> bool {
        let age = self.config_age(now);
        age.zip(state.config_age)
            .is_some_and(|(age, held)| age + MIN_CONFIG_AGE_GAIN <= held)
    }

    /// The update for a follower in this state.
    pub fn update_since(&self, state: SyncState, now: Millis) -> Update {
        let (items, rev) = self.next_part(state);
        // A source that is behind confirms nothing of the follower's list.
        let rev = if self.rev < state.rev { self.rev } else { rev };
        // Only the last part tells removals: entries missing from an earlier part may exist all the same.
        let is_last = rev == self.rev && self.is_complete();
        let membership = self.membership.as_ref();
        let members_age = membership.map(|membership| now.saturating_sub(membership.read_at));
        let newer = members_age.is_some_and(|age| state.members_age.is_none_or(|held| age < held));
        let members =
            membership.filter(|membership| newer && membership.digest != state.members_digest);
        Update {
            items,
            removed: is_last.then(|| self.removed_since(state)),
            rev,
            complete_rev: self.complete_rev.max(state.rev),
            edition: self.edition(),
            configuration: self
                .configuration
                .clone()
                .filter(|configuration| configuration.rev > state.configuration),
            age: self.age(now).unwrap_or_default(),
            config_age: self.config_age(now),
            held: 0,
            members: members.map(|membership| membership.members.to_vec()),
            members_age,
        }
    }

    /// The next entries that a follower lacks, and the revision up to which it has the list with them.
    fn next_part(&self, state: SyncState) -> (Vec<Arc<Item>>, i64) {
        let full_rev = self.rev.max(state.rev);
        let mut new = self.items.since(state.rev).peekable();
        let mut items: Vec<_> = new.by_ref().take(PART_ENTRIES).cloned().collect();
        let (Some(last), true) = (items.last().map(|item| item.rev), new.peek().is_some()) else {
            return (items, full_rev);
        };
        // Entries that changed while the list was read go with the last part; otherwise no part would have them.
        let rest = if last < full_rev { last } else { i64::MAX };
        items.extend(new.take_while(|item| item.rev <= rest).cloned());
        (items, last.min(full_rev))
    }

    /// The entries that a follower has to remove.
    fn removed_since(&self, state: SyncState) -> Removed {
        let known = self
            .editions
            .iter()
            .find(|(edition, _)| *edition == state.edition);
        match known {
            Some((_, count)) => {
                // Entries that were removed and added again are sent with the entries.
                let removed = self
                    .removed
                    .iter()
                    .filter(|(key, at)| at > count && self.items.get(key).is_none());
                Removed::Keys(removed.map(|(key, _)| key.clone()).collect())
            }
            None => Removed::AllExcept(self.items.iter().map(|item| digest(&item.key)).collect()),
        }
    }
}
