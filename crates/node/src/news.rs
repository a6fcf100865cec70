//! Following the configuration and the list of upstreams.

mod belief;
mod intake;
mod reader;

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
use crate::member;
use crate::peer;
use crate::peer::PollOutcome;
use crate::reach::DependencyStatus;
use intake::AppliedState;
use reader::PlatformReader;

/// Time for which an instance that has just started waits until it knows others, in milliseconds: it enters
/// before it reads their entries, and callers wait for an instance that is not ready.
const MEMBERS_TIMEOUT: Millis = 600;

/// Time between two looks at whether others are known.
const MEMBERS_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Instances that are asked for the list by one that has just started and would read it itself.
const MAX_STARTUP_PEERS: usize = 3;

/// What the keys of the records begin with in which instances say which requests crash upstreams.
pub(crate) const CRASH_REPORTS_PREFIX: &str = "snipeway/crash/";

/// Follows the configuration and the list of upstreams.
///
/// One instance reads the platform, and the others hear from it along a tree. Whoever hears nothing in time from
/// the one that it follows asks a second one and then any other; the first ones of each failure domain read for
/// themselves instead, so a reader that is gone or turned away costs a moment. Each read gives
/// the whole state. A watch would cost less, but may be silent for many seconds after the platform
/// has dropped its history, and a change of the configuration would come into force long after its
/// bound.
pub async fn follow(app: Arc<App>) {
    let mut listener = Synchronizer::new(&app);
    let mut reach = DependencyStatus::new("configuration and upstreams");
    listener.bootstrap().await;
    loop {
        let begun = app.clock.now();
        let pause = match listener.round().await {
            RoundOutcome::Updated => {
                reach.mark_restored();
                continue;
            }
            RoundOutcome::NotUpdated => 0,
            RoundOutcome::Read(Ok(())) => {
                reach.mark_restored();
                timing::MIN_READ_PAUSE
            }
            RoundOutcome::Read(Err(error)) => {
                reach.mark_lost(&error);
                timing::MIN_READ_PAUSE
            }
        };
        let used = app.clock.now() - begun;
        let rest = timing::READ_INTERVAL.saturating_sub(used).max(pause);
        sleep(Duration::from_millis(rest)).await;
    }
}

/// What came of a round.
enum RoundOutcome {
    /// Another instance has told something.
    Updated,
    /// Nobody has told anything, and it is not this instance's turn to read.
    NotUpdated,
    /// It has read the platform, or tried to.
    Read(Result<(), PlatError>),
}

/// An instance that follows others, and reads when it has to.
struct Synchronizer<'a> {
    app: &'a App,
    follower: Follower,
    applied: AppliedState,
    reader: PlatformReader,
}

impl<'a> Synchronizer<'a> {
    fn new(app: &'a App) -> Self {
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
            random: rand::random(),
        }
    }

    /// Waits until other instances are known, and asks some of them for the list if this one would read it
    /// for all. What they know was read by somebody who knows what has been removed since, so nobody who
    /// follows this one has to be told the whole list again.
    async fn bootstrap(&mut self) {
        let app = self.app;
        let begun = app.clock.now();
        while app.members_updated_at() == 0 && app.clock.now() < begun + MEMBERS_TIMEOUT {
            sleep(MEMBERS_CHECK_INTERVAL).await;
        }
        if !app.tree_position().sources.is_empty() || self.poll_others().await {
            return;
        }
        sleep(Duration::from_millis(timing::STARTUP_SETTLE)).await;
        member::read_members(app).await;
    }

    /// Asks some others for the list; tells whether one had it.
    async fn poll_others(&mut self) -> bool {
        for _ in 0..MAX_STARTUP_PEERS {
            let Some(other) = self.follower.pick_other(&self.view()) else {
                return false;
            };
            while let PollOutcome::Update(news) =
                peer::poll(self.app, other, self.app.sync_state(), 0).await
            {
                self.apply_update(&news);
                if self.app.replica.lock().is_complete() {
                    return true;
                }
            }
            self.follower.avoid(other, self.app.clock.now());
        }
        false
    }

    /// Asks the sources in turn, or reads.
    async fn round(&mut self) -> RoundOutcome {
        let mut next = self
            .follower
            .begin_round(&self.view(), self.app.clock.now());
        loop {
            match next {
                Action::Poll(addr, wait) => {
                    match peer::poll(self.app, addr, self.app.sync_state(), wait).await {
                        PollOutcome::Update(news) => {
                            self.apply_update(&news);
                            self.follower.update_received();
                            self.app.set_platform_unreachable(false);
                            return RoundOutcome::Updated;
                        }
                        PollOutcome::Failed(lack) => next = self.poll_failed(lack),
                    }
                }
                Action::Pause => return RoundOutcome::NotUpdated,
                Action::Read => return RoundOutcome::Read(self.read_platform().await),
            }
        }
    }

    fn poll_failed(&mut self, lack: PollFailure) -> Action {
        let next = self
            .follower
            .poll_failed(&self.view(), lack, self.app.clock.now());
        if (next, lack) == (Action::Pause, PollFailure::PlatformUnreachable) {
            self.app.set_platform_unreachable(true);
        }
        next
    }

    /// Takes in what a source tells.
    fn apply_update(&mut self, news: &Update) {
        let now = self.app.clock.now();
        let changes = self.app.update_replica(|board| board.merge(news, now));
        self.applied.apply_changes(self.app, changes);
    }

    async fn read_platform(&mut self) -> Result<(), PlatError> {
        let begun = self.app.clock.now();
        let done = self.reader.read(self.app, &mut self.applied).await;
        self.follower.read_took(self.app.clock.now() - begun);
        self.app.set_platform_unreachable(done.is_err());
        done
    }
}
