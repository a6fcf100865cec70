//! How the memory and the file descriptors of a process are divided among what takes them.
//!
//! What is not listed here is left to the process itself, to samples and results, and to connections that it opens.

use std::time::Duration;

use net::Limits;

use crate::Settings;
use crate::settings::Role;

/// Divisor of the memory that gives the memory for answers that are being received.
const ANSWER_DIVISOR: usize = 8;

/// Part of the memory for the bodies of callers' requests: room for one of 32 MB on a machine with 88 MB.
const UPLOAD_PERCENT: usize = 42;

/// Divisor of the memory that gives the memory for messages of other instances: what is decoded takes as much again, twice.
const MESSAGE_DIVISOR: usize = 32;

/// Divisor of the memory that gives the memory for copies of steps that are being stored.
const STEP_COPY_DIVISOR: usize = 11;

/// Divisor of the memory that gives the memory for connections.
const CONNECTION_DIVISOR: usize = 4;

/// Memory that a connection takes with what has arrived on it and is not read, in bytes.
const CONNECTION_BYTES: usize = 88 << 10;

/// Descriptors that are left to files.
const FILE_DESCRIPTORS: usize = 200;

/// Divisors of the other descriptors that give those of a listener.
const MAIN_DIVISOR: usize = 2;
const PEER_DIVISOR: usize = 4;
const READINESS_DIVISOR: usize = 32;

/// The fewest connections of a listener.
const MIN_CONNECTIONS: usize = 16;

/// The most connections of a listener.
const MAX_CONNECTIONS: usize = 4_096;

/// The fewest connections that may wait to be accepted by a listener for callers, and by another one.
const MIN_CALLER_BACKLOG: usize = 256;
const MIN_BACKLOG: usize = 64;

/// The most connections that may wait to be accepted.
const MAX_BACKLOG: usize = 1_024;

/// Time for which a connection may be idle or take for its headers: callers keep idle ones for about ten seconds,
/// and a connection closed by this side just when a caller uses it costs that caller an attempt.
const HEADER_TIMEOUT: Duration = Duration::from_secs(20);

/// Whom a listener serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Listener {
    /// Callers.
    Callers,
    /// Other instances and readers of the metrics.
    Peers,
    /// The check whether the instance is ready.
    Readiness,
}

/// Returns the memory for answers of upstreams, in bytes.
pub(crate) fn answer_bytes(settings: &Settings) -> usize {
    settings.memory / ANSWER_DIVISOR
}

/// Returns the memory for bodies of callers' requests, in bytes.
pub(crate) fn upload_bytes(settings: &Settings) -> usize {
    settings.memory / 100 * UPLOAD_PERCENT
}

/// Returns the memory for messages of other instances, in bytes.
pub(crate) fn message_bytes(settings: &Settings) -> usize {
    settings.memory / MESSAGE_DIVISOR
}

/// Returns the memory for copies of steps that are being stored, in bytes.
pub(crate) fn step_copy_bytes(settings: &Settings) -> usize {
    settings.memory / STEP_COPY_DIVISOR
}

/// Returns the limits of a listener's connections.
pub(crate) fn limits(settings: &Settings, listener: Listener) -> Limits {
    Limits {
        connections: connections(settings, listener),
        header_timeout: HEADER_TIMEOUT,
        ..Limits::default()
    }
}

/// Returns the number of connections that may wait to be accepted. The kernel holds what has arrived on them.
pub(crate) fn backlog(settings: &Settings, listener: Listener) -> usize {
    let least = match listener {
        Listener::Callers => MIN_CALLER_BACKLOG,
        Listener::Peers | Listener::Readiness => MIN_BACKLOG,
    };
    connections(settings, listener).clamp(least, MAX_BACKLOG)
}

fn connections(settings: &Settings, listener: Listener) -> usize {
    let divisor = match (listener, settings.role) {
        (Listener::Callers, _) | (Listener::Peers, Role::Control) => MAIN_DIVISOR,
        (Listener::Peers, Role::Entry) => PEER_DIVISOR,
        (Listener::Readiness, _) => READINESS_DIVISOR,
    };
    let sockets = settings.descriptors.saturating_sub(FILE_DESCRIPTORS);
    let by_descriptors = sockets / divisor;
    let by_memory =
        settings.memory / CONNECTION_DIVISOR / CONNECTION_BYTES * MAIN_DIVISOR / divisor;
    by_descriptors
        .min(by_memory)
        .clamp(MIN_CONNECTIONS, MAX_CONNECTIONS)
}
