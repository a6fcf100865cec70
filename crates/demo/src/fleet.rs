//! The fleet of the demo.

use std::fmt::Write;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use control::Control;
use serve::Running;
use serve::Settings;
use standin::Engine;
use standin::Host;
use standin::Platform;
use standin::Service;
use standin::Store;
use standin::engine::Make;
use tokio::net::TcpListener;

/// The key that the demo's instances share.
const SECRET: &str = "the demo's shared key";

/// Failure domains, each with one entry.
const DOMAINS: [&str; 2] = ["nord", "syd"];

/// Engines in each failure domain.
const ENGINES: usize = 3;

/// Plain services in each failure domain.
const SERVICES: usize = 2;

/// Median length of a sample in tokens.
pub(crate) const MEDIAN: u32 = 60;

/// Everything that runs.
pub(crate) struct Fleet {
    pub(crate) platform: Host,
    pub(crate) entries: Vec<Running>,
    pub(crate) controls: Vec<Control>,
    pub(crate) services: Vec<Arc<Service>>,
    pub(crate) settings: Settings,
    /// Kept so that they go on serving.
    _hosts: Vec<Host>,
}

fn free() -> SocketAddr {
    ([127, 0, 0, 1], 0).into()
}

/// Starts the stand-ins, the entries and their control.
pub(crate) async fn start() -> eyre::Result<Fleet> {
    let platform = Arc::new(Platform::default()).host(free()).await?;
    let store = Arc::new(Store::new(1 << 20, 200e6)).host(free()).await?;
    let mut text = String::new();
    writeln!(text, "[platform]\naddresses = {}", platform.addr)?;
    writeln!(text, "[peers]\nsecret = {SECRET}")?;
    writeln!(
        text,
        "[weights]\npoll = 200ms\nstore = http://{}/weights",
        store.addr
    )?;
    writeln!(
        text,
        "[pool fitting]\nkind = engine\n[pool portal]\nkind = service"
    )?;
    let mut hosts = vec![store];
    let mut services = Vec::new();
    for domain in DOMAINS {
        for at in 0..ENGINES {
            let engine = Engine::new(Make {
                median: MEDIAN,
                ..Make::default()
            });
            let host = Arc::new(engine).host(free()).await?;
            upstream(
                &mut text,
                &format!("engine-{domain}-{at}"),
                "fitting",
                domain,
                &host,
            )?;
            hosts.push(host);
        }
        for at in 0..SERVICES {
            let service = Arc::new(Service::new(Duration::from_millis(4), 16));
            let host = service.host(free()).await?;
            upstream(
                &mut text,
                &format!("portal-{domain}-{at}"),
                "portal",
                domain,
                &host,
            )?;
            hosts.push(host);
            services.push(service);
        }
    }
    let (entries, settings) = entries(&text).await?;
    let controls = entries
        .iter()
        .map(|entry| Control::start(&entry.app.settings, entry.addr))
        .collect();
    Ok(Fleet {
        platform,
        entries,
        controls,
        services,
        settings,
        _hosts: hosts,
    })
}

fn upstream(
    text: &mut String,
    name: &str,
    pool: &str,
    domain: &str,
    host: &Host,
) -> std::fmt::Result {
    writeln!(
        text,
        "[upstream {name}]\naddress = {}\npool = {pool}\ndomain = {domain}\nslots = 16\n\
         fencing = true",
        host.addr
    )
}

/// Starts an entry for each failure domain. The sockets are bound first, so that each entry can
/// be told the others' addresses.
async fn entries(shared: &str) -> eyre::Result<(Vec<Running>, Settings)> {
    let mut sockets = Vec::new();
    let mut text = shared.to_owned();
    for domain in DOMAINS {
        let listener = TcpListener::bind(free()).await?;
        let addr = listener.local_addr()?;
        writeln!(
            text,
            "[peer {domain}-1]\ndomain = {domain}\naddress = {addr}"
        )?;
        sockets.push((domain, listener, addr));
    }
    let mut entries = Vec::new();
    let mut last = None;
    for (domain, listener, addr) in sockets {
        let me = format!("[instance]\nname = {domain}-1\ndomain = {domain}\nlisten = {addr}\n");
        let settings = serve::settings::read("demo", &format!("{text}{me}"))?;
        last = Some(settings.clone());
        entries.push(Running::start_on(listener, settings)?);
    }
    let settings = last.ok_or_else(|| eyre::eyre!("the demo has no failure domain"))?;
    Ok((entries, settings))
}
