//! Starting an instance, and leaving gracefully.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use eyre::WrapErr;
use http::Method;
use http::StatusCode;
use metrics_exporter_prometheus::PrometheusHandle;
use net::Call;
use net::Drain;
use net::Glue;
use net::Limits;
use net::Reply;
use plat::Client;
use plat::PlatError;
use plat::Protocol;
use plat::budget::CallKind;
use tokio::net::TcpListener;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::task::JoinHandle;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::App;
use crate::Dialect;
use crate::Settings;
use crate::answer;
use crate::control;
use crate::front;
use crate::hint;
use crate::member;
use crate::meter;
use crate::news;
use crate::reach::Reach;
use crate::refuse::Refusal;
use crate::settings;
use crate::settings::Role;
use crate::through::Through;

/// Time for which a leaving instance goes on accepting: callers' balancers look once a second and
/// send nothing more after two looks.
const LINGER: Duration = Duration::from_millis(2_500);

/// Part of the time for leaving after which whatever still runs is left to others.
const PART: f64 = 0.75;

/// Time between two looks at the settings file, which may change without a signal.
const LOOK: Duration = Duration::from_secs(2);

/// Time between two reports of the calls of the platform.
const COUNT: Duration = Duration::from_secs(10);

/// Time between two looks for results in memory that nobody reads.
const TIDY: Duration = Duration::from_secs(2);

/// Time after which results that nobody has read are dropped from memory, in milliseconds.
const UNREAD: u64 = 4_000;

/// Time that a connection may be idle or take for its headers: callers keep idle ones for some
/// ten seconds, and one that is closed by us at the moment of use costs them a try.
const HEADERS: Duration = Duration::from_secs(20);

/// A running instance.
pub struct Running {
    /// What its parts share; the settings name the ports that it listens on.
    pub app: Arc<App>,
    drain: Drain,
    front: Option<JoinHandle<bool>>,
}

/// Runs an instance until it is told to leave.
///
/// # Errors
///
/// Returns an error when the settings are wrong or an address cannot be listened on.
pub async fn run(
    file: &str,
    dialect: Arc<dyn Dialect>,
    protocol: Arc<dyn Protocol>,
) -> eyre::Result<()> {
    let settings = settings::read(file, &conf::load(file)?)?;
    logs::init(&settings.logs)?;
    let mut term = signal(SignalKind::terminate())?;
    let running = Running::start(settings, dialect, protocol).await?;
    tokio::spawn(reload(file.to_owned(), running.app.settings.clone()));
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
        let inner = bind(SocketAddr::new(settings.address, settings.peer)).await?;
        settings.peer = inner.local_addr()?.port();
        let gate = bind_some(&mut settings.ready).await?;
        let callers = bind_some(&mut settings.listen).await?;
        let plat = Client::with_protocol(vec![settings.platform], protocol);
        let app = App::new(settings, dialect, plat);
        let scrape = meter::begin();
        let drain = Drain::default();
        let shared = Arc::new(Inner {
            app: app.clone(),
            scrape,
        });
        serve(inner, Glue::new(&shared, inside), &Drain::default());
        if let Some(gate) = gate {
            // Goes on while the instance leaves, to say that it is not ready.
            serve(gate, Glue::new(&app, ready), &Drain::default());
        }
        let front = Glue::new(&app, front::answer);
        let front = callers.map(|callers| serve(callers, front, &drain));
        app.plat.set_relay(Arc::new(Through(Arc::downgrade(&app))));
        tokio::spawn(member::keep(app.clone()));
        tokio::spawn(member::follow(app.clone()));
        match app.settings.role {
            Role::Entry => drop(tokio::spawn(news::follow(app.clone()))),
            Role::Control => drop(tokio::spawn(control::run(app.clone()))),
        }
        tokio::spawn(control::orphans::reclaim(app.clone()));
        tokio::spawn(tidy(app.clone()));
        tokio::spawn(tell_crashes(app.clone()));
        tokio::spawn(count(app.clone()));
        if app.settings.role == Role::Entry {
            tokio::spawn(crate::request_counts::push_snapshots(app.clone()));
        }
        log::info!(target: "start", instance = &*app.me.instance, start = app.me.start,
            domain = &*app.settings.domain; "started");
        Ok(Self { app, drain, front })
    }

    /// Leaves: readiness falls, then nothing more is accepted, then running requests end. What is
    /// left of steps is taken up by others.
    pub async fn leave(mut self) {
        let app = &self.app;
        log::info!(target: "start", steps = app.works.len(); "leaving");
        app.leave();
        let left = Duration::from_millis(app.settings.grace).mul_f64(PART);
        let ended = timeout(left, async {
            if let Some(front) = self.front.take() {
                sleep(LINGER).await;
                self.drain.begin();
                // A front that has panicked has no requests left.
                let _ = front.await;
            }
            while !app.works.is_empty() {
                sleep(Duration::from_millis(50)).await;
            }
        });
        let whole = ended.await.is_ok();
        member::leave(app).await;
        log::info!(target: "start", whole, steps = app.works.len(); "stopped");
    }
}

async fn bind(addr: SocketAddr) -> eyre::Result<TcpListener> {
    let listener = TcpListener::bind(addr).await;
    listener.wrap_err_with(|| format!("could not listen on {addr}"))
}

/// Listens on an address if there is one, and notes the port that was taken.
async fn bind_some(addr: &mut Option<SocketAddr>) -> eyre::Result<Option<TcpListener>> {
    let Some(addr) = addr else { return Ok(None) };
    let listener = bind(*addr).await?;
    *addr = listener.local_addr()?;
    Ok(Some(listener))
}

fn serve<A: Send + Sync + 'static>(
    listener: TcpListener,
    handler: Glue<A>,
    drain: &Drain,
) -> JoinHandle<bool> {
    let limits = Limits {
        headers: HEADERS,
        ..Limits::default()
    };
    let drain = drain.clone();
    tokio::spawn(net::server::serve(listener, handler, limits, drain))
}

async fn ready(app: Arc<App>, _: Call) -> Reply {
    match app.is_ready() {
        true => net::body::reply(StatusCode::OK, "text/plain", "ready"),
        false => Refusal::Unrun.reply(),
    }
}

/// What is served to other instances and to operators.
struct Inner {
    app: Arc<App>,
    scrape: Option<PrometheusHandle>,
}

async fn inside(inner: Arc<Inner>, call: Call) -> Reply {
    if call.method == Method::POST {
        return answer::answer(&inner.app, call).await;
    }
    metrics::gauge!(meter::DROPPED).set(logs::dropped_lines() as f64);
    let text = inner.scrape.as_ref().map(PrometheusHandle::render);
    net::body::reply(StatusCode::OK, "text/plain", text.unwrap_or_default())
}

/// Drops results from memory that nobody reads; they can be read again from the platform.
async fn tidy(app: Arc<App>) {
    loop {
        sleep(TIDY).await;
        hint::tidy(&app);
        app.crashes.prune();
        let mut all = Vec::new();
        app.shelves
            .for_each_shard(|map| all.extend(map.values().cloned()));
        let mut old = Vec::new();
        for shelf in all {
            if shelf.used().await + UNREAD < app.clock.now() {
                old.push(shelf);
            }
        }
        app.shelves.for_each_shard(|map| {
            map.retain(|_, shelf| !old.iter().any(|one| Arc::ptr_eq(one, shelf)))
        });
    }
}

/// Keeps what this instance has seen of crashes at the platform.
async fn tell_crashes(app: Arc<App>) {
    let key = format!("{}{}/{}", news::CRASHES, app.me.instance, app.me.start);
    let mut reach = Reach::new("record of crashes");
    let heard = |done: Result<(), &PlatError>| match done {
        Ok(()) => reach.back(),
        Err(error) => reach.lost(error),
    };
    crash::report::publish(&app.crashes, &app.plat, &key, heard).await;
}

/// Reports the calls of the platform, which it counts and limits.
async fn count(app: Arc<App>) {
    loop {
        sleep(COUNT).await;
        let used = |kind| app.plat.budget().used(kind);
        for kind in CallKind::ALL {
            metrics::gauge!(meter::PLATFORM, "kind" => kind.name()).set(used(kind) as f64);
        }
        log::info!(target: "platform", reads = used(CallKind::Read), stale = used(CallKind::Stale),
            writes = used(CallKind::Write), leases = used(CallKind::Lease),
            watches = used(CallKind::Watch); "calls so far");
    }
}

/// Follows the settings file: the level of the log changes at once, other changes are reported and
/// hold from the next start on.
async fn reload(file: String, mut held: Settings) {
    let Ok(mut hup) = signal(SignalKind::hangup()) else {
        log::error!(target: "start", "cannot follow the signal to reload");
        return;
    };
    loop {
        tokio::select! {
            _ = hup.recv() => log::info!(target: "start", "told to reload"),
            () = sleep(LOOK) => (),
        }
        let text = match conf::load(&file) {
            Ok(text) => text,
            Err(error) => {
                let error = error.to_string();
                log::warn!(target: "start", error = error.as_str(); "settings not read");
                continue;
            }
        };
        match settings::read(&file, &text) {
            Ok(settings) if settings == held => (),
            Ok(settings) => {
                log::set_max_level(settings.logs.level);
                log::info!(target: "start", "settings have changed");
                held = settings;
            }
            Err(mistakes) => {
                let mistakes = mistakes.to_string();
                log::error!(target: "start", mistakes = mistakes.as_str(); "settings are wrong");
            }
        }
    }
}
