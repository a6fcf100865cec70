//! Starting and stopping an instance.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use kernel::plugin::UnknownPlugin;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

use crate::App;
use crate::Settings;
use crate::crashes;
use crate::gossip;
use crate::load_reports;
use crate::meter;
use crate::router::router;
use crate::sync;

/// Time for which a leaving instance still accepts connections. The balancer polls readiness and sends callers
/// here until its next poll.
pub const DRAIN_DELAY: Duration = Duration::from_millis(1_500);

/// Maximum time for the journal to write its last records.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(3);

/// An instance could not be started.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum StartError {
    /// The settings name a policy that is not registered.
    #[error(transparent)]
    Plugin(#[from] UnknownPlugin),
    /// The instance could not listen at its address.
    #[error("could not listen at {addr}")]
    Listen {
        /// The address.
        addr: SocketAddr,
        /// The cause.
        #[source]
        cause: io::Error,
    },
}

/// A running instance.
pub struct RunningInstance {
    /// The address at which the instance listens.
    pub addr: SocketAddr,
    /// The shared state of the instance.
    pub app: Arc<App>,
    server: JoinHandle<bool>,
    tasks: Vec<JoinHandle<()>>,
}

impl RunningInstance {
    /// Starts an instance at the listen address of its settings.
    ///
    /// # Errors
    ///
    /// Returns [`StartError`] if the address is unavailable or a policy is not registered.
    pub async fn start(settings: Settings) -> Result<Self, StartError> {
        let addr = settings.me.listen;
        let listener = TcpListener::bind(addr).await;
        let listener = listener.map_err(|cause| StartError::Listen { addr, cause })?;
        Self::start_on(listener, settings)
    }

    /// Starts an instance on a socket that is already bound.
    ///
    /// # Errors
    ///
    /// Returns [`StartError`] if the socket has no local address or a policy is not registered.
    pub fn start_on(listener: TcpListener, settings: Settings) -> Result<Self, StartError> {
        meter::install();
        let addr = settings.me.listen;
        let bound = listener.local_addr();
        let addr = bound.map_err(|cause| StartError::Listen { addr, cause })?;
        let limits = settings.bounds.limits;
        let app = App::new(settings)?;
        let server = net::server::serve(listener, router(&app), limits, app.drain.clone());
        app.journal.start();
        let tasks = vec![
            tokio::spawn(gossip::run(app.clone())),
            tokio::spawn(sync::run(app.clone())),
            tokio::spawn(load_reports::run(app.clone())),
            tokio::spawn(crashes::run(app.clone())),
        ];
        log::info!(
            target: "entry",
            instance = &*app.settings.me.name,
            domain = &*app.settings.me.domain,
            addr:% = addr;
            "started"
        );
        Ok(Self {
            addr,
            server: tokio::spawn(server),
            tasks,
            app,
        })
    }

    /// Shuts down gracefully: reports itself not ready, then stops accepting connections, waits for running
    /// requests, and lets the journal write its last records. Returns whether all requests ended in time.
    pub async fn drain(self) -> bool {
        let name = self.app.settings.me.name.clone();
        log::info!(target: "entry", instance = &*name; "leaving");
        self.app.leaving.store(true, Ordering::Relaxed);
        gossip::announce_leaving(&self.app).await;
        tokio::time::sleep(DRAIN_DELAY).await;
        self.app.drain.begin();
        let completed = self.server.await.unwrap_or(false);
        self.app.journal.flush(FLUSH_TIMEOUT).await;
        self.tasks.iter().for_each(JoinHandle::abort);
        log::info!(target: "entry", instance = &*name, whole = completed; "left");
        completed
    }

    /// Stops immediately, as if the process had been killed.
    pub fn kill(self) {
        self.server.abort();
        self.tasks.iter().for_each(JoinHandle::abort);
        self.app.drain.begin();
        for active in self.app.steps.all() {
            self.app
                .steps
                .stop(&active.state(&self.app.settings.me.name).step);
        }
    }

    /// Runs until an operator or a signal requests the shutdown, then shuts down gracefully. Returns whether all
    /// requests ended in time.
    pub async fn run_until_stopped(self) -> bool {
        let signal = wait_for_termination();
        tokio::select! {
            () = self.app.drain_requested.notified() => (),
            () = signal => (),
        }
        self.drain().await
    }
}

/// Waits for the signal `SIGINT` or `SIGTERM`.
pub async fn wait_for_termination() {
    use tokio::signal::unix::SignalKind;
    use tokio::signal::unix::signal;
    let (Ok(mut term), Ok(mut int)) = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
    ) else {
        // Without handlers these signals end the process, so there is nothing to wait for.
        return std::future::pending().await;
    };
    tokio::select! {
        _ = term.recv() => (),
        _ = int.recv() => (),
    }
}
