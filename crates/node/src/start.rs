//! Starts an instance and stops it gracefully.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use eyre::WrapErr;
use http::Method;
use http::StatusCode;
use metrics_exporter_prometheus::PrometheusHandle;
use net::Call;
use net::Drain;
use net::HandlerFn;
use net::Limits;
use net::Reply;
use plat::Client;
use plat::PlatError;
use plat::Protocol;
use tokio::net::TcpListener;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::App;
use crate::Dialect;
use crate::Settings;
use crate::control;
use crate::dependency::DependencyStatus;
use crate::frontend;
use crate::hint;
use crate::leave;
use crate::member;
use crate::overload;
use crate::peer_relay::PeerRelay;
use crate::peer_server;
use crate::refusal::Refusal;
use crate::refusal::close_connection;
use crate::replication;
use crate::reports;
use crate::resources;
use crate::resources::Listener;
use crate::settings;
use crate::settings::MachineLimits;
use crate::settings::Role;
use crate::slot_reports;
use crate::telemetry;

/// Interval between reads of the settings file, which may change without a signal.
const SETTINGS_CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Interval between removals of unused results from memory.
const PRUNE_INTERVAL: Duration = Duration::from_secs(2);

/// Time after which unused results are removed from memory, in milliseconds.
const UNREAD_RESULTS_TTL: u64 = 4_000;

/// A running instance.
pub struct Running {
    /// The shared state; its settings hold the ports that the instance listens on.
    pub app: Arc<App>,
    drain: Drain,
    front: Option<JoinHandle<bool>>,
}

/// Runs an instance until it receives a termination signal.
///
/// # Errors
///
/// Returns an error when the settings are invalid or an address cannot be listened on.
pub async fn run(
    file: &str,
    machine: MachineLimits,
    dialect: Arc<dyn Dialect>,
    protocol: Arc<dyn Protocol>,
) -> eyre::Result<()> {
    let settings = settings::read(file, &conf::load(file)?)?.on(machine);
    logs::init(&settings.logs)?;
    let mut term = signal(SignalKind::terminate())?;
    let running = Running::start(settings, dialect, protocol).await?;
    tokio::spawn(follow_settings(
        file.to_owned(),
        machine,
        running.app.settings.clone(),
    ));
    term.recv().await;
    running.leave().await;
    logs::flush();
    Ok(())
}

impl Running {
    /// Starts an instance. A port of 0 in the settings is replaced by a free one.
    ///
    /// # Errors
    ///
    /// Returns an error when an address cannot be listened on.
    pub async fn start(
        mut settings: Settings,
        dialect: Arc<dyn Dialect>,
        protocol: Arc<dyn Protocol>,
    ) -> eyre::Result<Self> {
        let internal = SocketAddr::new(settings.address, settings.peer_port);
        let internal = bind(internal, &settings, Listener::Peers)?;
        settings.peer_port = internal.local_addr()?.port();
        let readiness = bind_optional(settings.readiness, &settings, Listener::Readiness)?;
        settings.readiness = local_addr(&readiness)?;
        let callers = bind_optional(settings.listen, &settings, Listener::Callers)?;
        settings.listen = local_addr(&callers)?;
        let plat = Client::with_protocol(vec![settings.platform], protocol);
        let app = App::new(settings, dialect, plat);
        let scrape = telemetry::install();
        let drain = Drain::default();
        let shared = Arc::new(InternalState {
            app: app.clone(),
            scrape,
        });
        serve(
            internal,
            HandlerFn::new(&shared, handle_internal),
            resources::limits(&app.settings, Listener::Peers),
            &Drain::default(),
        );
        if let Some(readiness) = readiness {
            // Keeps running while the instance leaves, to report that it is not ready.
            serve(
                readiness,
                HandlerFn::new(&app, handle_readiness),
                resources::limits(&app.settings, Listener::Readiness),
                &Drain::default(),
            );
        }
        let front = HandlerFn::new(&app, frontend::handle);
        let limits = resources::limits(&app.settings, Listener::Callers);
        let front = callers.map(|callers| serve(callers, front, limits, &drain));
        app.plat
            .set_relay(Arc::new(PeerRelay(Arc::downgrade(&app))));
        tokio::spawn(member::maintain_entry(app.clone()));
        tokio::spawn(member::refresh_members(app.clone()));
        match app.settings.role {
            Role::Entry => drop(tokio::spawn(replication::follow(app.clone()))),
            Role::Control => {
                tokio::spawn(control::run(app.clone()));
                tokio::spawn(replication::follow_on_demand(app.clone()));
            }
        }
        tokio::spawn(control::orphans::reclaim(app.clone()));
        tokio::spawn(prune_caches(app.clone()));
        tokio::spawn(slot_reports::send_reports(app.clone()));
        tokio::spawn(publish_crashes(app.clone()));
        tokio::spawn(reports::report_calls(app.clone()));
        tokio::spawn(reports::report_closed_connections());
        if app.settings.role == Role::Entry {
            tokio::spawn(crate::request_counts::push_snapshots(app.clone()));
        }
        log::info!(target: "start", instance = &*app.me.instance, start = app.me.start,
            domain = &*app.settings.domain; "started");
        Ok(Self { app, drain, front })
    }

    /// Stops gracefully, within the time that a stop may take.
    pub async fn leave(self) {
        leave::leave(&self.app, &self.drain, self.front).await;
    }
}

fn bind(addr: SocketAddr, settings: &Settings, listener: Listener) -> eyre::Result<TcpListener> {
    let listening = net::server::listen(addr, resources::backlog(settings, listener));
    listening.wrap_err_with(|| format!("could not listen on {addr}"))
}

/// Listens on an address if there is one.
fn bind_optional(
    addr: Option<SocketAddr>,
    settings: &Settings,
    listener: Listener,
) -> eyre::Result<Option<TcpListener>> {
    addr.map(|addr| bind(addr, settings, listener)).transpose()
}

/// Returns the address of a listener, with the port that was assigned.
fn local_addr(listener: &Option<TcpListener>) -> io::Result<Option<SocketAddr>> {
    listener.as_ref().map(TcpListener::local_addr).transpose()
}

fn serve<A: Send + Sync + 'static>(
    listener: TcpListener,
    handler: HandlerFn<A>,
    limits: Limits,
    drain: &Drain,
) -> JoinHandle<bool> {
    let drain = drain.clone();
    tokio::spawn(net::server::serve(listener, handler, limits, drain))
}

async fn handle_readiness(app: Arc<App>, _: Call) -> Reply {
    // An instance that gets no requests while it is not ready has to notice that it has recovered.
    overload::measure(&app);
    match app.is_ready() {
        true => net::body::reply(StatusCode::OK, "text/plain", "ready"),
        false => Refusal::NotExecuted.reply(),
    }
}

/// State of the server for other instances and operators.
struct InternalState {
    app: Arc<App>,
    scrape: Option<PrometheusHandle>,
}

async fn handle_internal(state: Arc<InternalState>, call: Call) -> Reply {
    if call.method == Method::POST {
        return peer_server::handle(&state.app, call).await;
    }
    reports::publish_held(&state.app);
    let text = state.scrape.as_ref().map(PrometheusHandle::render);
    let mut reply = net::body::reply(StatusCode::OK, "text/plain", text.unwrap_or_default());
    // A text takes time: nobody gets more than one of them for a connection.
    close_connection(&mut reply);
    reply
}

/// Removes cached results that callers no longer read; they can be read again from the platform.
async fn prune_caches(app: Arc<App>) {
    loop {
        sleep(PRUNE_INTERVAL).await;
        hint::prune(&app);
        app.crashes.prune();
        if let Some(config) = app.config.load_full() {
            app.attempts
                .prune(|service| config.service(service).is_some());
        }
        let mut caches = Vec::new();
        app.result_caches
            .for_each_shard(|map| caches.extend(map.values().cloned()));
        let mut unused = Vec::new();
        for cache in caches {
            if cache.last_used().await + UNREAD_RESULTS_TTL < app.clock.now() {
                unused.push(cache);
            }
        }
        app.result_caches.for_each_shard(|map| {
            map.retain(|_, cache| !unused.iter().any(|other| Arc::ptr_eq(other, cache)))
        });
    }
}

/// Publishes this instance's crash record to the platform.
async fn publish_crashes(app: Arc<App>) {
    let key = format!(
        "{}{}/{}",
        replication::CRASH_RECORDS_PREFIX,
        app.me.instance,
        app.me.start
    );
    let mut status = DependencyStatus::new("record of crashes");
    let on_result = |result: Result<(), &PlatError>| match result {
        Ok(()) => status.mark_restored(),
        Err(error) => status.mark_lost(error),
    };
    crash::report::publish(&app.crashes, &app.plat, &key, on_result).await;
}

/// Reloads the settings file: the log level changes at once, other changes are logged and take effect at the next
/// start.
async fn follow_settings(file: String, machine: MachineLimits, mut current: Settings) {
    let Ok(mut hup) = signal(SignalKind::hangup()) else {
        log::error!(target: "start", "cannot listen for the reload signal");
        return;
    };
    loop {
        tokio::select! {
            _ = hup.recv() => log::info!(target: "start", "reload signal received"),
            () = sleep(SETTINGS_CHECK_INTERVAL) => ()
        }
        let text = match conf::load(&file) {
            Ok(text) => text,
            Err(error) => {
                let error = error.to_string();
                log::warn!(target: "start", error = error.as_str(); "settings not read");
                continue;
            }
        };
        match settings::read(&file, &text).map(|settings| settings.on(machine)) {
            Ok(settings) if settings == current => (),
            Ok(settings) => {
                log::set_max_level(settings.logs.level);
                log::info!(target: "start", "settings changed");
                current = settings;
            }
            Err(mistakes) => {
                let mistakes = mistakes.to_string();
                log::error!(target: "start", mistakes = mistakes.as_str(); "settings are invalid");
            }
        }
    }
}
