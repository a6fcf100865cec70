//! Taking in the configuration, the list of upstreams and who has entered.

use std::collections::BTreeMap;
use std::sync::Arc;

use kernel::Millis;
use kernel::Set;
use plat::Item;
use spread::Changes;
use table::Config;
use table::Incarnations;
use table::Upstream;

use super::CRASH_REPORTS_PREFIX;
use super::belief;
use crate::App;

/// Puts a configuration in force unless a newer one is.
fn activate_config(app: &App, item: &Item) {
    let plan = match app.dialect.decode_config(&item.value) {
        Ok(plan) => plan,
        Err(error) => {
            let error = error.to_string();
            log::error!(target: "news", revision = item.rev, error = error.as_str();
                "configuration not understood");
            return;
        }
    };
    let version = plan.version;
    if !replace_config(app, plan) {
        return;
    }
    metrics::gauge!(crate::meter::CONFIG_VERSION).set(version as f64);
    log::info!(target: "news", version, revision = item.rev; "configuration in force");
    app.capacity_changed.notify_waiters();
}

/// Replaces the configuration by a newer one; a late answer with an older one changes nothing.
fn replace_config(app: &App, plan: Config) -> bool {
    let held = app.config.load();
    if held
        .as_ref()
        .is_some_and(|held| held.version >= plan.version)
    {
        return false;
    }
    app.config.store(Some(Arc::new(plan)));
    true
}

/// What has been taken in.
#[derive(Default)]
pub(super) struct AppliedState {
    /// The upstreams by their keys.
    upstreams: BTreeMap<String, Arc<Upstream>>,
    /// The keys of entries that name no upstream.
    invalid_keys: Set<String>,
    /// Which start of each upstream is the newest.
    incarnations: Incarnations,
    /// The revision of the configuration.
    config_rev: i64,
    /// When the entries of instances were read that it has.
    members_read_at: Option<Millis>,
}

impl AppliedState {
    /// Upstreams that are known.
    pub(super) fn len(&self) -> usize {
        self.upstreams.len()
    }

    /// Takes in what has changed on the board.
    pub(super) fn apply_changes(&mut self, app: &App, changes: Changes) {
        self.apply_members(app);
        self.apply_config(app);
        for item in &changes.items {
            if item.key.starts_with(CRASH_REPORTS_PREFIX) {
                crash::report::merge_record(&app.crashes, item);
                continue;
            }
            self.apply_entry(app, item);
        }
        for key in &changes.removed {
            self.upstreams.remove(key);
            if self.invalid_keys.remove(key) {
                log::info!(target: "news", key = key.as_str(); "strange entry gone");
            }
        }
        // The names of all are worked out only where one may have gone.
        if !changes.removed.is_empty() {
            let names = self
                .upstreams
                .values()
                .map(|one| one.incarnation.name.clone());
            let names: Set<_> = names.collect();
            self.incarnations.prune(|name| names.contains(name));
        }
        let (whole, rev, at) = {
            let board = app.replica.lock();
            (board.is_complete(), board.rev(), board.read_at())
        };
        // Of what is known in part, what is missing is not gone.
        if let Some(at) = at.filter(|_| whole) {
            belief::apply_upstreams(app, &self.upstreams, rev, at);
        }
    }

    /// Takes in who has entered if that is news.
    fn apply_members(&mut self, app: &App) {
        let members = {
            let board = app.replica.lock();
            let new = board
                .membership()
                .filter(|roll| Some(roll.read_at) != self.members_read_at);
            self.members_read_at = board.membership().map(|roll| roll.read_at);
            new.map(|roll| roll.members.clone())
        };
        if let Some(members) = members {
            app.set_members(members);
        }
    }

    /// Takes in the configuration if that is news.
    pub(super) fn apply_config(&mut self, app: &App) {
        let plan = {
            let board = app.replica.lock();
            let plan = board.configuration();
            plan.filter(|plan| plan.rev > self.config_rev).cloned()
        };
        if let Some(plan) = plan {
            self.config_rev = plan.rev;
            activate_config(app, &plan);
        }
    }

    /// Takes in an entry. One that was written by something else names no upstream, and the others hold.
    fn apply_entry(&mut self, app: &App, item: &Item) {
        match app.dialect.decode_upstream(&item.key, &item.value) {
            Ok(one) => {
                if self.invalid_keys.remove(&item.key) {
                    log::info!(target: "news", key = item.key.as_str(); "strange entry gone");
                }
                // A late entry of a former start changes nothing.
                if let Some(id) = self.incarnations.identify(&one.incarnation, item.rev) {
                    let one = Arc::new(Upstream { id, ..one });
                    self.upstreams.insert(item.key.clone(), one);
                }
            }
            Err(error) => {
                self.upstreams.remove(&item.key);
                if self.invalid_keys.insert(item.key.clone()) {
                    let error = error.to_string();
                    log::warn!(target: "news", key = item.key.as_str(), revision = item.rev,
                        error = error.as_str(); "strange entry");
                }
            }
        }
    }
}
