//! The list of upstreams that the platform publishes.

use std::net::SocketAddr;
use std::sync::Arc;

use kernel::Map;
use kernel::Millis;
use kernel::Set;

use crate::Incarnation;

/// Gap between two reads of the list that counts as an outage of the platform. The list is read once
/// a second, so two consecutive reads have failed.
const OUTAGE_GAP: Millis = 2_500;

/// Time after an outage for which missing entries are kept. Entries of healthy upstreams that expired
/// during the outage reappear within about two seconds.
const RECOVERY_GRACE: Millis = 2_200;

/// An upstream in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Upstream {
    /// Identifies one incarnation of the upstream.
    pub id: Arc<str>,
    /// The incarnation that the entry describes.
    pub incarnation: Incarnation,
    /// Service that it belongs to.
    pub service: Arc<str>,
    /// Address for requests.
    pub addr: SocketAddr,
    /// Failure domain that it runs in.
    pub domain: Arc<str>,
    /// Number of requests that it processes concurrently.
    pub slots: u32,
    /// Whether it is draining and about to leave.
    pub leaving: bool,
    /// Whether it is cheaper and can be preempted at any time.
    pub spot: bool,
    /// Models that it serves, each with the version of its weights.
    pub weights: Vec<(Arc<str>, u64)>,
}

/// A change found by [`UpstreamList::update`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UpstreamChange {
    /// An upstream was added to the list.
    Added(Arc<Upstream>),
    /// An upstream is draining and about to leave.
    Leaving(Arc<Upstream>),
    /// An upstream was removed from the list.
    Removed(Arc<Upstream>),
}

/// The upstreams known to one instance.
///
/// # Examples
///
/// ```
/// use table::{Incarnation, Upstream, UpstreamList};
///
/// let upstream = Upstream {
///     id: "i-1".into(),
///     incarnation: Incarnation { name: "i-1".into(), started_at: None, heartbeats: 1 },
///     service: "fit".into(), addr: ([127, 0, 0, 1], 1).into(), domain: "nord".into(), slots: 8, leaving: false, spot: false, weights: Vec::new(),
/// };
/// let mut list = UpstreamList::default();
/// list.update(vec![upstream], 0);
/// assert_eq!(list.of_service("fit").count(), 1);
/// list.update(Vec::new(), 1_000);
/// assert_eq!(list.of_service("fit").count(), 0);
/// ```
#[derive(Clone, Debug, Default)]
pub struct UpstreamList {
    by_id: Map<Arc<str>, Arc<Upstream>>,
    /// The same upstreams by service, so that a lookup in a small service doesn't scan thousands of others.
    by_service: Map<Arc<str>, Vec<Arc<Upstream>>>,
    last_update: Option<Millis>,
    outage_end: Option<Millis>,
}

impl UpstreamList {
    /// Replaces the list by a complete new one and returns the changes.
    ///
    /// After an outage of the platform, entries missing from the new list are kept for a short time.
    pub fn update(&mut self, list: Vec<Upstream>, now: Millis) -> Vec<UpstreamChange> {
        self.update_shared(list.into_iter().map(Arc::new), now)
    }

    /// Does the same as [`update`](Self::update) without copying the entries, most of which are unchanged
    /// since the last second in a list of thousands.
    pub fn update_shared(
        &mut self,
        list: impl IntoIterator<Item = Arc<Upstream>>,
        now: Millis,
    ) -> Vec<UpstreamChange> {
        if self.last_update.is_some_and(|last| now > last + OUTAGE_GAP) {
            self.outage_end = Some(now);
        }
        self.last_update = Some(now);
        let keep_missing = self
            .outage_end
            .is_some_and(|end| now < end + RECOVERY_GRACE);
        let mut next = Map::default();
        let mut changes = Vec::new();
        for new in list {
            match self.by_id.remove(&new.id) {
                None => changes.push(UpstreamChange::Added(new.clone())),
                Some(old) if new.leaving && !old.leaving => {
                    changes.push(UpstreamChange::Leaving(new.clone()));
                }
                Some(_) => (),
            }
            next.insert(new.id.clone(), new);
        }
        // Entries are rarely missing, so the names are collected only when needed.
        let names: Set<_> = match self.by_id.is_empty() {
            true => Set::default(),
            false => next
                .values()
                .map(|upstream| upstream.incarnation.name.clone())
                .collect(),
        };
        for (id, old) in self.by_id.drain() {
            // A new incarnation replaces the previous one immediately.
            match keep_missing && !names.contains(&old.incarnation.name) {
                true => drop(next.insert(id, old)),
                false => changes.push(UpstreamChange::Removed(old)),
            }
        }
        self.by_id = next;
        self.by_service.clear();
        for upstream in self.by_id.values() {
            let service = self.by_service.entry(upstream.service.clone());
            service.or_default().push(upstream.clone());
        }
        changes
    }

    /// Returns the time since the last update in milliseconds; [`None`] before the first one.
    pub fn age(&self, now: Millis) -> Option<Millis> {
        self.last_update.map(|last| now.saturating_sub(last))
    }

    /// Returns an upstream by its identifier.
    pub fn get(&self, id: &str) -> Option<&Arc<Upstream>> {
        self.by_id.get(id)
    }

    /// Iterates over all upstreams in arbitrary order.
    pub fn all(&self) -> impl Iterator<Item = &Arc<Upstream>> {
        self.by_id.values()
    }

    /// Iterates over the upstreams of a service in arbitrary order.
    pub fn of_service(&self, service: &str) -> impl Iterator<Item = &Arc<Upstream>> + Clone {
        self.by_service.get(service).into_iter().flatten()
    }

    /// Iterates over at most `limit` upstreams of a service, beginning at position `offset`.
    ///
    /// Positions wrap around, so different offsets give different subsets.
    pub fn subset_of_service(
        &self,
        service: &str,
        offset: u64,
        limit: usize,
    ) -> impl Iterator<Item = &Arc<Upstream>> {
        let all = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        let start = offset as usize % all.len().max(1);
        let (before, after) = all.split_at(start);
        after.iter().chain(before).take(limit)
    }
}
