//! Replication of the configuration, the list of upstreams and the list of members.

mod applied_state;
mod config;
mod confirmation;
mod demand;
mod reader;
mod upstream_list;

use std::sync::Arc;
use std::time::Duration;

use kernel::Millis;
use plat::PlatError;
use spread::Action;
use spread::Follower;
use spread::PollFailure;
use spread::Update;
use spread::View;
use spread::timing;
use tokio::time::sleep;

use crate::App;
use crate::dependency::DependencyStatus;
use crate::member;
use crate::peer;
use crate::peer::PollOutcome;
use crate::sync_status::SyncStep;
use crate::telemetry;
use applied_state::AppliedState;
pub(crate) use confirmation::ConfirmationState;
pub(crate) use demand::Demand;
pub(crate) use demand::LeadershipGuard;
pub(crate) use demand::follow_on_demand;
pub(crate) use demand::needs_state;
use reader::PlatformReader;

/// Longest time that a starting instance waits for the list of members, in milliseconds: it writes its own entry
/// before it reads the others, and callers wait while it is not ready.
const MEMBERS_TIMEOUT: Millis = 600;

/// Interval between checks whether members are known.
const MEMBERS_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Number of other instances that a starting instance polls if it would otherwise read the platform.
const MAX_STARTUP_PEERS: usize = 3;

/// Prefix of the records in which instances publish which requests crash upstreams.
pub(crate) const CRASH_RECORDS_PREFIX: &str = "snipeway/crash/";

/// Keeps the configuration and the list of upstreams current.
///
/// One instance reads the platform, and the others get updates from it along a tree. An instance that gets no
/// update in time from its source polls a second one and then any other; the first ones of each failure domain read
/// the platform instead, so the loss of a reader costs only moments. Each read returns the whole state. A watch
/// would cost less, but it may stay silent for many seconds after the platform has compacted its history, and a
/// change of the configuration would then take effect long after its limit.
///
/// Beside that, the configuration alone is confirmed before it is too old.
pub async fn follow(app: Arc<App>) {
    tokio::select! {
        () = synchronize(&app) => (),
        () = confirmation::keep_confirmed(app.clone()) => (),
    }
}

async fn synchronize(app: &Arc<App>) {
    let mut synchronizer = Synchronizer::new(app);
    let mut status = DependencyStatus::new("configuration and upstreams");
    synchronizer.bootstrap().await;
    loop {
        let started = app.clock.now();
        let pause = match synchronizer.round().await {
            RoundOutcome::Updated => {
                status.mark_restored();
                continue;
            }
            RoundOutcome::NotUpdated => 0,
            RoundOutcome::Read(Ok(())) => {
                status.mark_restored();
                timing::MIN_READ_PAUSE
            }
            RoundOutcome::Read(Err(error)) => {
                status.mark_lost(&error);
                timing::MIN_READ_PAUSE
            }
        };
        let elapsed = app.clock.now() - started;
        let wait = timing::READ_INTERVAL.saturating_sub(elapsed).max(pause);
        sleep(Duration::from_millis(wait)).await;
    }
}

/// The outcome of a round.
enum RoundOutcome {
    /// Another instance has sent an update.
    Updated,
    /// No source has sent an update, and it is not this instance's turn to read.
    NotUpdated,
    /// The platform was read, or a read has failed.
    Read(Result<(), PlatError>),
}

/// Polls other instances, and reads the platform when it has to.
struct Synchronizer<'a> {
    app: &'a Arc<App>,
    follower: Follower,
    applied: AppliedState,
    reader: PlatformReader,
}

impl<'a> Synchronizer<'a> {
    fn new(app: &'a Arc<App>) -> Self {
        Self {
            app,
            follower: Follower::default(),
            applied: AppliedState::default(),
            reader: PlatformReader::new(app),
        }
    }

    fn view(&self) -> View {
        let app = self.app;
        View {
            me: app.me.instance.clone(),
            domain: app.settings.domain.clone(),
            position: app.tree_position(),
            members: app.members.lock().clone(),
            entries: self.applied.len(),
            age: app.replica.lock().age(app.clock.now()),
            limit: app.settings.apply_limit,
            random: rand::random(),
        }
    }

    /// Waits until members are known, and polls some of them if this instance would otherwise read the platform.
    /// Their state was read by an instance that knows which entries were removed since, so that instances which
    /// poll this one need not get the complete list again.
    async fn bootstrap(&mut self) {
        let app = self.app;
        let started = app.clock.now();
        while app.members_updated_at() == 0 && app.clock.now() < started + MEMBERS_TIMEOUT {
            sleep(MEMBERS_CHECK_INTERVAL).await;
        }
        if !app.tree_position().sources.is_empty() || self.poll_others().await {
            return;
        }
        sleep(Duration::from_millis(timing::STARTUP_SETTLE)).await;
        member::read_members(app).await;
    }

    /// Polls some other instances; returns whether one had the complete list.
    async fn poll_others(&mut self) -> bool {
        for _ in 0..MAX_STARTUP_PEERS {
            let Some(addr) = self.follower.pick_other(&self.view()) else {
                return false;
            };
            while let PollOutcome::Update(update, written_at) =
                peer::poll(self.app, addr, self.app.sync_state(), 0).await
            {
                self.apply_update(&update, written_at);
                if self.app.replica.lock().is_complete() {
                    return true;
                }
            }
            self.follower.avoid(addr, self.app.clock.now());
        }
        false
    }

    /// Polls the sources in turn, or reads the platform.
    async fn round(&mut self) -> RoundOutcome {
        let mut action = self
            .follower
            .begin_round(&self.view(), self.app.clock.now());
        loop {
            match action {
                Action::Poll(addr, wait) => {
                    self.begin_step(SyncStep::Poll(addr));
                    match peer::poll(self.app, addr, self.app.sync_state(), wait).await {
                        PollOutcome::Update(update, written_at) => {
                            self.apply_update(&update, written_at);
                            self.end_step("update");
                            self.follower.update_received();
                            self.app.set_platform_unreachable(false);
                            return RoundOutcome::Updated;
                        }
                        PollOutcome::Failed(failure) => {
                            self.end_step(failure.name());
                            action = self.poll_failed(failure);
                        }
                    }
                }
                Action::Pause => return RoundOutcome::NotUpdated,
                Action::Read => return RoundOutcome::Read(self.read_platform().await),
            }
        }
    }

    fn begin_step(&self, step: SyncStep) {
        let now = self.app.clock.now();
        self.app.sync_status.lock().begin(step, now);
    }

    fn end_step(&self, result: &'static str) {
        metrics::counter!(telemetry::SYNC_STEPS, "result" => result).increment(1);
        let now = self.app.clock.now();
        self.app.sync_status.lock().end(result, now);
    }

    fn poll_failed(&mut self, failure: PollFailure) -> Action {
        let action = self
            .follower
            .poll_failed(&self.view(), failure, self.app.clock.now());
        if (action, failure) == (Action::Pause, PollFailure::PlatformUnreachable) {
            self.app.set_platform_unreachable(true);
        }
        action
    }

    /// Merges an update, sent at `written_at` or later, into the replica and applies the changes.
    fn apply_update(&mut self, update: &Update, written_at: Millis) {
        let changes = self
            .app
            .update_replica(|replica| replica.merge(update, written_at));
        self.applied.apply_changes(self.app, changes);
    }

    async fn read_platform(&mut self) -> Result<(), PlatError> {
        let started = self.app.clock.now();
        self.begin_step(SyncStep::Read);
        let result = self.reader.read(self.app, &mut self.applied).await;
        self.end_step(if result.is_ok() {
            "read"
        } else {
            "read failed"
        });
        let now = self.app.clock.now();
        self.follower.read_ended(now - started, result.is_ok(), now);
        self.app.set_platform_unreachable(result.is_err());
        result
    }
}
