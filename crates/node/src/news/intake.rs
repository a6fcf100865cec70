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

use super::CRASHES;
use super::belief;
use crate::App;

/// Puts a configuration in force unless a newer one is.
fn apply(app: &App, item: &Item) {
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
    if !replace(app, plan) {
        return;
    }
    metrics::gauge!(crate::meter::VERSION).set(version as f64);
    log::info!(target: "news", version, revision = item.rev; "configuration in force");
    app.capacity_changed.notify_waiters();
}

/// Replaces the configuration by a newer one; a late answer with an older one changes nothing.
fn replace(app: &App, plan: Config) -> bool {
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
pub(super) struct Intake {
    /// The upstreams by their keys.
    list: BTreeMap<String, Arc<Upstream>>,
    /// The keys of entries that name no upstream.
    strange: Set<String>,
    /// Which start of each upstream is the newest.
    starts: Incarnations,
    /// The revision of the configuration.
    plan: i64,
    /// When the entries of instances were read that it has.
    met: Option<Millis>,
}

impl Intake {
    /// Upstreams that are known.
    pub(super) fn len(&self) -> usize {
        self.list.len()
    }

    /// Takes in what has changed on the board.
    pub(super) fn take(&mut self, app: &App, changes: Changes) {
        self.take_roll(app);
        self.take_plan(app);
        for item in &changes.items {
            if item.key.starts_with(CRASHES) {
                crash::report::merge_record(&app.crashes, item);
                continue;
            }
            self.take_entry(app, item);
        }
        for key in &changes.removed {
            self.list.remove(key);
            if self.strange.remove(key) {
                log::info!(target: "news", key = key.as_str(); "strange entry gone");
            }
        }
        // The names of all are worked out only where one may have gone.
        if !changes.removed.is_empty() {
            let names = self.list.values().map(|one| one.incarnation.name.clone());
            let names: Set<_> = names.collect();
            self.starts.prune(|name| names.contains(name));
        }
        let (whole, rev, at) = {
            let board = app.board.lock();
            (board.is_complete(), board.rev(), board.read_at())
        };
        // Of what is known in part, what is missing is not gone.
        if let Some(at) = at.filter(|_| whole) {
            belief::believe(app, &self.list, rev, at);
        }
    }

    /// Takes in who has entered if that is news.
    fn take_roll(&mut self, app: &App) {
        let members = {
            let board = app.board.lock();
            let new = board
                .membership()
                .filter(|roll| Some(roll.read_at) != self.met);
            self.met = board.membership().map(|roll| roll.read_at);
            new.map(|roll| roll.members.clone())
        };
        if let Some(members) = members {
            app.set_members(members);
        }
    }

    /// Takes in the configuration if that is news.
    pub(super) fn take_plan(&mut self, app: &App) {
        let plan = {
            let board = app.board.lock();
            let plan = board.configuration();
            plan.filter(|plan| plan.rev > self.plan).cloned()
        };
        if let Some(plan) = plan {
            self.plan = plan.rev;
            apply(app, &plan);
        }
    }

    /// Takes in an entry. One that was written by something else names no upstream, and the others hold.
    fn take_entry(&mut self, app: &App, item: &Item) {
        match app.dialect.decode_upstream(&item.key, &item.value) {
            Ok(one) => {
                if self.strange.remove(&item.key) {
                    log::info!(target: "news", key = item.key.as_str(); "strange entry gone");
                }
                // A late entry of a former start changes nothing.
                if let Some(id) = self.starts.identify(&one.incarnation, item.rev) {
                    let one = Arc::new(Upstream { id, ..one });
                    self.list.insert(item.key.clone(), one);
                }
            }
            Err(error) => {
                self.list.remove(&item.key);
                if self.strange.insert(item.key.clone()) {
                    let error = error.to_string();
                    log::warn!(target: "news", key = item.key.as_str(), revision = item.rev,
                        error = error.as_str(); "strange entry");
                }
            }
        }
    }
}
