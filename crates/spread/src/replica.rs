//! What an instance knows of the configuration, the list of upstreams and the entries of instances, and what of it
//! others have not heard yet.
//!
//! Load pattern: thousands of upstreams and hundreds of instances. Few entries change between two reads, so only
//! those are passed on. Which have changed is told by the revision of the platform's store, which is the same
//! everywhere, so a follower that changes its source hears what it lacks and not the whole list; and it is told in
//! parts of bounded size, so a follower on a slow link passes the first part on while it waits for the next.
//!
//! Entries that are gone have no revision. Each read is an edition of the list: to whoever has one that the source
//! had too, the source tells what has gone since; to anybody else it tells which entries there are.

use std::collections::VecDeque;
use std::sync::Arc;

use kernel::Millis;
use kernel::Set;
use kernel::rank;
use plat::Item;
use plat::Listing;

use crate::Changes;
use crate::List;
use crate::Member;
use crate::Membership;
use crate::Removed;
use crate::SyncState;
use crate::Update;

/// Removed entries that are remembered.
const GONE: usize = 1_024;

/// Editions that are remembered: those of the last minute, and nobody is behind for longer without starting anew.
const EDITIONS: usize = 64;

/// Entries that are told at once, but for more that have changed at the same revision.
pub const PART: usize = 512;

/// Time by which news has to be younger to be told when nothing else is new, in milliseconds: a part of the time
/// between two reads, and more than news takes from one instance to the next.
const YOUNGER: Millis = 300;

/// What an instance knows.
///
/// A list that was read page by page is no snapshot: it has everything up to one revision, and some of what came
/// after it.
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
    /// Keys of entries that have gone, each with the number of the change by which it did.
    gone: VecDeque<(String, u64)>,
    /// Editions that this board has been, each with the number of the change that made it.
    editions: VecDeque<(u64, u64)>,
    /// The number of the last change.
    count: u64,
    /// Whether the list is the last of the editions.
    exact: bool,
    /// Everything up to this revision is here.
    rev: i64,
    /// The revision from which on no part is missing: an entry may have changed after the part in which it was.
    whole: i64,
    plan: Option<Item>,
    roll: Option<Membership>,
    at: Option<Millis>,
}

/// What stands for a key among those of other entries.
fn digest(key: &str) -> u64 {
    rank(key, "entry")
}

impl Replica {
    /// What this instance has, as it tells a source.
    pub fn sync_state(&self, now: Millis) -> SyncState {
        SyncState {
            rev: self.rev,
            edition: self.edition(),
            configuration: self.revised(),
            age: self.age(now),
            members_digest: self.roll.as_ref().map_or(0, |roll| roll.digest),
            members_age: self
                .roll
                .as_ref()
                .map(|roll| now.saturating_sub(roll.read_at)),
        }
    }

    /// The edition of the list; 0 when it is made of several.
    fn edition(&self) -> u64 {
        let last = self.editions.back().filter(|_| self.exact);
        last.map_or(0, |(edition, _)| *edition)
    }

    /// The configuration.
    pub fn configuration(&self) -> Option<&Item> {
        self.plan.as_ref()
    }

    /// The number of entries.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Tells whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// The revision up to which the list is known; 0 when it is not.
    pub fn rev(&self) -> i64 {
        self.rev
    }

    /// Tells whether the list is known and no part of it is missing.
    pub fn is_complete(&self) -> bool {
        self.rev > 0 && self.rev >= self.whole
    }

    /// When what is known was read at the platform, on the steady clock of this instance.
    pub fn read_at(&self) -> Option<Millis> {
        self.at
    }

    /// The age of what is known, in milliseconds; [`None`] when nothing is.
    pub fn age(&self, now: Millis) -> Option<Millis> {
        self.at.map(|at| now.saturating_sub(at))
    }

    /// The revision of the configuration; 0 when there is none.
    fn revised(&self) -> i64 {
        self.plan.as_ref().map_or(0, |plan| plan.rev)
    }

    /// Takes in a read of the whole list that ended now, as an edition whose number no other read has.
    pub fn apply_read(&mut self, read: Listing, edition: u64, now: Millis) -> Changes {
        let mut changes = Changes {
            removed: self.lacking(&read),
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
        self.forget(&changes.removed);
        self.publish(edition);
        self.rev = self.rev.max(read.since);
        self.whole = self.rev;
        self.at = Some(now);
        changes
    }

    /// Keys of entries that a read of the whole list does not have.
    fn lacking(&self, read: &Listing) -> Vec<String> {
        let listed: Set<&str> = read.items.iter().map(|item| &*item.key).collect();
        let held = self.items.iter().map(|item| &item.key);
        let lacking = held.filter(|key| !listed.contains(key.as_str()));
        lacking.cloned().collect()
    }

    /// Remembers entries that have gone with this change.
    fn forget(&mut self, keys: &[String]) {
        self.count += 1;
        let keys = keys.iter().map(|key| (key.clone(), self.count));
        self.gone.extend(keys);
        while self.gone.len() > GONE
            && let Some((_, lost)) = self.gone.pop_front()
        {
            // Of editions before it not all is known that has gone since.
            self.editions.retain(|(_, count)| *count >= lost);
        }
    }

    /// Notes that the list is an edition now.
    fn publish(&mut self, edition: u64) {
        self.exact = edition != 0;
        if self.exact && self.edition() != edition {
            self.editions.push_back((edition, self.count));
        }
        if self.editions.len() > EDITIONS {
            self.editions.pop_front();
        }
    }

    /// Takes in a configuration; tells whether it is newer.
    pub fn set_configuration(&mut self, plan: Option<Item>) -> bool {
        let held = self.revised();
        let Some(plan) = plan.filter(|plan| plan.rev > held) else {
            return false;
        };
        self.plan = Some(plan);
        true
    }

    /// Takes in the entries of instances, read now.
    pub fn set_members(&mut self, members: Vec<Member>, now: Millis) {
        self.roll = Some(Membership::new(members, now));
    }

    /// Takes in what another instance passes on.
    pub fn merge(&mut self, news: &Update, now: Millis) -> Changes {
        self.set_configuration(news.configuration.clone());
        self.enrol(news, now);
        let mut changes = Changes::default();
        for item in &news.items {
            let held = self.items.get(&item.key);
            if held.is_none_or(|held| held.rev < item.rev) {
                self.items.insert(item.clone());
                changes.items.push(item.clone());
            }
        }
        if news.rev < self.rev {
            return changes;
        }
        self.rev = news.rev;
        self.whole = self.whole.max(news.complete_rev);
        let at = now.saturating_sub(news.age);
        self.at = Some(self.at.map_or(at, |held| held.max(at)));
        match &news.removed {
            Some(gone) => {
                let strays = self.drop(gone, news.rev, &mut changes);
                self.forget(&changes.removed);
                self.publish(if strays { 0 } else { news.edition });
            }
            None => self.exact = false,
        }
        changes
    }

    /// Drops entries that are gone; tells whether any is kept that the source does not have.
    fn drop(&mut self, gone: &Removed, rev: i64, changes: &mut Changes) -> bool {
        match gone {
            Removed::Keys(keys) => {
                let held = keys.iter().filter(|key| self.items.remove(key));
                changes.removed = held.cloned().collect();
                false
            }
            Removed::AllExcept(digests) => {
                let listed: Set<u64> = digests.iter().copied().collect();
                let others = self.items.iter();
                let others = others.filter(|item| !listed.contains(&digest(&item.key)));
                // What came later than the source's list may be there all the same.
                let (old, new): (Vec<_>, Vec<_>) = others.partition(|item| item.rev <= rev);
                let strays = !new.is_empty();
                changes.removed = old.iter().map(|item| item.key.clone()).collect();
                for key in &changes.removed {
                    self.items.remove(key);
                }
                strays
            }
        }
    }

    /// Takes in the entries of instances if they are newer.
    fn enrol(&mut self, news: &Update, now: Millis) {
        let Some(old) = news.members_age else {
            return;
        };
        let at = now.saturating_sub(old);
        let newer = self.roll.as_ref().is_none_or(|roll| at > roll.read_at);
        match (&news.members, &mut self.roll) {
            (Some(members), _) if newer => self.roll = Some(Membership::new(members.clone(), at)),
            // They are the same.
            (None, Some(roll)) if newer => roll.read_at = at,
            _ => (),
        }
    }

    /// The entries of instances.
    pub fn membership(&self) -> Option<&Membership> {
        self.roll.as_ref()
    }

    /// Tells whether there is something that a follower does not have: a change, or the word that nothing has
    /// changed until lately.
    pub fn has_more(&self, have: SyncState, now: Millis) -> bool {
        let Some(age) = self.age(now) else {
            return self.revised() > have.configuration;
        };
        let younger = have.age.is_none_or(|held| age + YOUNGER <= held);
        self.rev > have.rev
            || self.revised() > have.configuration
            || younger && self.rev == have.rev
    }

    /// What a follower does not have yet.
    pub fn update_since(&self, have: SyncState, now: Millis) -> Update {
        let (items, rev) = self.part(have);
        // What is missing from a part may be there all the same.
        let is_last = rev == self.rev && self.is_complete();
        let roll = self.roll.as_ref();
        let members_age = roll.map(|roll| now.saturating_sub(roll.read_at));
        let newer = members_age.is_some_and(|age| have.members_age.is_none_or(|held| age < held));
        let members = roll.filter(|roll| newer && roll.digest != have.members_digest);
        Update {
            items,
            removed: is_last.then(|| self.gone(have)),
            rev,
            complete_rev: self.whole.max(have.rev),
            edition: self.edition(),
            configuration: self
                .plan
                .clone()
                .filter(|plan| plan.rev > have.configuration),
            age: self.age(now).unwrap_or_default(),
            members: members.map(|roll| roll.members.to_vec()),
            members_age,
        }
    }

    /// The next entries that a follower does not have, and the revision up to which it has the list with them.
    fn part(&self, have: SyncState) -> (Vec<Arc<Item>>, i64) {
        let whole = self.rev.max(have.rev);
        let mut new = self.items.since(have.rev).peekable();
        let mut items: Vec<_> = new.by_ref().take(PART).cloned().collect();
        let (Some(last), true) = (items.last().map(|item| item.rev), new.peek().is_some()) else {
            return (items, whole);
        };
        // What came while the list was read is told with the last part, or it would be told by nobody.
        let rest = if last < whole { last } else { i64::MAX };
        items.extend(new.take_while(|item| item.rev <= rest).cloned());
        (items, last.min(whole))
    }

    /// What of a follower's list is gone.
    fn gone(&self, have: SyncState) -> Removed {
        let known = self
            .editions
            .iter()
            .find(|(edition, _)| *edition == have.edition);
        match known {
            Some((_, count)) => {
                // What has come again since is among the entries.
                let gone = self
                    .gone
                    .iter()
                    .filter(|(key, at)| at > count && self.items.get(key).is_none());
                Removed::Keys(gone.map(|(key, _)| key.clone()).collect())
            }
            None => Removed::AllExcept(self.items.iter().map(|item| digest(&item.key)).collect()),
        }
    }
}
