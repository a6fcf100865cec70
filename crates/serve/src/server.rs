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
use crate::gossip;
use crate::meter;
use crate::poll;
use crate::router::router;
use crate::suspect;
use crate::sync;

/// Time for which an instance that leaves still accepts: the balancer asks for readiness now and
/// then, and sends callers here until it has heard.
pub const NOTICE: Duration = Duration::from_millis(1_500);

/// Time that the journal has for its last records.
const FLUSH: Duration = Duration::from_secs(3);

/// An instance cannot start.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum StartError {
    /// The settings name a policy that is not there.
    #[error(transparent)]
    Plugin(#[from] UnknownPlugin),
    /// The address cannot be listened at.
    #[error("could not listen at {addr}")]
    Listen {
        /// The address.
        addr: SocketAddr,
        /// Why.
        #[source]
        cause: io::Error,
    },
}

/// An instance that runs.
pub struct RunningInstance {
    /// Where it listens.
    pub addr: SocketAddr,
    /// What it holds.
    pub app: Arc<App>,
    server: JoinHandle<bool>,
    tasks: Vec<JoinHandle<()>>,
}

impl RunningInstance {
    /// Starts an instance.
    ///
    /// # Errors
    ///
    /// Returns [`StartError`].
    pub async fn start(settings: Settings) -> Result<Self, StartError> {
        let addr = settings.me.listen;
        let listener = TcpListener::bind(addr).await;
        let listener = listener.map_err(|cause| StartError::Listen { addr, cause })?;
        Self::start_on(listener, settings)
    }

    /// Starts an instance on a socket that is bound already.
    ///
    /// # Errors
    ///
    /// Returns [`StartError`].
    pub fn start_on(listener: TcpListener, settings: Settings) -> Result<Self, StartError> {
        meter::begin();
        let addr = settings.me.listen;
        let bound = listener.local_addr();
        let addr = bound.map_err(|cause| StartError::Listen { addr, cause })?;
        let limits = settings.bounds.limits;
        let app = App::new(settings)?;
        let server = net::server::serve(listener, router(&app), limits, app.drain.clone());
        app.journal.begin();
        let tasks = vec![
            tokio::spawn(gossip::run(app.clone())),
            tokio::spawn(sync::run(app.clone())),
            tokio::spawn(poll::run(app.clone())),
            tokio::spawn(suspect::run(app.clone())),
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

    /// Leaves gracefully: readiness falls first, then nothing more is accepted, running requests
    /// end, and the journal writes its last records. Tells whether all requests ended.
    pub async fn drain(self) -> bool {
        let name = self.app.settings.me.name.clone();
        log::info!(target: "entry", instance = &*name; "leaving");
        self.app.leaving.store(true, Ordering::Relaxed);
        gossip::leave(&self.app).await;
        tokio::time::sleep(NOTICE).await;
        self.app.drain.begin();
        let whole = self.server.await.unwrap_or(false);
        self.app.journal.flush(FLUSH).await;
        self.tasks.iter().for_each(JoinHandle::abort);
        log::info!(target: "entry", instance = &*name, whole = whole; "left");
        whole
    }

    /// Stops as if the process had been killed.
    pub fn kill(self) {
        self.server.abort();
        self.tasks.iter().for_each(JoinHandle::abort);
        self.app.drain.begin();
        for work in self.app.steps.all() {
            self.app
                .steps
                .stop(&work.state(&self.app.settings.me.name).step);
        }
    }

    /// Waits until an operator or a signal tells it to leave, then leaves.
    pub async fn run_until_stopped(self) -> bool {
        let signal = wait_for_termination();
        tokio::select! {
            () = self.app.leave.notified() => (),
            () = signal => (),
        }
        self.drain().await
    }
}

/// Waits for an interrupt or a request to terminate.
pub async fn wait_for_termination() {
    use tokio::signal::unix::SignalKind;
    use tokio::signal::unix::signal;
    let (Ok(mut term), Ok(mut int)) = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
    ) else {
        // Without handlers the signals end the process, which is the best that is left.
        return std::future::pending().await;
    };
    tokio::select! {
        _ = term.recv() => (),
        _ = int.recv() => (),
    }
}
