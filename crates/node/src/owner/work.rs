//! A step that this instance owns, and what it knows of it.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use batch::Confirmation;
use batch::Draft;
use batch::DraftDelta;
use batch::Entry;
use batch::Groups;
use batch::Head;
use batch::Ledger;
use batch::Outcome;
use batch::Permit;
use batch::Sample;
use batch::Spec;
use batch::draft::Checkpoints;
use batch::keys;
use kernel::Map;
use kernel::Millis;
use kernel::Set;
use parking_lot::Mutex;
use table::Route;
use team::Principal;
use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::time::timeout;

use crate::App;
use crate::claim;
use crate::claim::Ownership;
use crate::claim::OwnershipState;
use crate::print;
use crate::shelf::Page;

/// Time for which results are gathered into one write: a write is a call that the platform counts, and
/// nobody waits for the first results of a step.
const GATHER: Millis = 400;

/// Time for which word from the platform that the step is ours is believed when a reader is told
/// that there is no result yet.
const FRESH: Millis = 600;

/// A step that this instance owns.
pub struct OwnedStep {
    pub(super) step: Arc<str>,
    pub(super) head: Head,
    pub(super) rev: i64,
    pub(super) spec: Arc<Spec>,
    /// What each sample has so far, by its place in the step.
    pub(super) drafts: Vec<Mutex<Draft>>,
    /// How far the platform has them.
    pub(super) kept: Mutex<Checkpoints>,
    /// When the step was opened, on this instance's clock.
    pub(super) opened: Millis,
    pub(super) ledger: Mutex<Ledger>,
    pub(super) listed: watch::Sender<usize>,
    /// What is known of whether the step is open.
    pub(super) word: Mutex<Confirmation>,
    pub(super) ended: AtomicBool,
    pub(super) lost: AtomicBool,
    /// Whether another step goes on with what this one has left over.
    pub(super) handed: AtomicBool,
    /// Samples that an earlier step has left over.
    pub(super) again: Set<u32>,
    pub(super) bell: Notify,
}

impl OwnedStep {
    pub(super) fn new(
        app: &App,
        step: &Arc<str>,
        head: Head,
        spec: Spec,
        open: &Ownership,
        opened: Millis,
    ) -> Self {
        let groups = spec.samples.iter().map(|sample| &sample.group);
        let ledger = Ledger::new(Groups::new(groups, head.required_groups), GATHER);
        let drafts = spec.samples.iter().map(|_| Mutex::default());
        Self {
            drafts: drafts.collect(),
            kept: Mutex::default(),
            step: step.clone(),
            head,
            rev: open.rev(),
            spec: Arc::new(spec),
            opened,
            ledger: Mutex::new(ledger),
            listed: watch::Sender::new(0),
            word: Mutex::new(Confirmation::new(app.settings.cancel, open.asked_at())),
            ended: AtomicBool::new(false),
            lost: AtomicBool::new(false),
            handed: AtomicBool::new(false),
            again: Set::default(),
            bell: Notify::new(),
        }
    }

    /// Notes that the step has ended while its head had a revision, and how that was heard; with another one it is
    /// somebody else's by now, who may have listed more.
    pub(crate) fn mark_ended(&self, app: &App, rev: i64, why: &str) {
        if rev != self.rev || self.ended.swap(true, Ordering::Relaxed) {
            return;
        }
        log::info!(target: "owner", id = &*self.step, revision = rev, why, heard_ms = self.unheard(app);
            "end heard of");
        self.bell.notify_one();
    }

    pub(super) fn has_ended(&self) -> bool {
        self.ended.load(Ordering::Relaxed)
    }

    /// Notes that somebody else runs the step, whose head had a revision before.
    pub(crate) fn mark_replaced(&self, rev: i64) {
        if rev == self.rev {
            self.lose();
        }
    }

    pub(super) fn lose(&self) {
        if self.lost.swap(true, Ordering::Relaxed) {
            return;
        }
        log::warn!(target: "owner", id = &*self.step, revision = self.rev; "step taken over by somebody else");
        self.bell.notify_one();
    }

    pub(super) fn is_lost(&self) -> bool {
        self.lost.load(Ordering::Relaxed)
    }

    /// The step's name.
    pub(crate) fn name(&self) -> &Arc<str> {
        &self.step
    }

    /// Time since the step was last known to be open.
    pub(super) fn unheard(&self, app: &App) -> Millis {
        let heard = self.word.lock().confirmed_at();
        app.clock.now().saturating_sub(heard)
    }

    /// Leave to begin samples, or requests for their scores.
    pub(crate) fn permit(&self, app: &App) -> Option<Permit> {
        if self.has_ended() || self.is_lost() {
            return None;
        }
        self.word.lock().permit(app.clock.now())
    }

    /// Takes in what the platform says of the step; tells whether it is open, and still this instance's.
    pub(super) fn stand(&self, app: &App, standing: OwnershipState) -> bool {
        match standing {
            OwnershipState::Open(open) => {
                self.word.lock().confirm(open.asked_at());
                return true;
            }
            OwnershipState::Ended => self.mark_ended(app, self.rev, "asked"),
            OwnershipState::Lost => self.lose(),
        }
        false
    }

    /// Asks the platform whether the step is open, and still this instance's.
    pub(super) async fn ask(&self, app: &App) -> bool {
        let asked = app.clock.now();
        let standing = match app.plat.get(&keys::head(&self.step)).await {
            Ok(item) => claim::ownership_state(asked, self.rev, item.as_ref()),
            Err(error) => Err(error),
        };
        match standing {
            Ok(standing) => self.stand(app, standing),
            Err(error) => {
                self.unknown(app, &error.to_string());
                false
            }
        }
    }

    /// Tells that a question had no answer.
    pub(super) fn unknown(&self, app: &App, why: &str) {
        log::info!(target: "owner", id = &*self.step, why, heard_ms = self.unheard(app);
            "not known whether the step is open");
    }

    /// The body of a sample's request.
    pub fn sample_body(&self, sample: &str) -> Option<Vec<u8>> {
        let found = self.spec.samples.iter().find(|one| &*one.id == sample);
        found.map(|one| one.body.clone())
    }

    /// The results from a position on; [`None`] when this instance cannot be sure of them.
    pub async fn page(&self, app: &App, from: usize, wait: Millis) -> Option<Page> {
        let mut listed = self.listed.subscribe();
        let more = listed.wait_for(|count| *count > from);
        // The wait ends without a result when the time is over, or the step has been dropped.
        let _ = timeout(Duration::from_millis(wait), more).await;
        let page = {
            let ledger = self.ledger.lock();
            Page {
                total: self.head.total,
                entries: ledger.listed().get(from..).unwrap_or_default().to_vec(),
            }
        };
        let sure = !page.entries.is_empty() || self.is_sure(app).await;
        sure.then_some(page)
    }

    /// Tells whether nobody else can have listed results that are not known here.
    pub(super) async fn is_sure(&self, app: &App) -> bool {
        // A write that is under way may be at the platform, where others have read it already.
        if self.is_lost() || self.ledger.lock().has_pending_write() {
            return false;
        }
        if self.ledger.lock().is_done() || self.has_ended() {
            return true;
        }
        if app.clock.now() < self.word.lock().confirmed_at() + FRESH {
            return true;
        }
        self.ask(app).await
    }

    pub(super) fn route(&self, app: &App) -> Option<Arc<Route>> {
        let plan = app.plan.load();
        plan.as_ref()?
            .find_route(&self.head.host, &self.head.path)
            .cloned()
    }

    /// On whose behalf the step runs.
    pub(crate) fn principal(&self, app: &App) -> Principal {
        let plan = app.plan.load();
        let configured = plan.as_ref().is_some_and(|plan| plan.teams.is_some());
        Principal::from_record(self.head.team.as_ref(), configured)
    }

    /// A number that differs between samples whose requests differ, or are of different teams: no team gets
    /// anything of another one's text.
    pub(super) fn print(&self, sample: &Sample) -> u64 {
        print::left(self.head.team.as_deref(), sample)
    }

    /// Hands over what the step has left over of samples with some prints, once it has ended.
    pub fn hand(&self, model: &str, samples: &[u64]) -> Vec<(u64, Draft)> {
        if !self.has_ended() || *self.head.model != *model {
            return Vec::new();
        }
        let all = self.spec.samples.iter().zip(&self.drafts);
        let prints = all.map(|(sample, draft)| (self.print(sample), draft));
        let left = prints.filter(|(print, _)| samples.contains(print));
        let left = left.map(|(print, draft)| (print, draft.lock().clone()));
        let left: Vec<_> = left.filter(|(_, draft)| draft.last_event > 0).collect();
        if !left.is_empty() {
            self.handed.store(true, Ordering::Relaxed);
            self.bell.notify_one();
        }
        left
    }

    /// Takes over what an earlier step has left over, as far as the versions do here; gives the
    /// number of samples.
    pub(super) fn take_drafts(&self, drafts: Vec<(u64, Draft)>) -> usize {
        let mut left: Map<u64, Draft> = Map::default();
        for (print, draft) in drafts {
            let fits = draft
                .versions
                .iter()
                .all(|version| *version >= self.head.min_version);
            let longer = left
                .get(&print)
                .is_none_or(|have| have.last_event < draft.last_event);
            if fits && longer {
                left.insert(print, draft);
            }
        }
        let ledger = self.ledger.lock();
        let mut taken = 0;
        for (index, sample) in self.spec.samples.iter().enumerate() {
            let Some(draft) = left.remove(&self.print(sample)) else {
                continue;
            };
            let mut have = self.drafts[index].lock();
            if !ledger.has_ended(index as u32) && draft.last_event > have.last_event {
                *have = draft;
                self.kept.lock().reset(index as u32);
                taken += 1;
            }
        }
        taken
    }

    /// What samples that have not ended have gained since the platform was told of them.
    pub(super) fn gained(&self, ended: &[bool]) -> Vec<DraftDelta> {
        let drafts = self.drafts.iter().zip(ended).enumerate();
        let open = drafts.filter(|(_, (_, ended))| !**ended);
        let drafts: Vec<_> = open
            .map(|(index, (draft, _))| (index as u32, draft.lock()))
            .collect();
        let drafts = drafts.iter().map(|(index, draft)| (*index, &**draft));
        self.kept.lock().take_deltas(drafts)
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
