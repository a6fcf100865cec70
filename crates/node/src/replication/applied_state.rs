//! Applies changes of the replica to this instance: the list of upstreams, crash records and the list of members.

use std::collections::BTreeMap;
use std::sync::Arc;

use kernel::Millis;
use kernel::Set;
use plat::Item;
use spread::Changes;
use table::Incarnations;
use table::Upstream;

use super::CRASH_RECORDS_PREFIX;
use super::upstream_list;
use crate::App;

/// The part of the replica that has been applied.
#[derive(Default)]
pub(super) struct AppliedState {
    /// The upstreams by their keys in the store.
    upstreams: BTreeMap<String, Arc<Upstream>>,
    /// The keys of entries that cannot be decoded.
    invalid_keys: Set<String>,
    /// The newest incarnation of each upstream.
    incarnations: Incarnations,
    /// When the list of members that was last applied had been read.
    members_read_at: Option<Millis>,
}

impl AppliedState {
    /// Returns the number of known upstreams.
    pub(super) fn len(&self) -> usize {
        self.upstreams.len()
    }

    /// Applies the changes of the replica.
    pub(super) fn apply_changes(&mut self, app: &App, changes: Changes) {
        self.apply_members(app);
        super::config::apply(app);
        for item in &changes.items {
            if item.key.starts_with(CRASH_RECORDS_PREFIX) {
                crash::report::merge_record(&app.crashes, item);
                continue;
            }
            self.apply_entry(app, item);
        }
        for key in &changes.removed {
            self.upstreams.remove(key);
            if self.invalid_keys.remove(key) {
                log::info!(target: "news", key = key.as_str(); "invalid upstream entry resolved");
            }
        }
        // Computing all names is needed only where one may have disappeared.
        if !changes.removed.is_empty() {
            let names = self
                .upstreams
                .values()
                .map(|upstream| upstream.incarnation.name.clone());
            let names: Set<_> = names.collect();
            self.incarnations.prune(|name| names.contains(name));
        }
        let (is_complete, rev, read_at) = {
            let replica = app.replica.lock();
            (replica.is_complete(), replica.rev(), replica.read_at())
        };
        // An upstream missing from an incomplete list may still exist.
        if let Some(read_at) = read_at.filter(|_| is_complete) {
            upstream_list::apply_upstreams(app, &self.upstreams, rev, read_at);
        }
    }

    /// Applies the list of members if it is newer.
    fn apply_members(&mut self, app: &App) {
        let members = {
            let replica = app.replica.lock();
            let newer = replica
                .membership()
                .filter(|membership| Some(membership.read_at) != self.members_read_at);
            self.members_read_at = replica.membership().map(|membership| membership.read_at);
            newer.map(|membership| membership.members.clone())
        };
        if let Some(members) = members {
            app.set_members(members);
        }
    }

    /// Applies an entry. An invalid one is skipped and does not affect the others.
    fn apply_entry(&mut self, app: &App, item: &Item) {
        match app.dialect.decode_upstream(&item.key, &item.value) {
            Ok(upstream) => {
                if self.invalid_keys.remove(&item.key) {
                    log::info!(target: "news", key = item.key.as_str(); "invalid upstream entry resolved");
                }
                // An entry of an earlier incarnation that arrives late is ignored.
                if let Some(id) = self.incarnations.identify(&upstream.incarnation, item.rev) {
                    let upstream = Arc::new(Upstream { id, ..upstream });
                    self.upstreams.insert(item.key.clone(), upstream);
                }
            }
            Err(error) => {
                self.upstreams.remove(&item.key);
                if self.invalid_keys.insert(item.key.clone()) {
                    let error = error.to_string();
                    log::warn!(target: "news", key = item.key.as_str(), revision = item.rev,
                        error = error.as_str(); "invalid upstream entry");
                }
            }
        }
    }
}
