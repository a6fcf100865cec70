//! Works until told to stop.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use args::Parsed;
use clock::Clock;
use kernel::Map;
use kernel::Name;
use plat::Client;
use route::Kind;
use route::Spec;
use serve::Settings;
use tokio::task::JoinHandle;
use wire::peer;
use wire::peer::Status;

use crate::sources::Sources;
use crate::work::Work;

/// Time between two questions to the entry.
const ASK: Duration = Duration::from_millis(500);

/// Time that the entry has to answer.
const LIMIT: Duration = Duration::from_millis(500);

/// Path of the entry's status.
const STATUS: &str = "/operator/status";

/// Runs the program.
///
/// # Errors
///
/// Returns an error when the settings are wrong or the process cannot start.
pub fn run(parsed: Parsed) -> eyre::Result<()> {
    let file: String = parsed.need("config", "a file")?;
    let settings = serve::settings::read(&file, &conf::load(&file)?)?;
    logs::begin(&settings.logs)?;
    args::program::block(async {
        let control = Controller::start(&settings, settings.me.address);
        serve::server::terminated().await;
        control.stop().await;
        Ok(())
    })
}

/// The control of one instance.
pub struct Controller {
    tasks: Vec<JoinHandle<()>>,
}

/// Time that leases have to be given back.
const GIVE_BACK: Duration = Duration::from_millis(300);

impl Controller {
    /// Starts the control beside the entry at `entry`.
    pub fn start(settings: &Settings, entry: SocketAddr) -> Self {
        let plat = Client::new(settings.platform.clone());
        let http = net::Client::new();
        let clock = Clock::default();
        let mut engines: Map<Name, Vec<Spec>> = Map::default();
        for spec in &settings.upstreams {
            if spec.kind == Kind::Engine && spec.domain == settings.me.domain {
                engines
                    .entry(spec.pool.clone())
                    .or_default()
                    .push(spec.clone());
            }
        }
        let beside = Arc::new(Beside {
            entry,
            http: http.clone(),
            secret: settings.secret.clone(),
        });
        let works = engines.into_iter().map(|(model, engines)| Work {
            model,
            domain: settings.me.domain.clone(),
            instance: settings.me.name.clone(),
            engines,
            sources: Sources::new(&settings.weights),
            plat: plat.clone(),
            http: http.clone(),
            clock,
        });
        let tasks = works
            .map(|work| tokio::spawn(turns(work, beside.clone())))
            .collect();
        Self { tasks }
    }

    /// Stops, and gives leases back.
    pub async fn stop(self) {
        self.tasks.iter().for_each(JoinHandle::abort);
        tokio::time::sleep(GIVE_BACK).await;
    }
}

async fn turns(work: Work, beside: Arc<Beside>) {
    loop {
        if beside.is_reader().await {
            work.turn().await;
        } else {
            tokio::time::sleep(ASK).await;
        }
    }
}

/// The entry on the same instance.
struct Beside {
    entry: SocketAddr,
    http: net::Client,
    secret: peer::Secret,
}

impl Beside {
    /// Tells whether the entry reads the platform for its failure domain.
    async fn is_reader(&self) -> bool {
        self.status().await.is_some_and(|status| status.reader)
    }

    async fn status(&self) -> Option<Status> {
        let bytes = serde_json::to_vec(&()).ok()?;
        let request = http::Request::post(net::client::uri(self.entry, STATUS))
            .header(peer::VERSION_HEADER, peer::VERSION)
            .header(peer::MAC_HEADER, self.secret.sign(STATUS, &bytes))
            .body(bytes.into())
            .ok()?;
        let answer = self.http.fetch(request, LIMIT, 1 << 20).await.ok()?;
        serde_json::from_slice(answer.body()).ok()
    }
}
