//! The settings of an instance and how they are read.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::sync::Arc;

use attempt::Policy;
use conf::Document;
use conf::Section;
use conf::SettingsErrors;
use kernel::Millis;
use rustix::process::Resource;
use rustix::process::getrlimit;

/// The role of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Serves callers.
    Entry,
    /// Takes part in control: one such instance is the leader, which gives orders and takes over abandoned steps.
    Control,
}

/// The text is not the name of a role.
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
    /// Time after the end of a window by which its report has to arrive, in milliseconds.
    pub deadline: Millis,
}

/// Which decisions on the placement of samples are switched on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Placement {
    /// Whether owners of steps are told which engines load weights.
    pub load_notices: bool,
    /// Whether owners of steps share the slots of engines.
    pub share_slots: bool,
    /// Whether only samples that decide when their step ends move to faster engines.
    pub critical_moves: bool,
}

/// What the command line says of the machine. It goes before the settings file.
#[derive(Clone, Copy, Debug, Default)]
pub struct MachineLimits {
    /// Memory of the process in megabytes.
    pub memory_mb: Option<usize>,
    /// Number of file descriptors that the process may have open.
    pub descriptors: Option<usize>,
}

/// The settings of an instance.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The name of the instance.
    pub name: Arc<str>,
    /// The failure domain of the instance.
    pub domain: Arc<str>,
    /// The role of the instance.
    pub role: Role,
    /// The IP address on which it serves other instances and its metrics.
    pub address: IpAddr,
    /// The address on which it serves callers.
    pub listen: Option<SocketAddr>,
    /// The address on which it reports whether it is ready.
    pub readiness: Option<SocketAddr>,
    /// The port for other instances, the same on all of them.
    pub peer_port: u16,
    /// Memory of the process in bytes.
    pub memory: usize,
    /// Number of file descriptors that the process may have open.
    pub descriptors: usize,
    /// Available CPU in cores; instances with the most of it run steps.
    pub cores: f64,
    /// The address of the platform's store.
    pub platform: SocketAddr,
    /// Time after the signal to stop at which the process is killed, in milliseconds.
    pub stop_grace: Millis,
    /// Time within which two machines must not both give orders, in milliseconds.
    pub leader_gap: Millis,
    /// Time within which the end of a step has to take effect, in milliseconds.
    pub end_limit: Millis,
    /// Time within which a configuration has to be in force everywhere, in milliseconds.
    pub apply_limit: Millis,
    /// Whether requests that need a key are refused while the configuration may be too old.
    pub fail_closed: bool,
    /// Age from which the configuration is too old for that, in milliseconds.
    pub revoke_limit: Millis,
    /// Where and how often the requests of teams are reported.
    pub usage_reports: Option<UsageReports>,
    /// The shortest lease that the platform grants, in milliseconds.
    pub min_lease: Millis,
    /// Time after a step's opening for which its results can be read, in milliseconds.
    pub result_retention: Millis,
    /// Fraction of a service's engines that may load at the same time.
    pub loading_share: f64,
    /// Fraction of the samples that may have to run at the same time for which capacity is ordered.
    pub capacity_fill: f64,
    /// Delay in handling requests above which new ones are shed, in milliseconds; none are shed if [`None`].
    pub max_delay: Option<Millis>,
    /// Which decisions on the placement of samples are switched on.
    pub placement: Placement,
    /// Number of calls that may wait for each service; 0 if none may.
    pub call_queue: usize,
    /// Decides on attempts of calls.
    pub attempts: Policy,
    /// The log settings.
    pub logs: logs::Settings,
}

impl Settings {
    /// Returns the settings on a machine with these limits.
    #[must_use]
    pub fn on(mut self, machine: MachineLimits) -> Self {
        if let Some(memory_mb) = machine.memory_mb {
            self.memory = memory_mb << 20;
        }
        if let Some(descriptors) = machine.descriptors {
            self.descriptors = descriptors;
        }
        self
    }
}

/// Default fraction of a service's engines that may load at the same time: a weight store is sized for about a
/// fifth of the engines at full speed, and with more at the same time each would take longer.
const DEFAULT_LOADING_SHARE: f64 = 0.2;

/// Memory of a process in megabytes, where the settings name none.
const DEFAULT_MEMORY_MB: usize = 128;

/// The least memory of a process in megabytes: what it takes at rest, and as much again.
pub const MIN_MEMORY_MB: usize = 32;

/// Number of descriptors of a process, where the system names no limit.
const DEFAULT_DESCRIPTORS: usize = 4_096;

/// Default fraction of the samples for which capacity is ordered. No capacity is ordered unless an operator
/// configures it: each upstream is paid for by the second, and steps end with their longest sample, which more
/// upstreams do not shorten.
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
    let mut instance = doc.take_section("instance");
    let name = instance.require::<String>("name", "a name");
    let domain = instance.require::<String>("domain", "a name");
    let role = instance.require::<Role>("role", "entry or control");
    let address = instance.require::<IpAddr>("address", "an IP address");
    let listen = instance.get::<SocketAddr>("listen", "an IP address and a port");
    let readiness = instance.get::<SocketAddr>("ready", "an IP address and a port");
    let peer_port = instance.require::<u16>("peer", "a port");
    let cores = instance.get_or("cores", "a part of a core, as 0.5", 1.0);
    let memory = instance.get_or("memory_mb", "megabytes", DEFAULT_MEMORY_MB);
    if memory < MIN_MEMORY_MB {
        instance.report_invalid("memory_mb", "megabytes, at least 32");
    }
    let descriptors = instance.get_or("descriptors", "a number", own_descriptors());
    doc.finish_section(instance);

    let mut plat = doc.take_section("platform");
    let platform = plat.require::<SocketAddr>("address", "an IP address and a port");
    let min_lease = plat.get_or("shortest_lease_ms", "milliseconds", 1_000);
    doc.finish_section(plat);

    let mut times = doc.take_section("times");
    let stop_grace = times.get_or("grace_s", "seconds", 8.0);
    let leader_gap = times.get_or("turn_ms", "milliseconds", 3_000);
    let result_retention = times.get_or("keep_s", "seconds", 120.0);
    let end_limit = times.get_or("cancel_ms", "milliseconds", 3_000);
    let apply_limit = times.get_or("apply_ms", "milliseconds", 2_000);
    doc.finish_section(times);

    let mut keys = doc.take_section("keys");
    let fail_closed = keys.get_or("fail_closed", "true or false", false);
    let revoke_limit = keys.get_or("revoke_ms", "milliseconds", 5_000);
    doc.finish_section(keys);

    let mut usage_section = doc.take_section("accounts");
    let report_address = usage_section.get::<SocketAddr>("address", "an IP address and a port");
    let window = usage_section.get_or("window_s", "seconds", 5.0);
    let report_deadline = usage_section.get_or("late_s", "seconds", 10.0);
    doc.finish_section(usage_section);

    let mut capacity = doc.take_section("capacity");
    let capacity_fill = capacity.get_or(
        "fill",
        "a part of the samples, as 0.8",
        DEFAULT_CAPACITY_FILL,
    );
    doc.finish_section(capacity);

    let mut weights = doc.take_section("weights");
    let loading_share = weights.get_or(
        "part",
        "a part of the engines, as 0.2",
        DEFAULT_LOADING_SHARE,
    );
    doc.finish_section(weights);

    let mut overload = doc.take_section("overload");
    let max_delay = overload.get::<Millis>("max_delay_ms", "milliseconds");
    doc.finish_section(overload);

    let mut section = doc.take_section("placement");
    let placement = Placement {
        load_notices: section.get_or("load_notices", "true or false", false),
        share_slots: section.get_or("share_slots", "true or false", false),
        critical_moves: section.get_or("critical_moves", "true or false", false),
    };
    doc.finish_section(section);

    let mut calls = doc.take_section("calls");
    let call_queue = calls.get_or("queue", "a number of calls", 0);
    doc.finish_section(calls);

    let mut section = doc.take_section("attempts");
    let attempts = read_attempts(&mut section);
    doc.finish_section(section);

    let mut log = doc.take_section("log");
    let level = log.get_or(
        "level",
        "error, warn, info, debug or off",
        log::LevelFilter::Info,
    );
    doc.finish_section(log);
    doc.finish()?;

    let millis = |seconds: f64| (seconds * MILLIS_PER_SECOND) as Millis;
    // `finish` has reported missing values; the defaults below are never used.
    let unset = IpAddr::from([0, 0, 0, 0]);
    Ok(Settings {
        name: name.unwrap_or_default().into(),
        domain: domain.unwrap_or_default().into(),
        role: role.unwrap_or(Role::Entry),
        address: address.unwrap_or(unset),
        listen,
        readiness,
        peer_port: peer_port.unwrap_or_default(),
        memory: memory << 20,
        descriptors,
        cores,
        platform: platform.unwrap_or((unset, 0).into()),
        stop_grace: millis(stop_grace),
        leader_gap,
        end_limit,
        apply_limit,
        fail_closed,
        revoke_limit,
        usage_reports: report_address.map(|address| UsageReports {
            address,
            window: millis(window),
            deadline: millis(report_deadline),
        }),
        min_lease,
        result_retention: millis(result_retention),
        loading_share: loading_share.clamp(0.0, 1.0),
        capacity_fill: capacity_fill.max(0.0),
        max_delay,
        placement,
        call_queue,
        attempts,
        logs: logs::Settings {
            level,
            format: logs::Format::Json,
            sink: logs::Sink::Queue,
            audit: None,
        },
    })
}

/// Returns the number of descriptors that the system lets this process have.
fn own_descriptors() -> usize {
    let limit = getrlimit(Resource::Nofile).current;
    limit.map_or(DEFAULT_DESCRIPTORS, |limit| limit as usize)
}

/// Quantiles after which an attempt may begin beside another one: with less than half, most calls would run twice, and with
/// 1, none ever would.
const HEDGE_QUANTILES: RangeInclusive<f64> = 0.5..=0.999;

/// Shares of the calls.
const SHARES: RangeInclusive<f64> = 0.0..=1.0;

fn read_attempts(section: &mut Section) -> Policy {
    let default = Policy::default();
    let mut read = |key, range: RangeInclusive<f64>, expected, default| {
        let value = section.get_or(key, expected, default);
        if !range.contains(&value) {
            section.report_invalid(key, expected);
        }
        value
    };
    let share = "a part of the calls, from 0 to 1";
    Policy {
        hedge_quantile: read(
            "hedge_quantile",
            HEDGE_QUANTILES,
            "a number from 0.5 to 0.999",
            default.hedge_quantile,
        ),
        hedge_share: read("hedge_share", SHARES, share, default.hedge_share),
        retry_share: read("retry_share", SHARES, share, default.retry_share),
    }
}
