//! The settings of an instance.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;

use conf::Document;
use conf::SettingsErrors;
use kernel::Millis;

/// What an instance does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// It serves callers.
    Entry,
    /// It takes part in control: one of these gives the orders and takes up abandoned steps.
    Control,
}

/// The text names no role.
#[derive(Clone, Copy, Debug)]
#[derive(thiserror::Error)]
#[error("expected entry or control")]
pub struct RoleError;

impl std::str::FromStr for Role {
    type Err = RoleError;

    fn from_str(text: &str) -> Result<Self, RoleError> {
        match text {
            "entry" => Ok(Self::Entry),
            "control" => Ok(Self::Control),
            _ => Err(RoleError),
        }
    }
}

/// Where and how often the requests of teams are reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UsageReports {
    /// The address that takes the reports.
    pub address: SocketAddr,
    /// The length of a window, in milliseconds.
    pub window: Millis,
    /// Time after the end of a window by which its report has to be there, in milliseconds.
    pub deadline: Millis,
}

/// The settings of an instance.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Its name.
    pub name: Arc<str>,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// What it does.
    pub role: Role,
    /// Its address, on which it serves other instances and its metrics.
    pub address: IpAddr,
    /// Where it serves callers.
    pub listen: Option<SocketAddr>,
    /// Where it says whether it is ready.
    pub readiness: Option<SocketAddr>,
    /// The port for other instances, the same on all of them.
    pub peer_port: u16,
    /// The part of a core that it has: steps are run where there is most.
    pub cores: f64,
    /// The platform's store.
    pub platform: SocketAddr,
    /// Time that a stop may take before the process is killed, in milliseconds.
    pub stop_grace: Millis,
    /// Time within which two machines must not both give orders, in milliseconds.
    pub leader_gap: Millis,
    /// Time within which the end of a step has to be in force, in milliseconds.
    pub end_limit: Millis,
    /// Time within which a configuration has to be in force everywhere, in milliseconds.
    pub apply_limit: Millis,
    /// Whether requests that need a key are turned away while the configuration may be too old.
    pub fail_closed: bool,
    /// Age of the configuration from which it is too old then, in milliseconds.
    pub revoke_limit: Millis,
    /// Where and how often the requests of teams are reported, if they are.
    pub usage_reports: Option<UsageReports>,
    /// Shortest lease that the platform grants, in milliseconds.
    pub min_lease: Millis,
    /// Time for which the results of a step can be read, counted from its opening.
    pub result_retention: Millis,
    /// Part of a service's engines that load at the same time.
    pub loading_share: f64,
    /// Part of the samples that may have to run at the same time for which upstreams are ordered.
    pub capacity_fill: f64,
    /// What is logged.
    pub logs: logs::Settings,
}

/// Part of a service's engines that load at the same time: a weight store is sized for about a fifth
/// of the engines at full speed, and more at once would each take longer.
const DEFAULT_LOADING_SHARE: f64 = 0.2;

/// Part of the samples that may have to run at the same time for which upstreams are ordered, where they may be.
/// None unless an operator says so: each is paid for by the second, and steps end with their longest sample,
/// which more upstreams make no shorter.
const DEFAULT_CAPACITY_FILL: f64 = 0.0;

/// Milliseconds in a second.
const MILLIS_PER_SECOND: f64 = 1_000.0;

/// Reads the settings of an instance.
///
/// # Errors
///
/// Returns [`SettingsErrors`], each with file, line and key.
pub fn read(file: &str, text: &str) -> Result<Settings, SettingsErrors> {
    let mut doc = Document::parse(file, text);
    let mut one = doc.take_section("instance");
    let name = one.require::<String>("name", "a name");
    let domain = one.require::<String>("domain", "a name");
    let role = one.require::<Role>("role", "entry or control");
    let address = one.require::<IpAddr>("address", "an IP address");
    let listen = one.get::<SocketAddr>("listen", "an IP address and a port");
    let ready = one.get::<SocketAddr>("ready", "an IP address and a port");
    let peer = one.require::<u16>("peer", "a port");
    let cores = one.get_or("cores", "a part of a core, as 0.5", 1.0);
    doc.finish_section(one);

    let mut plat = doc.take_section("platform");
    let platform = plat.require::<SocketAddr>("address", "an IP address and a port");
    let shortest = plat.get_or("shortest_lease_ms", "milliseconds", 1_000);
    doc.finish_section(plat);

    let mut times = doc.take_section("times");
    let grace = times.get_or("grace_s", "seconds", 8.0);
    let turn = times.get_or("turn_ms", "milliseconds", 3_000);
    let keep = times.get_or("keep_s", "seconds", 120.0);
    let cancel = times.get_or("cancel_ms", "milliseconds", 3_000);
    let apply = times.get_or("apply_ms", "milliseconds", 2_000);
    doc.finish_section(times);

    let mut keys = doc.take_section("keys");
    let closed = keys.get_or("fail_closed", "true or false", false);
    let revoke = keys.get_or("revoke_ms", "milliseconds", 5_000);
    doc.finish_section(keys);

    let mut accounts = doc.take_section("accounts");
    let account = accounts.get::<SocketAddr>("address", "an IP address and a port");
    let window = accounts.get_or("window_s", "seconds", 5.0);
    let late = accounts.get_or("late_s", "seconds", 10.0);
    doc.finish_section(accounts);

    let mut capacity = doc.take_section("capacity");
    let fill = capacity.get_or(
        "fill",
        "a part of the samples, as 0.8",
        DEFAULT_CAPACITY_FILL,
    );
    doc.finish_section(capacity);

    let mut weights = doc.take_section("weights");
    let part = weights.get_or(
        "part",
        "a part of the engines, as 0.2",
        DEFAULT_LOADING_SHARE,
    );
    doc.finish_section(weights);

    let mut log = doc.take_section("log");
    let level = log.get_or(
        "level",
        "error, warn, info, debug or off",
        log::LevelFilter::Info,
    );
    doc.finish_section(log);
    doc.finish()?;

    let millis = |seconds: f64| (seconds * MILLIS_PER_SECOND) as Millis;
    // `finish` has reported whatever is missing; the values below stand for nothing.
    let unset = IpAddr::from([0, 0, 0, 0]);
    Ok(Settings {
        name: name.unwrap_or_default().into(),
        domain: domain.unwrap_or_default().into(),
        role: role.unwrap_or(Role::Entry),
        address: address.unwrap_or(unset),
        listen,
        readiness: ready,
        peer_port: peer.unwrap_or_default(),
        cores,
        platform: platform.unwrap_or((unset, 0).into()),
        stop_grace: millis(grace),
        leader_gap: turn,
        end_limit: cancel,
        apply_limit: apply,
        fail_closed: closed,
        revoke_limit: revoke,
        usage_reports: account.map(|address| UsageReports {
            address,
            window: millis(window),
            deadline: millis(late),
        }),
        min_lease: shortest,
        result_retention: millis(keep),
        loading_share: part.clamp(0.0, 1.0),
        capacity_fill: fill.max(0.0),
        logs: logs::Settings {
            level,
            format: logs::Format::Json,
            sink: logs::Sink::Queue,
            audit: None,
        },
    })
}
