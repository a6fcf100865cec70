//! The loop that runs the samples of a step.

mod placing;

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use batch::Draft;
use batch::Outcome;
use batch::ledger::Action;
use kernel::Map;
use kernel::Millis;
use place::PendingSample;
use table::Upstream;
use tokio::task::JoinSet;
use tokio::time::sleep;

use self::placing::Placed;
use self::placing::Todo;
use super::OwnedStep;
use super::RETRY_PAUSE;
use super::checks::Checks;
use super::looks::Looks;
use super::write::Written;
use super::write::write_segment;
use crate::App;
use crate::meter;
use crate::run::Ended;
use crate::score;

/// Longest pause between two looks at what can be done.
const TICK: Duration = Duration::from_millis(50);

/// Time after a step's begin for which its samples' scores are asked for when its route is not known any
/// more, in milliseconds: no trainer waits longer for a step.
const TTL: Millis = 15_000;

/// What a run came to.
struct Ran {
    index: u32,
    ended: Ended,
    engine: Arc<Upstream>,
}

/// What asking for a sample's score came to.
struct Scored {
    index: u32,
    score: Option<Arc<str>>,
}

/// The loop that runs a step.
pub(super) struct Drive<'a> {
    app: &'a Arc<App>,
    work: &'a Arc<OwnedStep>,
    todo: VecDeque<Todo>,
    /// Samples under which engines crash; they wait until they may run again or the step gives them up.
    held: Vec<Todo>,
    runs: JoinSet<Ran>,
    scores: JoinSet<Scored>,
    writes: JoinSet<Written>,
    checks: Checks,
    looks: Looks,
    /// When no engine had room.
    blocked: Millis,
    failures: Map<u32, u32>,
    kin: Map<Arc<str>, Arc<str>>,
}

impl<'a> Drive<'a> {
    pub(super) fn new(app: &'a Arc<App>, work: &'a Arc<OwnedStep>) -> Self {
        let ledger = work.ledger.lock();
        let samples = work.spec.samples.iter().enumerate();
        let jobs = samples
            .map(|(index, sample)| {
                let begun = work.drafts[index].lock().last_event > 0;
                let index = index as u32;
                PendingSample {
                    index,
                    group: sample.group.clone(),
                    expected_tokens: sample.expected,
                    carried_over: begun || work.again.contains(&index),
                }
            })
            .filter(|job| !ledger.has_ended(job.index));
        // An earlier step may have left over texts that are whole already.
        let (texts, jobs): (Vec<_>, _) =
            jobs.partition(|job| work.drafts[job.index as usize].lock().complete);
        drop(ledger);
        let jobs = place::order_samples(jobs, work.head.required_groups);
        let todo = jobs.into_iter().map(|job| Todo {
            job,
            avoid: Vec::new(),
        });
        let mut drive = Self {
            app,
            work,
            todo: todo.collect(),
            held: Vec::new(),
            runs: JoinSet::new(),
            scores: JoinSet::new(),
            writes: JoinSet::new(),
            checks: Checks::default(),
            looks: Looks::default(),
            blocked: 0,
            failures: Map::default(),
            kin: Map::default(),
        };
        for text in texts {
            drive.score(text.index);
        }
        drive
    }

    /// Runs the step until it is whole, has ended or belongs to somebody else. Dropping the runs
    /// closes their connections, at which the engines stop.
    pub(super) async fn run(&mut self) {
        loop {
            if self.work.is_lost() || self.work.has_ended() {
                return;
            }
            let pause = match self.place() {
                Placed::Looked => TICK,
                Placed::Later(pause) => pause,
            };
            if self.write() {
                return;
            }
            self.checks.begin(self.app, self.work);
            tokio::select! {
                Some(Ok(ran)) = self.runs.join_next() => self.take(ran),
                Some(Ok(scored)) = self.scores.join_next() => self.scored(scored),
                Some(Ok(written)) = self.writes.join_next() => self.note(written).await,
                Some(()) = self.checks.ended() => (),
                Some(()) = self.looks.ended() => (),
                () = self.work.bell.notified() => (),
                () = self.app.room.notified() => (),
                () = sleep(pause) => (),
            }
        }
    }

    /// Lets running samples go on after the end of their step, until a later step has asked for
    /// them or they have ended. Groups that were left over come again within a second or two, and
    /// what is made meanwhile need not be made again.
    pub(super) async fn leave(&mut self) {
        // A score is of no use to a step that has ended, and no request of it may run after that.
        self.scores.abort_all();
        while !self.work.handed.load(Ordering::Relaxed) {
            tokio::select! {
                ran = self.runs.join_next() => if ran.is_none() { return },
                () = self.work.bell.notified() => (),
            }
        }
    }

    /// Takes in how a run ended.
    fn take(&mut self, ran: Ran) {
        let Ran {
            index,
            ended,
            engine,
        } = ran;
        let draft = &self.work.drafts[index as usize];
        match ended {
            Ended::Whole => return self.score(index),
            Ended::Hopeless => return self.fail(index),
            Ended::Failed => {
                let failures = self.failures.entry(index).or_default();
                *failures += 1;
                let route = self.work.route(self.app);
                let most = route.map_or(1, |route| route.max_attempts.max(1));
                if *failures >= most {
                    return self.fail(index);
                }
            }
            Ended::Broken(why) if why.starts_with("version") => {
                let single = self
                    .work
                    .route(self.app)
                    .is_some_and(|route| route.single_version);
                if single {
                    *draft.lock() = Draft::default();
                    self.work.kept.lock().reset(index);
                }
            }
            Ended::Unrun | Ended::Moved | Ended::Stale | Ended::Broken(_) => (),
        }
        let sample = &self.work.spec.samples[index as usize];
        let job = PendingSample {
            index,
            group: sample.group.clone(),
            expected_tokens: sample.expected,
            carried_over: false,
        };
        let avoid = match ended {
            Ended::Unrun | Ended::Stale => Vec::new(),
            _ => vec![engine.id.clone()],
        };
        self.todo.push_front(Todo { job, avoid });
    }

    /// Has a sample whose text is whole scored, or finishes it when it needs no score.
    fn score(&mut self, index: u32) {
        if self.work.spec.samples[index as usize].scoring.is_none() {
            return self.finish(index, None);
        }
        let route = self.work.route(self.app);
        let most = route.as_ref().map_or(1, |route| route.max_attempts);
        let ttl = route.map_or(TTL, |route| route.ttl);
        let (app, work) = (self.app.clone(), self.work.clone());
        let until = work.opened + ttl;
        self.scores.spawn(async move {
            let score = match &work.spec.samples[index as usize].scoring {
                Some(scoring) => {
                    let principal = work.principal(&app);
                    score::score(&app, &work, scoring, &principal, most, until).await
                }
                None => None,
            };
            Scored { index, score }
        });
    }

    fn scored(&mut self, scored: Scored) {
        match scored.score {
            Some(score) => self.finish(scored.index, Some(score)),
            None => self.fail(scored.index),
        }
    }

    fn finish(&mut self, index: u32, score: Option<Arc<str>>) {
        let draft = self.work.drafts[index as usize].lock().clone();
        self.enter(index, Outcome::Completed, draft, score);
    }

    fn fail(&mut self, index: u32) {
        self.enter(index, Outcome::Failed, Draft::default(), None);
    }

    fn enter(&mut self, index: u32, outcome: Outcome, draft: Draft, score: Option<Arc<str>>) {
        let word = match outcome {
            Outcome::Completed => "whole",
            Outcome::Failed => "failed",
        };
        metrics::counter!(meter::SAMPLES, "outcome" => word).increment(1);
        let entry = self.work.entry(index, outcome, draft, score);
        self.work.ledger.lock().finish(entry, self.app.clock.now());
    }

    /// Lists every sample that has not begun as failed.
    fn give_up(&mut self, why: &str) {
        log::warn!(target: "owner", id = &*self.work.step, why, samples = self.todo.len();
            "samples given up");
        self.todo.extend(self.held.drain(..));
        for todo in std::mem::take(&mut self.todo) {
            self.fail(todo.job.index);
        }
    }

    /// Writes the next segment when it is time; tells whether all is written.
    fn write(&mut self) -> bool {
        let mut ledger = self.work.ledger.lock();
        if ledger.is_done() {
            return true;
        }
        if !self.writes.is_empty() {
            return false;
        }
        let gained = |ended: &[bool]| self.work.gained(ended);
        if let Action::Write(segment) = ledger.next_action(self.app.clock.now(), gained) {
            let (app, work) = (self.app.clone(), self.work.clone());
            self.writes
                .spawn(async move { write_segment(&app, &work, &segment).await });
        }
        false
    }

    async fn note(&mut self, written: Written) {
        match written {
            Written::Kept => {
                let mut ledger = self.work.ledger.lock();
                ledger.mark_written();
                let count = ledger.listed().len();
                self.work.listed.send_replace(count);
                log::info!(target: "owner", id = &*self.work.step, listed = count,
                    total = self.work.head.total; "results listed");
            }
            Written::Unclear => sleep(RETRY_PAUSE).await,
            // What was heard ends the loop.
            Written::Ended | Written::Lost => (),
        }
    }
}
