//! Settings of an instance, a function a section.

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

/// This instance.
#[derive(Clone, Debug)]
pub struct Me {
    /// Its name.
    pub name: Name,
    /// Its failure domain.
    pub domain: Name,
    /// Where it listens.
    pub listen: SocketAddr,
    /// Where peers reach it; where it listens unless the settings say otherwise.
    pub address: SocketAddr,
}

/// A peer that the settings name.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Its name.
    pub name: Name,
    /// Its failure domain.
    pub domain: Name,
    /// Where it listens.
    pub address: SocketAddr,
}

/// A model or service with its policies.
#[derive(Clone, Debug)]
pub struct Pool {
    /// The model or service.
    pub name: Name,
    /// What serves it.
    pub kind: UpstreamKind,
    /// In which order its queue lets requests go.
    pub order: &'static str,
    /// How an upstream is chosen.
    pub chooser: &'static str,
    /// Requests that may wait.
    pub queue: usize,
}

/// Bounds on what callers send and receive.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Bytes of a body.
    pub body: usize,
    /// Bytes of an answer.
    pub answer: usize,
    /// Time in which a body must come.
    pub patience: Duration,
    /// Bounds on connections.
    pub limits: Limits,
}

/// The journal of non-idempotent requests.
#[derive(Clone, Copy, Debug)]
pub struct Journal {
    /// Shards; the same on all instances, and never changed.
    pub shards: u32,
    /// How long a key is kept.
    pub keep: Millis,
}

/// Weights and load reports.
#[derive(Clone, Debug)]
pub struct Weights {
    /// Time between two load reports of an engine.
    pub poll: Millis,
    /// Where the weight store is; empty when engines know it themselves.
    pub store: String,
    /// Folder of this instance's cache; [`None`] when it has no disk.
    pub folder: Option<PathBuf>,
    /// Instances of this failure domain that have a cache.
    pub caches: Vec<SocketAddr>,
}

/// Settings of an instance.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This instance.
    pub me: Me,
    /// Addresses of the platform's key-value service.
    pub platform: Vec<SocketAddr>,
    /// The key that instances share.
    pub secret: Secret,
    /// Peers to begin with.
    pub peers: Vec<Peer>,
    /// Models and services.
    pub pools: Vec<Pool>,
    /// Upstreams.
    pub upstreams: Vec<UpstreamSpec>,
    /// Bounds on what callers send and receive.
    pub bounds: Bounds,
    /// The journal.
    pub journal: Journal,
    /// The policy of steps.
    pub policy: &'static str,
    /// Weights and load reports.
    pub weights: Weights,
    /// Logging.
    pub logs: logs::Settings,
}

/// Reads the settings of an instance.
///
/// # Errors
///
/// Returns every mistake of the file at once.
pub fn read(file: &str, text: &str) -> Result<Settings, SettingsErrors> {
    let mut doc = Document::parse(file, text);
    let me = one(&mut doc, "instance", me);
    let platform = one(&mut doc, "platform", platform);
    let secret = one(&mut doc, "peers", secret);
    let bounds = one(&mut doc, "limits", bounds);
    let journal = one(&mut doc, "journal", journal);
    let policy = one(&mut doc, "steps", policy);
    let weights = one(&mut doc, "weights", weights);
    let logs = one(&mut doc, "log", log);
    let peers = many(&mut doc, "peer", peer);
    let pools = many(&mut doc, "pool", pool);
    let upstreams = upstreams(&mut doc, &pools);
    doc.finish()?;
    // An absent part has left a mistake, so `finish` has returned by now if there was one.
    let absent = || SettingsErrors(Vec::new());
    Ok(Settings {
        me: me.ok_or_else(absent)?,
        platform: platform.ok_or_else(absent)?,
        secret: secret.ok_or_else(absent)?,
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

/// Reads one section.
pub fn one<T>(doc: &mut Document, name: &str, read: impl FnOnce(&mut Section) -> T) -> T {
    let mut section = doc.take_section(name);
    let value = read(&mut section);
    doc.finish_section(section);
    value
}

/// Reads every section `[kind NAME]`.
pub fn many<T>(doc: &mut Document, kind: &str, read: impl Fn(&mut Section) -> Option<T>) -> Vec<T> {
    let mut all = Vec::new();
    for mut section in doc.take_sections(kind) {
        all.extend(read(&mut section));
        doc.finish_section(section);
    }
    all
}

const NAME: &str = "a name of a-z, 0-9, '.', '_' and '-'";
const ADDRESS: &str = "an IP address and a port";
const SPAN: &str = "a span of time such as 250ms or 5s";

fn me(s: &mut Section) -> Option<Me> {
    let name = s.require("name", NAME);
    let domain = s.require("domain", NAME);
    let listen = s.require("listen", ADDRESS);
    let address = s.get("address", ADDRESS).or(listen);
    Some(Me {
        name: name?,
        domain: domain?,
        listen: listen?,
        address: address?,
    })
}

/// Reads `[platform]`.
pub fn platform(s: &mut Section) -> Option<Vec<SocketAddr>> {
    let list = s.require::<List<SocketAddr>>("addresses", "addresses separated by commas")?;
    if list.0.is_empty() {
        s.report_invalid("addresses", "at least one address");
    }
    Some(list.0)
}

/// Fewest characters of the key that instances share.
const SECRET: usize = 16;

/// Reads `[peers]`.
pub fn secret(s: &mut Section) -> Option<Secret> {
    let text = s.require::<String>("secret", "a text of at least 16 characters")?;
    if text.len() < SECRET {
        s.report_invalid("secret", "a text of at least 16 characters");
    }
    Some(Secret::new(&text))
}

/// Reads a `[peer NAME]`.
pub fn peer(s: &mut Section) -> Option<Peer> {
    let name = label(s);
    let domain = s.require("domain", NAME);
    let address = s.require("address", ADDRESS);
    Some(Peer {
        name: name?,
        domain: domain?,
        address: address?,
    })
}

/// The name in the section's title.
fn label(s: &mut Section) -> Option<Name> {
    let name = s.label().parse().ok();
    if name.is_none() {
        s.report_invalid("[title]", NAME);
    }
    name
}

fn plugin_of<P: plugin::Plugin>(s: &mut Section, key: &'static str, default: &str) -> &'static str {
    let asked: String = s.get_or(key, "a name", default.to_owned());
    match plugin::find::<P>(&asked) {
        Ok(found) => found.name(),
        Err(_) => {
            s.report_invalid(key, "the name of a policy; see the table in README.md");
            ""
        }
    }
}

fn pool(s: &mut Section) -> Option<Pool> {
    let name = label(s);
    let kind = s.require("kind", "engine or service");
    let order = plugin_of::<QueueOrder>(s, "order", "fair");
    let chooser = plugin_of::<Chooser>(s, "chooser", "scored");
    let queue = s.get_or("queue", "a number of requests", 1_024);
    Some(Pool {
        name: name?,
        kind: kind?,
        order,
        chooser,
        queue,
    })
}

fn upstreams(doc: &mut Document, pools: &[Pool]) -> Vec<UpstreamSpec> {
    many(doc, "upstream", |s| {
        let name = label(s);
        let addr = s.require("address", ADDRESS);
        let domain = s.require("domain", NAME);
        let slots = s.get_or("slots", "a number of requests", 16);
        let fencing = s.get_or("fencing", "true or false", false);
        let pool = s.require::<Name>("pool", "the name of a [pool NAME] section")?;
        let Some(found) = pools.iter().find(|known| known.name == pool) else {
            s.report_invalid("pool", "the name of a [pool NAME] section");
            return None;
        };
        if slots == 0 {
            s.report_invalid("slots", "at least 1");
        }
        Some(UpstreamSpec {
            name: name?,
            addr: addr?,
            kind: found.kind,
            pool,
            domain: domain?,
            slots,
            fencing,
        })
    })
}

fn bounds(s: &mut Section) -> Bounds {
    let base = Limits::default();
    let span = |span: DurationMs| Duration::from_millis(span.0);
    let body = s.get_or("body", "a number of bytes", 1 << 20);
    let answer = s.get_or("answer", "a number of bytes", 8 << 20);
    let patience = s.get_or("patience", SPAN, DurationMs(10_000));
    let headers = s.get_or("headers", SPAN, DurationMs(10_000));
    let grace = s.get_or("grace", SPAN, DurationMs(600_000));
    let connections = s.get_or("connections", "a number of connections", base.connections);
    Bounds {
        body,
        answer,
        patience: span(patience),
        limits: Limits {
            connections,
            header_timeout: span(headers),
            head_bytes: base.head_bytes,
            grace: span(grace),
        },
    }
}

fn journal(s: &mut Section) -> Journal {
    let shards = s.get_or("shards", "a number of shards", 16);
    let keep = s.get_or(
        "keep",
        "a span of time such as 10m or 24h",
        DurationMs(86_400_000),
    );
    if shards == 0 {
        s.report_invalid("shards", "at least 1");
    }
    let keep = keep.0;
    Journal { shards, keep }
}

fn policy(s: &mut Section) -> &'static str {
    plugin_of::<Policy>(s, "policy", "longest")
}

fn weights(s: &mut Section) -> Weights {
    let poll = s.get_or("poll", SPAN, DurationMs(1_000));
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
        poll: poll.0.max(10),
        store,
        folder,
        caches: caches.0,
    }
}

fn log(s: &mut Section) -> logs::Settings {
    let base = logs::Settings::default();
    logs::Settings {
        level: s.get_or("level", "error, warn, info, debug or off", base.level),
        format: s.get_or("form", "pairs or json", base.format),
        audit: s.get::<PathBuf>("audit", "a file"),
        sink: base.sink,
    }
}
