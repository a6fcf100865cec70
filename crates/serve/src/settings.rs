//! The settings of an instance. Each section of the file has a function that reads it.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use conf::Document;
use conf::DurationMs;
use conf::List;
use conf::Section;
use conf::SettingsErrors;
use kernel::Millis;
use kernel::Name;
use kernel::plugin;
use limit::QueueOrder;
use net::Limits;
use route::Chooser;
use route::UpstreamKind;
use route::UpstreamSpec;
use step::Policy;
use wire::peer::Secret;

/// The identity and addresses of this instance, from section `[instance]`.
#[derive(Clone, Debug)]
pub struct Instance {
    /// The name, unique among all instances.
    pub name: Name,
    /// The failure domain.
    pub domain: Name,
    /// The address to listen at.
    pub listen: SocketAddr,
    /// The address at which peers reach this instance; by default the same as `listen`.
    pub address: SocketAddr,
}

/// A peer, from a section `[peer NAME]`.
#[derive(Clone, Debug)]
pub struct Peer {
    /// The name.
    pub name: Name,
    /// The failure domain.
    pub domain: Name,
    /// The address at which the peer is reached.
    pub address: SocketAddr,
}

/// The upstreams of a model or service and its policies, from a section `[pool NAME]`.
#[derive(Clone, Debug)]
pub struct Pool {
    /// The name of the model or service.
    pub name: Name,
    /// The kind of upstreams.
    pub kind: UpstreamKind,
    /// The name of the queue's ordering policy.
    pub order: &'static str,
    /// The name of the policy that chooses an upstream.
    pub chooser: &'static str,
    /// Maximum number of waiting requests.
    pub queue: usize,
}

/// Bounds on requests and responses, from section `[limits]`.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Maximum size of a request body in bytes.
    pub max_body: usize,
    /// Maximum size of an upstream's response in bytes.
    pub max_answer: usize,
    /// Memory that all answers of upstreams may take together, in bytes.
    pub answer_memory: usize,
    /// Memory that all bodies of requests may take together, in bytes.
    pub body_memory: usize,
    /// Maximum time to receive a request body.
    pub body_timeout: Duration,
    /// Bounds on connections.
    pub limits: Limits,
}

/// The journal of non-idempotent requests, from section `[journal]`.
#[derive(Clone, Copy, Debug)]
pub struct Journal {
    /// Number of shards. It must be the same on all instances and must never change.
    pub shards: u32,
    /// Minimum time for which the state of an idempotency key is kept, in milliseconds.
    pub retention: Millis,
}

/// Distribution of weights and polling of load reports, from section `[weights]`.
#[derive(Clone, Debug)]
pub struct Weights {
    /// Interval between load reports of an engine, in milliseconds.
    pub poll_interval: Millis,
    /// URL of the weight store, before `/MODEL/VERSION`; empty if engines have their own setting for it.
    pub store: String,
    /// Folder of this instance's weight cache; [`None`] if it has no disk.
    pub folder: Option<PathBuf>,
    /// Addresses of the instances of this failure domain that have a weight cache.
    pub caches: Vec<SocketAddr>,
}

/// The settings of an instance.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This instance.
    pub me: Instance,
    /// Addresses of the platform's key-value service.
    pub platform: Vec<SocketAddr>,
    /// The key that signs messages between instances.
    pub secret: Secret,
    /// The initial peers; more are learned by gossip.
    pub peers: Vec<Peer>,
    /// The pools of models and services.
    pub pools: Vec<Pool>,
    /// The upstreams of all pools.
    pub upstreams: Vec<UpstreamSpec>,
    /// Bounds on requests and responses.
    pub bounds: Bounds,
    /// The journal of non-idempotent requests.
    pub journal: Journal,
    /// The name of the policy that steps use.
    pub policy: &'static str,
    /// Distribution of weights and polling of load reports.
    pub weights: Weights,
    /// Logging.
    pub logs: logs::Settings,
}

/// Reads the settings of an instance.
///
/// # Errors
///
/// Returns [`SettingsErrors`] with all errors of the file.
pub fn read(file: &str, text: &str) -> Result<Settings, SettingsErrors> {
    let mut doc = Document::parse(file, text);
    let me = read_section(&mut doc, "instance", read_instance);
    let platform = read_section(&mut doc, "platform", read_platform);
    let secret = read_section(&mut doc, "peers", read_secret);
    let bounds = read_section(&mut doc, "limits", read_bounds);
    let journal = read_section(&mut doc, "journal", read_journal);
    let policy = read_section(&mut doc, "steps", read_policy);
    let weights = read_section(&mut doc, "weights", read_weights);
    let logs = read_section(&mut doc, "log", read_logs);
    let peers = read_sections(&mut doc, "peer", read_peer);
    let pools = read_sections(&mut doc, "pool", read_pool);
    let upstreams = read_upstreams(&mut doc, &pools);
    doc.finish()?;
    // Unreachable: a missing value has been reported as an error, which `finish` returns.
    let missing = || SettingsErrors(Vec::new());
    Ok(Settings {
        me: me.ok_or_else(missing)?,
        platform: platform.ok_or_else(missing)?,
        secret: secret.ok_or_else(missing)?,
        peers,
        pools,
        upstreams,
        bounds,
        journal,
        policy,
        weights,
        logs,
    })
}

/// Reads the section `[name]` and reports keys that `read` does not know.
pub fn read_section<T>(doc: &mut Document, name: &str, read: impl FnOnce(&mut Section) -> T) -> T {
    let mut section = doc.take_section(name);
    let value = read(&mut section);
    doc.finish_section(section);
    value
}

/// Reads all sections `[kind NAME]`; those for which `read` returns [`None`] are left out.
pub fn read_sections<T>(
    doc: &mut Document,
    kind: &str,
    read: impl Fn(&mut Section) -> Option<T>,
) -> Vec<T> {
    let mut all = Vec::new();
    for mut section in doc.take_sections(kind) {
        all.extend(read(&mut section));
        doc.finish_section(section);
    }
    all
}

/// Identity of an upstream whose server is not asked for one.
const ANY_IDENTITY: &str = "any";

const EXPECTED_NAME: &str = "a name of a-z, 0-9, '.', '_' and '-'";
const EXPECTED_ADDRESS: &str = "an IP address and a port";
const EXPECTED_DURATION: &str = "a span of time such as 250ms or 5s";

fn read_instance(s: &mut Section) -> Option<Instance> {
    let name = s.require("name", EXPECTED_NAME);
    let domain = s.require("domain", EXPECTED_NAME);
    let listen = s.require("listen", EXPECTED_ADDRESS);
    let address = s.get("address", EXPECTED_ADDRESS).or(listen);
    Some(Instance {
        name: name?,
        domain: domain?,
        listen: listen?,
        address: address?,
    })
}

/// Reads the addresses of section `[platform]`.
pub fn read_platform(s: &mut Section) -> Option<Vec<SocketAddr>> {
    let list = s.require::<List<SocketAddr>>("addresses", "addresses separated by commas")?;
    if list.0.is_empty() {
        s.report_invalid("addresses", "at least one address");
    }
    Some(list.0)
}

/// Minimum length of the shared key in bytes.
const MIN_SECRET_BYTES: usize = 16;

/// Reads the shared key of section `[peers]`.
pub fn read_secret(s: &mut Section) -> Option<Secret> {
    let text = s.require::<String>("secret", "a text of at least 16 characters")?;
    if text.len() < MIN_SECRET_BYTES {
        s.report_invalid("secret", "a text of at least 16 characters");
    }
    Some(Secret::new(&text))
}

/// Reads a section `[peer NAME]`.
pub fn read_peer(s: &mut Section) -> Option<Peer> {
    let name = section_name(s);
    let domain = s.require("domain", EXPECTED_NAME);
    let address = s.require("address", EXPECTED_ADDRESS);
    Some(Peer {
        name: name?,
        domain: domain?,
        address: address?,
    })
}

/// Returns the name in the title of a section.
fn section_name(s: &mut Section) -> Option<Name> {
    let name = s.label().parse().ok();
    if name.is_none() {
        s.report_invalid("[title]", EXPECTED_NAME);
    }
    name
}

/// Reads the name of a policy of kind `P` and returns it, or an empty string if no such policy is registered.
fn plugin_name<P: plugin::Plugin>(
    s: &mut Section,
    key: &'static str,
    default: &str,
) -> &'static str {
    let requested: String = s.get_or(key, "a name", default.to_owned());
    match plugin::find::<P>(&requested) {
        Ok(plugin) => plugin.name(),
        Err(_) => {
            s.report_invalid(key, "the name of a policy; see the table in README.md");
            ""
        }
    }
}

fn read_pool(s: &mut Section) -> Option<Pool> {
    let name = section_name(s);
    let kind = s.require("kind", "engine or service");
    let order = plugin_name::<QueueOrder>(s, "order", "fair");
    let chooser = plugin_name::<Chooser>(s, "chooser", "scored");
    let queue = s.get_or("queue", "a number of requests", 1_024);
    Some(Pool {
        name: name?,
        kind: kind?,
        order,
        chooser,
        queue,
    })
}

/// Reads which identity the server of an upstream has to give: by default the upstream's name.
fn read_identity(s: &mut Section, name: Option<&Name>) -> Option<Name> {
    let identity = s.get("identity", EXPECTED_NAME).or_else(|| name.cloned());
    identity.filter(|identity| **identity != *ANY_IDENTITY)
}

fn read_upstreams(doc: &mut Document, pools: &[Pool]) -> Vec<UpstreamSpec> {
    read_sections(doc, "upstream", |s| {
        let name = section_name(s);
        let addr = s.require("address", EXPECTED_ADDRESS);
        let domain = s.require("domain", EXPECTED_NAME);
        let slots = s.get_or("slots", "a number of requests", 16);
        let fencing = s.get_or("fencing", "true or false", false);
        let identity = read_identity(s, name.as_ref());
        let pool = s.require::<Name>("pool", "the name of a [pool NAME] section")?;
        let Some(owner) = pools.iter().find(|known| known.name == pool) else {
            s.report_invalid("pool", "the name of a [pool NAME] section");
            return None;
        };
        if slots == 0 {
            s.report_invalid("slots", "at least 1");
        }
        Some(UpstreamSpec {
            name: name?,
            addr: addr?,
            kind: owner.kind,
            pool,
            domain: domain?,
            slots,
            fencing,
            identity,
        })
    })
}

fn read_bounds(s: &mut Section) -> Bounds {
    let defaults = Limits::default();
    let duration = |setting: DurationMs| Duration::from_millis(setting.0);
    let max_body = s.get_or("body", "a number of bytes", 1 << 20);
    let max_answer = s.get_or("answer", "a number of bytes", 8 << 20);
    let answer_memory = s.get_or("answers", "a number of bytes", 64 << 20);
    let body_memory = s.get_or("bodies", "a number of bytes", 64 << 20);
    let body_timeout = s.get_or("patience", EXPECTED_DURATION, DurationMs(10_000));
    let headers = s.get_or("headers", EXPECTED_DURATION, DurationMs(10_000));
    let grace = s.get_or("grace", EXPECTED_DURATION, DurationMs(600_000));
    let connections = s.get_or(
        "connections",
        "a number of connections",
        defaults.connections,
    );
    Bounds {
        max_body,
        max_answer,
        answer_memory,
        body_memory,
        body_timeout: duration(body_timeout),
        limits: Limits {
            connections,
            header_timeout: duration(headers),
            grace: duration(grace),
            ..defaults
        },
    }
}

fn read_journal(s: &mut Section) -> Journal {
    let shards = s.get_or("shards", "a number of shards", 16);
    let retention = s.get_or(
        "keep",
        "a span of time such as 10m or 24h",
        DurationMs(86_400_000),
    );
    if shards == 0 {
        s.report_invalid("shards", "at least 1");
    }
    let retention = retention.0;
    Journal { shards, retention }
}

fn read_policy(s: &mut Section) -> &'static str {
    plugin_name::<Policy>(s, "policy", "longest")
}

fn read_weights(s: &mut Section) -> Weights {
    let poll_interval = s.get_or("poll", EXPECTED_DURATION, DurationMs(1_000));
    let store = s.get_or("store", "the URL before /MODEL/VERSION", String::new());
    let folder = s.get::<PathBuf>("folder", "a folder");
    let caches = s.get_or(
        "caches",
        "addresses separated by commas",
        List::<SocketAddr>(Vec::new()),
    );
    if folder.is_some() && store.is_empty() {
        s.report_invalid(
            "store",
            "the URL before /MODEL/VERSION, as there is a cache",
        );
    }
    Weights {
        poll_interval: poll_interval.0.max(10),
        store,
        folder,
        caches: caches.0,
    }
}

fn read_logs(s: &mut Section) -> logs::Settings {
    let defaults = logs::Settings::default();
    logs::Settings {
        level: s.get_or("level", "error, warn, info, debug or off", defaults.level),
        format: s.get_or("form", "pairs or json", defaults.format),
        audit: s.get::<PathBuf>("audit", "a file"),
        sink: defaults.sink,
    }
}
