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
use crate::peer::Heard;
use crate::reach::DependencyStatus;
use intake::Intake;
use reader::Reader;

/// Time for which an instance that has just started waits until it knows others, in milliseconds: it enters
/// before it reads their entries, and callers wait for an instance that is not ready.
const MEET: Millis = 600;

/// Time between two looks at whether others are known.
const LOOK: Duration = Duration::from_millis(10);

/// Instances that are asked for the list by one that has just started and would read it itself.
const ASKED: usize = 3;

/// What the keys of the records begin with in which instances say which requests crash upstreams.
pub(crate) const CRASHES: &str = "snipeway/crash/";

/// Follows the configuration and the list of upstreams.
///
/// One instance reads the platform, and the others hear from it along a tree. Whoever hears nothing in time from
/// the one that it follows asks a second one and then any other; the first ones of each failure domain read for
/// themselves instead, so a reader that is gone or turned away costs a moment. Each read gives
/// the whole state. A watch would cost less, but may be silent for many seconds after the platform
/// has dropped its history, and a change of the configuration would come into force long after its
/// bound.
pub async fn follow(app: Arc<App>) {
    let mut listener = Listener::new(&app);
    let mut reach = DependencyStatus::new("configuration and upstreams");
    listener.begin().await;
    loop {
        let begun = app.clock.now();
        let pause = match listener.round().await {
            Done::Told => {
                reach.mark_restored();
                continue;
            }
            Done::Lacked => 0,
            Done::Read(Ok(())) => {
                reach.mark_restored();
                timing::MIN_READ_PAUSE
            }
            Done::Read(Err(error)) => {
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
enum Done {
    /// Another instance has told something.
    Told,
    /// Nobody has told anything, and it is not this instance's turn to read.
    Lacked,
    /// It has read the platform, or tried to.
    Read(Result<(), PlatError>),
}

/// An instance that follows others, and reads when it has to.
struct Listener<'a> {
    app: &'a App,
    follower: Follower,
    intake: Intake,
    reader: Reader,
}

impl<'a> Listener<'a> {
    fn new(app: &'a App) -> Self {
        Self {
            app,
            follower: Follower::default(),
            intake: Intake::default(),
            reader: Reader::new(app),
        }
    }

    fn view(&self) -> View {
        let app = self.app;
        View {
            me: app.me.instance.clone(),
            domain: app.settings.domain.clone(),
            position: app.place(),
            members: app.members.lock().clone(),
            entries: self.intake.len(),
            random: rand::random(),
        }
    }

    /// Waits until other instances are known, and asks some of them for the list if this one would read it
    /// for all. What they know was read by somebody who knows what has been removed since, so nobody who
    /// follows this one has to be told the whole list again.
    async fn begin(&mut self) {
        let app = self.app;
        let begun = app.clock.now();
        while app.members_updated_at() == 0 && app.clock.now() < begun + MEET {
            sleep(LOOK).await;
        }
        if !app.place().sources.is_empty() || self.ask_some().await {
            return;
        }
        sleep(Duration::from_millis(timing::STARTUP_SETTLE)).await;
        member::meet(app).await;
    }

    /// Asks some others for the list; tells whether one had it.
    async fn ask_some(&mut self) -> bool {
        for _ in 0..ASKED {
            let Some(other) = self.follower.pick_other(&self.view()) else {
                return false;
            };
            while let Heard::News(news) = peer::news(self.app, other, self.app.have(), 0).await {
                self.hear(&news);
                if self.app.board.lock().is_complete() {
                    return true;
                }
            }
            self.follower.avoid(other, self.app.clock.now());
        }
        false
    }

    /// Asks the sources in turn, or reads.
    async fn round(&mut self) -> Done {
        let mut next = self
            .follower
            .begin_round(&self.view(), self.app.clock.now());
        loop {
            match next {
                Action::Poll(addr, wait) => {
                    match peer::news(self.app, addr, self.app.have(), wait).await {
                        Heard::News(news) => {
                            self.hear(&news);
                            self.follower.update_received();
                            self.app.set_blind(false);
                            return Done::Told;
                        }
                        Heard::Lack(lack) => next = self.lacks(lack),
                    }
                }
                Action::Pause => return Done::Lacked,
                Action::Read => return Done::Read(self.read().await),
            }
        }
    }

    fn lacks(&mut self, lack: PollFailure) -> Action {
        let next = self
            .follower
            .poll_failed(&self.view(), lack, self.app.clock.now());
        if (next, lack) == (Action::Pause, PollFailure::PlatformUnreachable) {
            self.app.set_blind(true);
        }
        next
    }

    /// Takes in what a source tells.
    fn hear(&mut self, news: &Update) {
        let now = self.app.clock.now();
        let changes = self.app.post(|board| board.merge(news, now));
        self.intake.take(self.app, changes);
    }

    async fn read(&mut self) -> Result<(), PlatError> {
        let begun = self.app.clock.now();
        let done = self.reader.read(self.app, &mut self.intake).await;
        self.follower.read_took(self.app.clock.now() - begun);
        self.app.set_blind(done.is_err());
        done
    }
}
