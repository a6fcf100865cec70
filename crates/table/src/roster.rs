//! The upstreams that the platform lists.

use std::net::SocketAddr;
use std::sync::Arc;

use kernel::Map;
use kernel::Millis;
use kernel::Set;

use crate::Incarnation;

/// Gap between two reads of the list after which the platform counts as having been away: two
/// reads in a row are missing at the usual pace of one a second.
const AWAY: Millis = 2_500;

/// Time after the platform's return for which a missing entry is kept. Entries of living
/// upstreams that lapsed during an outage are back within about two seconds.
const RETURN: Millis = 2_200;

/// An upstream as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Upstream {
    /// Identifies one start of the upstream.
    pub id: Arc<str>,
    /// What it says of its start.
    pub incarnation: Incarnation,
    /// The service that it belongs to.
    pub service: Arc<str>,
    /// Its address.
    pub addr: SocketAddr,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// Requests that it works on at the same time.
    pub slots: u32,
    /// Whether it is about to leave.
    pub leaving: bool,
    /// Whether it costs less and may be taken away at any moment.
    pub spot: bool,
    /// The models that it has, with the version of their weights.
    pub weights: Vec<(Arc<str>, u64)>,
}

/// What has changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UpstreamChange {
    /// An upstream is there.
    Added(Arc<Upstream>),
    /// An upstream is about to leave.
    Leaving(Arc<Upstream>),
    /// An upstream is gone.
    Removed(Arc<Upstream>),
}

/// The upstreams as one instance knows them.
///
/// # Examples
///
/// ```
/// use table::{Upstream, UpstreamList, Incarnation};
///
/// let listed = Upstream {
///     id: "i-1".into(), incarnation: Incarnation { name: "i-1".into(), started_at: None, heartbeats: 1 }, service: "fit".into(), addr: ([127, 0, 0, 1], 1).into(),
///     domain: "nord".into(), slots: 8, leaving: false, spot: false, weights: Vec::new(),
/// };
/// let mut roster = UpstreamList::default();
/// roster.update(vec![listed], 0);
/// assert_eq!(roster.of_service("fit").count(), 1);
/// roster.update(Vec::new(), 1_000);
/// assert_eq!(roster.of_service("fit").count(), 0);
/// ```
#[derive(Clone, Debug, Default)]
pub struct UpstreamList {
    all: Map<Arc<str>, Arc<Upstream>>,
    /// The same by service: whoever looks for one upstream of a few must not pass thousands of others.
    services: Map<Arc<str>, Vec<Arc<Upstream>>>,
    read: Option<Millis>,
    back: Option<Millis>,
}

impl UpstreamList {
    /// Takes in what a read of the whole list gave; tells what has changed.
    pub fn update(&mut self, list: Vec<Upstream>, now: Millis) -> Vec<UpstreamChange> {
        self.update_shared(list.into_iter().map(Arc::new), now)
    }

    /// Takes in what a read of the whole list gave without copying entries: most of a list of thousands is
    /// what it was a second ago.
    pub fn update_shared(
        &mut self,
        list: impl IntoIterator<Item = Arc<Upstream>>,
        now: Millis,
    ) -> Vec<UpstreamChange> {
        if self.read.is_some_and(|read| now > read + AWAY) {
            self.back = Some(now);
        }
        self.read = Some(now);
        let held = self.back.is_some_and(|back| now < back + RETURN);
        let mut next = Map::default();
        let mut news = Vec::new();
        for one in list {
            match self.all.remove(&one.id) {
                None => news.push(UpstreamChange::Added(one.clone())),
                Some(old) if one.leaving && !old.leaving => {
                    news.push(UpstreamChange::Leaving(one.clone()));
                }
                Some(_) => (),
            }
            next.insert(one.id.clone(), one);
        }
        // Seldom is any missing.
        let names: Set<_> = match self.all.is_empty() {
            true => Set::default(),
            false => next
                .values()
                .map(|one| one.incarnation.name.clone())
                .collect(),
        };
        for (id, old) in self.all.drain() {
            // A new start takes the place of the former one at once.
            match held && !names.contains(&old.incarnation.name) {
                true => drop(next.insert(id, old)),
                false => news.push(UpstreamChange::Removed(old)),
            }
        }
        self.all = next;
        self.services.clear();
        for one in self.all.values() {
            let service = self.services.entry(one.service.clone());
            service.or_default().push(one.clone());
        }
        news
    }

    /// Age of what is known, in milliseconds; [`None`] before the first read.
    pub fn age(&self, now: Millis) -> Option<Millis> {
        self.read.map(|read| now.saturating_sub(read))
    }

    /// Finds an upstream.
    pub fn get(&self, id: &str) -> Option<&Arc<Upstream>> {
        self.all.get(id)
    }

    /// All upstreams, in no order.
    pub fn all(&self) -> impl Iterator<Item = &Arc<Upstream>> {
        self.all.values()
    }

    /// The upstreams of a service, in no order.
    pub fn of_service(&self, service: &str) -> impl Iterator<Item = &Arc<Upstream>> + Clone {
        self.services.get(service).into_iter().flatten()
    }

    /// At most `count` upstreams of a service, others for each `dice`.
    pub fn subset_of_service(
        &self,
        service: &str,
        dice: u64,
        count: usize,
    ) -> impl Iterator<Item = &Arc<Upstream>> {
        let all = self.services.get(service).map_or(&[][..], Vec::as_slice);
        let from = dice as usize % all.len().max(1);
        let (before, behind) = all.split_at(from);
        behind.iter().chain(before).take(count)
    }
}
