//! Confirms that the configuration is the newest, whatever the polls and reads of the whole state wait for.
//!
//! The platform is asked directly. While it does not answer, other instances are asked as well, a few first and then
//! more: each of them keeps its own configuration confirmed, so that one that reaches the platform is enough.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use kernel::Millis;
use parking_lot::Mutex;
use plat::Answer;
use plat::Call;
use plat::Item;
use plat::PlatError;
use rand::seq::SliceRandom;
use spread::ConfirmAction;
use spread::Confirmation;
use spread::confirmation::ATTEMPT_TIME;
use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;

use super::config;
use crate::App;
use crate::dependency::DependencyStatus;
use crate::peer;

/// Time that the platform has before others are asked, and that these have before more are.
const WAVE_INTERVAL: Duration = Duration::from_millis(150);

/// Number of other instances that are asked first; it doubles with each wave.
const FIRST_WAVE: usize = 3;

/// Maximum number of waves of an attempt.
const MAX_WAVES: usize = 3;

/// Time for which another instance may wait for a confirmation of its own, in milliseconds.
const PEER_WAIT: Millis = 300;

/// The confirmations of the configuration, shared by all who want one.
pub(crate) struct ConfirmationState {
    /// When an attempt is due and what has come of the last ones.
    pub(crate) policy: Mutex<Confirmation>,
    /// Held during an attempt, so that one serves all who want it; whether the last one has failed, for the log.
    attempt: tokio::sync::Mutex<DependencyStatus>,
    /// Notified when a request needs a confirmation.
    pub(crate) wanted: Notify,
    /// Notified when an attempt has ended.
    pub(crate) ended: watch::Sender<()>,
}

impl ConfirmationState {
    pub(crate) fn new(instance: &str, limit: Millis) -> Self {
        Self {
            policy: Mutex::new(Confirmation::new(instance, limit)),
            attempt: tokio::sync::Mutex::new(DependencyStatus::new("configuration")),
            wanted: Notify::new(),
            ended: watch::Sender::default(),
        }
    }
}

/// Keeps the configuration confirmed; never returns.
pub(super) async fn keep_confirmed(app: Arc<App>) {
    loop {
        let (age, now) = (config_age(&app), app.clock.now());
        let action = app.confirmation.policy.lock().next(age, now);
        match action {
            ConfirmAction::Wait(wait) => tokio::select! {
                () = sleep(Duration::from_millis(wait)) => (),
                () = app.confirmation.wanted.notified() => (),
            },
            // The result is logged there, and decides when the next attempt is due.
            ConfirmAction::Confirm => drop(confirm(&app).await),
        }
    }
}

fn config_age(app: &App) -> Option<Millis> {
    app.replica.lock().config_age(app.clock.now())
}

/// Confirms the configuration once. Those who want it at the same time share one attempt.
///
/// # Errors
///
/// Returns the [`PlatError`] of the direct call if nobody has a newer confirmation.
pub(super) async fn confirm(app: &Arc<App>) -> Result<(), PlatError> {
    let asked = app.clock.now();
    let mut status = app.confirmation.attempt.lock().await;
    let (age, began) = (config_age(app), app.clock.now());
    if age.is_some_and(|age| began.saturating_sub(age) >= asked) {
        return Ok(());
    }
    let result = Attempt::new(app).run().await;
    let now = app.clock.now();
    match &result {
        Ok(source) => {
            status.mark_restored();
            app.confirmation.policy.lock().succeeded();
            if app.confirmation.policy.lock().is_due(age) {
                log_confirmed(*source, age, now - began);
            }
        }
        Err(error) => {
            status.mark_lost(error);
            app.confirmation.policy.lock().failed(began, now);
        }
    }
    app.confirmation.ended.send_replace(());
    result.map(drop)
}

/// Confirms the configuration like [`confirm`]; [`None`] if the last attempt has failed. A list that is read at the same
/// time shows whether the platform is back.
pub(super) async fn confirm_unless_failed(app: &Arc<App>) -> Option<Result<(), PlatError>> {
    let has_failed = app.confirmation.policy.lock().has_failed();
    match has_failed {
        true => None,
        false => Some(confirm(app).await),
    }
}

fn log_confirmed(source: Option<SocketAddr>, age: Option<Millis>, took: Millis) {
    let address = source.map_or_else(|| "platform".to_owned(), |addr| addr.to_string());
    log::info!(target: "news", address = address.as_str(), config_age_ms = age, took_ms = took;
        "configuration confirmed");
}

/// What the platform or another instance has replied.
enum Reply {
    /// Who has confirmed it, [`None`] for the platform; the configuration, if it is newer or was read at the platform;
    /// and when it was the newest.
    Confirmed(Option<SocketAddr>, Option<Item>, Millis),
    /// The platform did not answer.
    Failed(PlatError),
    /// The other instance did not reply, or knows nothing newer.
    Nothing,
}

/// How far an attempt is.
enum Progress {
    /// The platform, or the instance at this address, has confirmed the configuration.
    Confirmed(Option<SocketAddr>),
    /// Calls are under way.
    Waiting,
    /// All calls have failed.
    Failed,
}

/// An attempt to confirm the configuration.
struct Attempt<'a> {
    app: &'a Arc<App>,
    calls: JoinSet<Reply>,
    /// The other instances that were not asked yet.
    peers: Vec<SocketAddr>,
    /// Number of waves that may follow.
    waves: usize,
    /// Number of instances in the next wave.
    wave_size: usize,
    /// Whether no call of the platform has returned yet.
    is_unanswered: bool,
    error: PlatError,
}

impl<'a> Attempt<'a> {
    fn new(app: &'a Arc<App>) -> Self {
        let mut peers = other_entries(app);
        peers.shuffle(&mut rand::rng());
        let has_failed = app.confirmation.policy.lock().has_failed();
        Self {
            app,
            calls: JoinSet::new(),
            peers,
            // While nobody can confirm it, few are asked each time.
            waves: if has_failed { 1 } else { MAX_WAVES },
            wave_size: FIRST_WAVE,
            is_unanswered: true,
            error: PlatError::NoAnswer,
        }
    }

    /// Asks the platform and then others until one confirms the configuration; returns which.
    async fn run(mut self) -> Result<Option<SocketAddr>, PlatError> {
        let end = Instant::now() + Duration::from_millis(ATTEMPT_TIME);
        let mut next_wave = Instant::now() + WAVE_INTERVAL;
        self.ask_platform();
        loop {
            tokio::select! {
                reply = self.calls.join_next() => match self.handle(reply) {
                    Progress::Confirmed(source) => return Ok(source),
                    Progress::Waiting => (),
                    Progress::Failed if self.start_wave() => {
                        next_wave = Instant::now() + WAVE_INTERVAL;
                    }
                    Progress::Failed => return Err(self.error),
                },
                () = sleep_until(next_wave) => {
                    // An instance that is not late yet leaves the others alone.
                    if self.is_due() && self.start_wave() && self.is_unanswered {
                        // The first connection may have gone silent.
                        self.ask_platform();
                    }
                    next_wave = Instant::now() + WAVE_INTERVAL;
                }
                () = sleep_until(end) => return Err(self.error),
            }
        }
    }

    fn is_due(&self) -> bool {
        let age = config_age(self.app);
        self.app.confirmation.policy.lock().is_due(age)
    }

    fn handle(&mut self, reply: Option<Result<Reply, tokio::task::JoinError>>) -> Progress {
        match reply {
            Some(Ok(Reply::Confirmed(source, configuration, at))) => {
                let app = self.app;
                if app.update_replica(|replica| replica.set_configuration(configuration, at)) {
                    config::apply(app);
                }
                if source.is_none() || !self.is_due() {
                    return Progress::Confirmed(source);
                }
            }
            Some(Ok(Reply::Failed(error))) => {
                self.is_unanswered = false;
                self.error = error;
            }
            // A task that panicked has confirmed nothing.
            Some(Ok(Reply::Nothing) | Err(_)) | None => (),
        }
        match self.calls.is_empty() {
            true => Progress::Failed,
            false => Progress::Waiting,
        }
    }

    fn ask_platform(&mut self) {
        let app = self.app.clone();
        self.calls.spawn(async move {
            let at = app.clock.now();
            let call = Call::Get(app.dialect.store_keys().configuration.into());
            match app.plat.call_direct(&call).await {
                Ok(Answer::Range(range)) => {
                    Reply::Confirmed(None, range.items.into_iter().next(), at)
                }
                Ok(_) => Reply::Failed(PlatError::Garbled),
                Err(error) => Reply::Failed(error),
            }
        });
    }

    /// Asks more instances; returns whether there were any.
    fn start_wave(&mut self) -> bool {
        if self.waves == 0 || self.peers.is_empty() {
            return false;
        }
        let wanted_age = self.app.confirmation.policy.lock().wanted_age();
        let rest = self.peers.split_off(self.wave_size.min(self.peers.len()));
        for addr in std::mem::replace(&mut self.peers, rest) {
            let app = self.app.clone();
            self.calls.spawn(async move {
                match peer::fetch_config(&app, addr, wanted_age, PEER_WAIT).await {
                    Some((confirmed, written_at)) => {
                        let at = written_at.saturating_sub(confirmed.age);
                        Reply::Confirmed(Some(addr), confirmed.configuration, at)
                    }
                    None => Reply::Nothing,
                }
            });
        }
        self.waves -= 1;
        self.wave_size *= 2;
        true
    }
}

/// Addresses of the other entry instances.
fn other_entries(app: &App) -> Vec<SocketAddr> {
    let members = app.members.lock();
    let others = members
        .iter()
        .filter(|member| member.is_reader && member.owner.instance != app.me.instance);
    others.map(|member| member.addr).collect()
}
