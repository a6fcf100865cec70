//! A step that this instance owns, with the progress of its samples.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use batch::Confirmation;
use batch::Draft;
use batch::Entry;
use batch::Groups;
use batch::Head;
use batch::Ledger;
use batch::Outcome;
use batch::Permit;
use batch::Spec;
use batch::draft::Checkpoints;
use batch::keys;
use bytes::Bytes;
use kernel::Millis;
use kernel::Priority;
use kernel::Set;
use net::Reservation;
use net::SendCondition;
use parking_lot::Mutex;
use place::ModelDemand;
use table::Route;
use team::Principal;
use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::time::timeout;

use super::HeldSpec;
use super::step_end::StepProgress;
use crate::App;
use crate::result_cache::ResultPage;
use crate::step_head;
use crate::step_head::Ownership;
use crate::step_head::OwnershipState;

/// Time for which results are collected into one write. Each write counts against the platform's limits, and callers
/// do not wait for the first results of a step.
const WRITE_INTERVAL: Millis = 400;

/// Maximum age of the last confirmation that the step is open and owned by this instance, for an answer to a reader
/// that there are no new results.
const MAX_CONFIRMATION_AGE: Millis = 600;

/// A step that this instance owns.
pub struct OwnedStep {
    pub(super) step: Arc<str>,
    pub(super) head: Head,
    pub(super) rev: i64,
    pub(super) spec: Arc<Spec>,
    /// The memory that the samples take.
    _memory: Reservation,
    /// The text of each sample so far, by the sample's index in the step.
    pub(super) drafts: Vec<Mutex<Draft>>,
    /// How much of the drafts is saved at the platform.
    pub(super) checkpoints: Mutex<Checkpoints>,
    /// When the step was opened, on this instance's clock.
    pub(super) opened_at: Millis,
    pub(super) ledger: Mutex<Ledger>,
    /// Which engines run its samples, and when the step is expected to end.
    pub(super) progress: Mutex<StepProgress>,
    /// Number of results that were written to the platform.
    pub(super) listed: watch::Sender<usize>,
    /// The last confirmation that the step is open.
    pub(super) confirmation: Mutex<Confirmation>,
    pub(super) ended: AtomicBool,
    /// Whether another instance has taken the step over, or its records were removed.
    pub(super) lost: AtomicBool,
    /// Whether another step has adopted drafts of this one.
    pub(super) handed_over: AtomicBool,
    /// Indices of the samples that an earlier step did not finish.
    pub(super) carried_over: Set<u32>,
    /// Number of samples that wait for an engine.
    pub(super) waiting: AtomicU32,
    /// Number of samples that run at engines.
    pub(super) running: AtomicU32,
    /// Notified when the state of the step has changed.
    pub(super) changed: Notify,
}

impl OwnedStep {
    pub(super) fn new(
        app: &App,
        step: &Arc<str>,
        head: Head,
        HeldSpec { spec, memory }: HeldSpec,
        ownership: &Ownership,
        opened_at: Millis,
    ) -> Self {
        let groups = spec.samples.iter().map(|sample| &sample.group);
        let ledger = Ledger::new(Groups::new(groups, head.required_groups), WRITE_INTERVAL);
        let drafts = spec.samples.iter().map(|_| Mutex::default());
        Self {
            drafts: drafts.collect(),
            checkpoints: Mutex::default(),
            step: step.clone(),
            head,
            rev: ownership.rev(),
            spec: Arc::new(spec),
            _memory: memory,
            opened_at,
            ledger: Mutex::new(ledger),
            progress: Mutex::default(),
            listed: watch::Sender::new(0),
            confirmation: Mutex::new(Confirmation::new(
                app.settings.end_limit,
                ownership.sent_at(),
            )),
            ended: AtomicBool::new(false),
            lost: AtomicBool::new(false),
            handed_over: AtomicBool::new(false),
            carried_over: Set::default(),
            waiting: AtomicU32::new(0),
            running: AtomicU32::new(0),
            changed: Notify::new(),
        }
    }

    /// Marks the step as ended if it ended at head revision `rev`; `why` says how this instance learned of it. At
    /// another revision, another instance owned the step and may have written more results.
    pub(crate) fn mark_ended(&self, app: &App, rev: i64, why: &str) {
        if rev != self.rev || self.ended.swap(true, Ordering::Relaxed) {
            return;
        }
        log::info!(target: "owner", id = &*self.step, revision = rev, why, heard_ms = self.confirmation_age(app);
            "step has ended");
        self.changed.notify_one();
    }

    pub(super) fn has_ended(&self) -> bool {
        self.ended.load(Ordering::Relaxed)
    }

    /// Marks the step as lost if the instance that took it over replaced head revision `rev`.
    pub(crate) fn mark_replaced(&self, rev: i64) {
        if rev == self.rev {
            self.mark_lost();
        }
    }

    pub(super) fn mark_lost(&self) {
        if self.lost.swap(true, Ordering::Relaxed) {
            return;
        }
        log::warn!(target: "owner", id = &*self.step, revision = self.rev; "step taken over by another instance");
        self.changed.notify_one();
    }

    pub(super) fn is_lost(&self) -> bool {
        self.lost.load(Ordering::Relaxed)
    }

    /// The step's name.
    pub(crate) fn name(&self) -> &Arc<str> {
        &self.step
    }

    /// The model whose samples it runs.
    pub(crate) fn model(&self) -> &str {
        &self.head.model
    }

    /// Time since the check that last confirmed the step as open, in milliseconds.
    pub(super) fn confirmation_age(&self, app: &App) -> Millis {
        app.clock.now().saturating_sub(self.confirmed_at())
    }

    /// When the check that last confirmed the step as open was sent.
    pub(super) fn confirmed_at(&self) -> Millis {
        self.confirmation.lock().confirmed_at()
    }

    /// Returns a permit to start samples, or to send requests for their scores, if the step is known to be open.
    pub(crate) fn permit(&self, app: &App) -> Option<Permit> {
        if self.has_ended() || self.is_lost() {
            return None;
        }
        self.confirmation.lock().permit(app.clock.now())
    }

    /// Returns the condition under which a request with this permit may be sent.
    pub(crate) fn send_condition(self: &Arc<Self>, app: &App, permit: Permit) -> SendCondition {
        let (owned, clock) = (self.clone(), app.clock);
        SendCondition::new(move || {
            clock.now() < permit.deadline() && !owned.has_ended() && !owned.is_lost()
        })
    }

    /// Applies the result of a check of the head; returns whether the step is open and still owned by this instance.
    pub(super) fn apply_state(&self, app: &App, state: OwnershipState) -> bool {
        match state {
            OwnershipState::Open(ownership) => {
                self.confirmation.lock().confirm(ownership.sent_at());
                return true;
            }
            OwnershipState::Ended => self.mark_ended(app, self.rev, "asked"),
            OwnershipState::Lost => self.mark_lost(),
        }
        false
    }

    /// Asks the platform whether the step is open and still owned by this instance; false if it does not answer.
    pub(super) async fn confirm_ownership(&self, app: &App) -> bool {
        let sent_at = app.clock.now();
        let state = match app.plat.get(&keys::head(&self.step)).await {
            Ok(item) => step_head::ownership_state(sent_at, self.rev, item.as_ref()),
            Err(error) => Err(error),
        };
        match state {
            Ok(state) => self.apply_state(app, state),
            Err(error) => {
                self.log_unconfirmed(app, &error.to_string());
                false
            }
        }
    }

    /// Logs that a check of the head failed.
    pub(super) fn log_unconfirmed(&self, app: &App, why: &str) {
        log::info!(target: "owner", id = &*self.step, why, heard_ms = self.confirmation_age(app);
            "unknown whether the step is open");
    }

    /// The body of the request of the sample with this ID.
    pub fn sample_body(&self, id: &str) -> Option<Bytes> {
        let found = self.spec.samples.iter().find(|sample| &*sample.id == id);
        found.map(|sample| sample.body.clone())
    }

    /// The results from index `from` on, after waiting up to `wait` milliseconds for one; [`None`] if other results
    /// may have been written that this instance does not know.
    pub async fn page(&self, app: &App, from: usize, wait: Millis) -> Option<ResultPage> {
        let mut listed = self.listed.subscribe();
        let more = listed.wait_for(|count| *count > from);
        // The wait ends without a result on a timeout, or when the step was dropped.
        let _ = timeout(Duration::from_millis(wait), more).await;
        let page = {
            let ledger = self.ledger.lock();
            ResultPage {
                total: self.head.total,
                entries: ledger.listed().get(from..).unwrap_or_default().to_vec(),
            }
        };
        let current = !page.entries.is_empty() || self.is_current(app).await;
        current.then_some(page)
    }

    /// Returns whether this instance knows all results that were written.
    pub(super) async fn is_current(&self, app: &App) -> bool {
        // A pending write may already have been applied, and other instances may have read it.
        if self.is_lost() || self.ledger.lock().has_pending_write() {
            return false;
        }
        if self.ledger.lock().is_done() || self.has_ended() {
            return true;
        }
        if app.clock.now() < self.confirmation.lock().confirmed_at() + MAX_CONFIRMATION_AGE {
            return true;
        }
        self.confirm_ownership(app).await
    }

    pub(super) fn route(&self, app: &App) -> Option<Arc<Route>> {
        let config = app.config.load();
        config
            .as_ref()?
            .find_route(&self.head.host, &self.head.path)
            .cloned()
    }

    /// The step's route while the step is open and owned by this instance.
    pub(crate) fn open_route(&self, app: &App) -> Option<Arc<Route>> {
        match self.has_ended() || self.is_lost() {
            true => None,
            false => self.route(app),
        }
    }

    /// The samples that wait for or run on the engines of each service of the step's route. None count as waiting
    /// while the step has no permit to start them: otherwise, other owners would leave free slots for runs that cannot
    /// start.
    pub(crate) fn demands(&self, app: &App) -> Vec<ModelDemand> {
        let Some(route) = self.open_route(app) else {
            return Vec::new();
        };
        let waiting = match self.permit(app) {
            Some(_) => self.waiting.load(Ordering::Relaxed),
            None => 0,
        };
        let demand = |service: &Arc<str>| ModelDemand {
            service: service.clone(),
            model: self.head.model.clone(),
            min_version: self.head.min_version,
            waiting,
            running: self.running.load(Ordering::Relaxed),
        };
        let services = route.services.iter();
        services.map(|share| demand(&share.service)).collect()
    }

    /// The team on whose behalf the step runs, if teams are configured.
    pub(crate) fn principal(&self, app: &App) -> Principal {
        let config = app.config.load();
        let configured = config.as_ref().is_some_and(|config| config.teams.is_some());
        Principal::from_record(self.head.team.as_ref(), configured)
    }

    /// The priority of the step's samples, if its team or its route has one.
    pub(crate) fn priority(&self, app: &App) -> Option<Priority> {
        let config = app.config.load_full()?;
        let route = config.find_route(&self.head.host, &self.head.path)?;
        config.configured_priority(route, &self.principal(app))
    }

    pub(super) fn entry(
        &self,
        index: u32,
        outcome: Outcome,
        draft: Draft,
        score: Option<Arc<str>>,
    ) -> Entry {
        let id = self.spec.samples[index as usize].id.clone();
        Entry {
            index,
            id,
            outcome,
            text: draft.text.into(),
            versions: draft.versions,
            score,
        }
    }
}
