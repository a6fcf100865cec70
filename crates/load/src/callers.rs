//! Callers of plain services: an open loop at a given rate, so that slow responses do not reduce the load.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use hdrhistogram::Histogram;
use http::Method;
use http::Request;
use http::StatusCode;
use http::header::AUTHORIZATION;
use http_body_util::Full;
use net::client::uri;
use parking_lot::Mutex;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use route::Ran;
use tokio::task::JoinSet;
use uuid::Uuid;
use wire::Problem;
use wire::caller::IDEMPOTENCY_KEY;
use wire::caller::TIMEOUT;

use crate::report::histogram;

/// Maximum size of a response body.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// An open-loop load of calls to a plain service.
#[derive(Clone, Debug)]
pub struct Callers {
    /// Addresses of the entries, called in turn.
    pub entries: Vec<SocketAddr>,
    /// The bearer token.
    pub token: String,
    /// The path of each call; `{n}` is replaced by the call's number.
    pub path: String,
    /// Mean calls per second.
    pub rate: f64,
    /// Time over which calls are sent.
    pub duration: Duration,
    /// Whether each call is a POST with an idempotency key of its own.
    pub with_keys: bool,
    /// Timeout that each call sends in its timeout header, in milliseconds.
    pub timeout_ms: u64,
    /// Seed of the intervals between calls.
    pub seed: u64,
}

/// Results of an open-loop load.
#[derive(Debug)]
pub struct CallerStats {
    /// Calls that were sent.
    pub sent: u64,
    /// Calls with a complete response that echoes the call's query.
    pub completed: u64,
    /// Latency of the completed calls in microseconds, from the time at which the call was due.
    pub latency_us: Histogram<u64>,
    /// Refusals that state that the call was not executed.
    pub not_run: u64,
    /// Calls that may have been executed: refusals that do not rule it out, and calls without a usable response.
    pub unknown: u64,
    /// Successful responses that do not echo the call's query, such as the response to another call.
    pub mismatched: u64,
    /// Idempotency keys of the completed calls.
    pub completed_keys: Vec<String>,
    /// Idempotency keys of the calls that were refused without being executed.
    pub refused_keys: Vec<String>,
    /// Problem types of refusals, with the number of each.
    pub refusals: Vec<(String, u64)>,
}

impl Default for CallerStats {
    fn default() -> Self {
        Self {
            sent: 0,
            completed: 0,
            latency_us: histogram(),
            not_run: 0,
            unknown: 0,
            mismatched: 0,
            completed_keys: Vec::new(),
            refused_keys: Vec::new(),
            refusals: Vec::new(),
        }
    }
}

enum Outcome {
    Completed,
    /// The response does not echo the call's query.
    Mismatched,
    Refused(Box<Problem>),
    NoResponse,
}

impl Callers {
    /// Sends the calls, waits for the last response and returns the results.
    pub async fn run(&self) -> CallerStats {
        let stats = Arc::new(Mutex::new(CallerStats::default()));
        let http = net::Client::new();
        let mut random = SmallRng::seed_from_u64(self.seed);
        let mut calls = JoinSet::new();
        let start = Instant::now();
        let mut due = Duration::ZERO;
        let mut number = 0;
        loop {
            // Exponential intervals, as of arrivals that are independent of each other.
            let interval = -random.random::<f64>().max(1e-12).ln() / self.rate;
            due += Duration::from_secs_f64(interval);
            if due >= self.duration {
                break;
            }
            tokio::time::sleep_until((start + due).into()).await;
            number += 1;
            let entry = self.entries[number as usize % self.entries.len()];
            let call = Call {
                number,
                entry,
                due: start + due,
                http: http.clone(),
                stats: stats.clone(),
            };
            let callers = self.clone();
            calls.spawn(async move { callers.call(call).await });
            while calls.try_join_next().is_some() {}
        }
        while calls.join_next().await.is_some() {}
        std::mem::take(&mut *stats.lock())
    }

    async fn call(self, call: Call) {
        let key = self.with_keys.then(|| Uuid::now_v7().to_string());
        let outcome = self.send(&call, key.as_deref()).await;
        let micros = call.due.elapsed().as_micros() as u64;
        let mut stats = call.stats.lock();
        stats.sent += 1;
        match outcome {
            Outcome::Completed => {
                stats.completed += 1;
                // The histogram resizes itself, so no value is out of range.
                let _ = stats.latency_us.record(micros);
                stats.completed_keys.extend(key);
            }
            Outcome::Mismatched => stats.mismatched += 1,
            Outcome::Refused(problem) => stats.record_refusal(&problem, key),
            Outcome::NoResponse => stats.unknown += 1,
        }
    }

    async fn send(&self, call: &Call, key: Option<&str>) -> Outcome {
        let path = self.path.replace("{n}", &call.number.to_string());
        let sep = if path.contains('?') { '&' } else { '?' };
        let query = format!("call={}", call.number);
        let request = Request::builder()
            .method(if key.is_some() {
                Method::POST
            } else {
                Method::GET
            })
            .uri(uri(call.entry, &format!("{path}{sep}{query}")))
            .header(AUTHORIZATION, format!("Bearer {}", self.token))
            .header(TIMEOUT, self.timeout_ms);
        let request = match key {
            Some(key) => request.header(IDEMPOTENCY_KEY, key),
            None => request,
        };
        let Ok(request) = request.body(Full::new(Bytes::new())) else {
            return Outcome::NoResponse;
        };
        // Longer than the timeout in the header, so that the entry's own timeout response still arrives.
        let limit = Duration::from_millis(self.timeout_ms + 2_000);
        match call.http.fetch(request, limit, MAX_RESPONSE_BYTES).await {
            Ok(response) if response.status().is_success() => check_echo(response.body(), &query),
            Ok(response) => match serde_json::from_slice(response.body()) {
                Ok(problem) => Outcome::Refused(Box::new(problem)),
                Err(_) if response.status() == StatusCode::OK => Outcome::Mismatched,
                Err(_) => Outcome::NoResponse,
            },
            Err(_) => Outcome::NoResponse,
        }
    }
}

/// Checks that a response belongs to the call with this query: the stand-in service echoes the query.
fn check_echo(body: &[u8], query: &str) -> Outcome {
    let value: Result<serde_json::Value, _> = serde_json::from_slice(body);
    let echo = value
        .ok()
        .and_then(|value| Some(value["echo"].as_str()?.to_owned()));
    match echo {
        Some(echo) if echo.ends_with(query) => Outcome::Completed,
        _ => Outcome::Mismatched,
    }
}

struct Call {
    number: u64,
    entry: SocketAddr,
    due: Instant,
    http: net::Client,
    stats: Arc<Mutex<CallerStats>>,
}

impl CallerStats {
    fn record_refusal(&mut self, problem: &Problem, key: Option<String>) {
        match problem.ran {
            Ran::No => {
                self.not_run += 1;
                self.refused_keys.extend(key);
            }
            Ran::Unknown => self.unknown += 1,
        }
        let kind = serde_json::to_value(problem.kind).unwrap_or_default();
        let kind = kind.as_str().unwrap_or("?").to_owned();
        match self.refusals.iter_mut().find(|(known, _)| *known == kind) {
            Some((_, count)) => *count += 1,
            None => self.refusals.push((kind, 1)),
        }
    }
}
