//! Translation between the messages of callers, upstreams and the store and the types of this crate.
//!
//! An implementation keeps no state, decides nothing and repeats nothing: each function converts one message.

use std::net::SocketAddr;
use std::sync::Arc;

use batch::Entry;
use batch::Sample;
use batch::Scoring;
use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::StatusCode;
use http::request::Parts;
use http_body_util::Full;
use kernel::Millis;
use kernel::Priority;
use net::Payload;
use place::Load;
use table::Config;
use table::Upstream;
use team::Credential;
use team::Principal;
use usage::Report;

/// A message could not be decoded or encoded.
#[derive(Clone, Debug)]
#[derive(thiserror::Error)]
#[error("{message} cannot be understood: {reason}")]
pub struct DialectError {
    /// The kind of message.
    pub message: &'static str,
    /// The reason.
    pub reason: Box<str>,
}

impl DialectError {
    /// Creates an error for a kind of message.
    pub fn new(message: &'static str, reason: impl std::fmt::Display) -> Self {
        let reason = reason.to_string().into();
        Self { message, reason }
    }
}

/// Keys of the store under which other programs write.
#[derive(Clone, Copy, Debug)]
pub struct StoreKeys {
    /// The key of the configuration.
    pub configuration: &'static str,
    /// Prefix of the keys of listed upstreams.
    pub upstreams: &'static str,
    /// Prefix of the keys of announced weights.
    pub weights: &'static str,
    /// Prefix of the keys that name instances to be drained.
    pub drain_requests: &'static str,
}

/// The operation that a caller's request asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Operation {
    /// Read the results of a step from a position on.
    ReadResults {
        /// The step.
        step: Arc<str>,
        /// The position, counted from 0.
        from: usize,
        /// Longest time to wait for a result, in milliseconds.
        wait: Millis,
    },
    /// Read the body of a sample's request.
    ReadBody {
        /// The step.
        step: Arc<str>,
        /// The sample.
        sample: Arc<str>,
    },
    /// End a step.
    EndStep {
        /// The step.
        step: Arc<str>,
    },
    /// Determined by the route that matches.
    Route,
    /// The request is invalid, with the reason.
    Invalid(&'static str),
}

impl Operation {
    /// Returns the step submitted before that the operation concerns, if any.
    pub fn step(&self) -> Option<&Arc<str>> {
        match self {
            Self::ReadResults { step, .. }
            | Self::ReadBody { step, .. }
            | Self::EndStep { step } => Some(step),
            Self::Route | Self::Invalid(_) => None,
        }
    }
}

/// The parts of a caller's request that decide how it is handled.
#[derive(Clone, Debug)]
pub struct Caller {
    /// The identifier that the caller gave to this attempt.
    pub id: Arc<str>,
    /// The host that was requested.
    pub host: Arc<str>,
    /// Time that the caller waits, in milliseconds, if the request states it.
    pub timeout: Option<Millis>,
    /// The last event received of a stream that broke, if the request states it.
    pub last_event: Option<Arc<str>>,
    /// The requested operation.
    pub operation: Operation,
    /// The credential of the sender.
    pub credential: Credential,
}

/// The contents of a request that submits a step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StepRequest {
    /// The model.
    pub model: Arc<str>,
    /// Lowest weight version accepted for generated tokens.
    pub min_version: u64,
    /// Number of groups that the trainer waits for.
    pub required_groups: u32,
    /// The samples.
    pub samples: Vec<Sample>,
}

/// The head of an upstream's answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AnswerHead {
    /// The attempt that the answer belongs to, if stated.
    pub attempt_id: Option<Box<str>>,
    /// Whether the upstream has not executed the request and never will.
    pub not_executed: bool,
    /// Whether the request reached another upstream than addressed, or one with another version of the weights.
    pub misdirected: bool,
    /// The signature of the upstream's application, if present.
    pub signature: Option<Arc<str>>,
    /// The load that the upstream reports.
    pub load: Option<Load>,
    /// The version of the weights that generates the answer.
    pub version: Option<u64>,
}

/// One event of a stream of tokens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// The sequence number, starting at 1, without gaps.
    pub number: u64,
    /// The version of the weights from this event on, if it changes here.
    pub version: Option<u64>,
    /// The data of the event.
    pub data: Box<str>,
}

/// The state that an engine reports.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReportedState {
    /// The loaded models with their versions.
    pub models: Vec<(Arc<str>, u64)>,
    /// Whether the engine is executing an order.
    pub busy: bool,
    /// Number of orders accepted since the engine started.
    pub accepted_orders: u64,
    /// Number of running requests.
    pub running: u32,
    /// Start time by the engine's own clock, in milliseconds since 1970, if stated.
    pub started_at: Option<Millis>,
}

/// How running requests are treated when weights are swapped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SwapMode {
    /// Requests end before the swap.
    Drain,
    /// Requests continue with the new weights.
    Keep,
}

/// An order to an engine to load a version of a model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineOrder {
    /// The engine's name, so that another engine at the same address rejects the order.
    pub name: Arc<str>,
    /// The engine's address.
    pub addr: SocketAddr,
    /// The model.
    pub model: Arc<str>,
    /// The version.
    pub version: u64,
    /// How running requests are treated.
    pub swap_mode: SwapMode,
    /// The instance that sends the order.
    pub holder: Arc<str>,
    /// The sender's fencing token.
    pub fencing_token: i64,
    /// The number of orders that the engine must have accepted before, so that an order that arrives late has no
    /// effect.
    pub prior_orders: u64,
}

/// The outcome of an order to an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineOrderOutcome {
    /// The engine executes it, or had that version already.
    Accepted,
    /// The engine executes another order, or has accepted others since.
    Conflict,
    /// A sender with a higher fencing token has ordered before.
    Fenced,
    /// The engine rejects it.
    Refused,
}

/// A report of the requests of one window, addressed to its receiver.
#[derive(Clone, Copy, Debug)]
pub struct UsageReport<'a> {
    /// The receiver's address.
    pub addr: SocketAddr,
    /// The contents of the report.
    pub report: &'a Report,
    /// The leader, which sends it.
    pub holder: &'a str,
    /// The leader's fencing token.
    pub fencing_token: i64,
}

/// The outcome of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UsageReportOutcome {
    /// It was accepted, now or earlier.
    Accepted,
    /// The receiver is overloaded; the report may be sent again.
    Busy,
    /// A sender with a higher fencing token has reported before.
    Fenced,
    /// The receiver rejects it.
    Refused,
}

/// An order for a number of upstreams.
#[derive(Clone, Copy, Debug)]
pub struct CapacityOrder<'a> {
    /// The receiver's address.
    pub addr: SocketAddr,
    /// The contents of the order.
    pub order: &'a capacity::Order,
    /// The leader, which sends it.
    pub holder: &'a str,
    /// The leader's fencing token.
    pub fencing_token: i64,
}

/// The outcome of an order for upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CapacityOrderOutcome {
    /// The order is being executed.
    Accepted,
    /// No capacity is available at the moment.
    Unavailable,
    /// The receiver is overloaded; the order may be sent again.
    Busy,
    /// A sender with a higher fencing token has ordered before.
    Fenced,
    /// The receiver rejects it.
    Refused,
}

/// Converts between the platform's messages and the types of this crate.
pub trait Dialect: Send + Sync + 'static {
    /// Returns the keys under which other programs write to the store.
    fn store_keys(&self) -> StoreKeys;

    /// Decodes the configuration.
    ///
    /// # Errors
    ///
    /// Returns [`DialectError`].
    fn decode_config(&self, value: &[u8]) -> Result<Config, DialectError>;

    /// Decodes the entry of a listed upstream.
    ///
    /// # Errors
    ///
    /// Returns [`DialectError`].
    fn decode_upstream(&self, key: &str, value: &[u8]) -> Result<Upstream, DialectError>;

    /// Decodes an announced version: the model and the version.
    ///
    /// # Errors
    ///
    /// Returns [`DialectError`].
    fn decode_announcement(&self, value: &[u8]) -> Result<(Arc<str>, u64), DialectError>;

    /// Returns the key and the value of the record that marks an instance as drained.
    fn drained_record(&self, instance: &str) -> (String, Vec<u8>);

    /// Decodes the head of a caller's request.
    fn decode_caller(&self, head: &Parts) -> Caller;

    /// Decodes the body of a request that submits a step.
    ///
    /// # Errors
    ///
    /// Returns [`DialectError`].
    fn decode_step(&self, body: Payload) -> Result<StepRequest, DialectError>;

    /// Encodes results from a position on, as many as one answer may hold.
    fn encode_page(&self, total: u32, from: usize, entries: &[Entry]) -> Vec<u8>;

    /// Returns the headers for forwarding a caller's request to an upstream on behalf of a principal; the upstream
    /// may use `left` milliseconds.
    fn forward_headers(
        &self,
        head: &HeaderMap,
        upstream: &str,
        left: Option<Millis>,
        principal: &Principal,
    ) -> HeaderMap;

    /// Returns the headers of the reply to the caller from those of the upstream's answer.
    fn reply_headers(&self, head: &HeaderMap) -> HeaderMap;

    /// Builds the request for a sample's tokens after event `last`, which is 0 for the first, on behalf of a
    /// principal. The engine is told the priority, if there is one.
    ///
    /// # Errors
    ///
    /// Returns [`DialectError`] when the parts of the sample do not form a valid request.
    fn sample_request(
        &self,
        sample: &Sample,
        host: &str,
        upstream: &Upstream,
        last: u64,
        principal: &Principal,
        priority: Option<Priority>,
    ) -> Result<Request<Full<Bytes>>, DialectError>;

    /// Builds the head of the request for a sample's score.
    ///
    /// # Errors
    ///
    /// Returns [`DialectError`] when the parts of the sample do not form a valid request.
    fn scoring_request_head(&self, scoring: &Scoring) -> Result<Parts, DialectError>;

    /// Decodes the head of an upstream's answer.
    fn decode_answer_head(&self, status: StatusCode, head: &HeaderMap) -> AnswerHead;

    /// Decodes one event: the lines between two empty ones.
    fn decode_event(&self, block: &str) -> Option<Event>;

    /// Returns the method and the path of the request for an engine's state.
    fn state_request(&self) -> (Method, &'static str);

    /// Decodes the state that an engine reports.
    ///
    /// # Errors
    ///
    /// Returns [`DialectError`].
    fn decode_state(&self, body: &[u8]) -> Result<ReportedState, DialectError>;

    /// Builds the request that orders an engine to load a version.
    ///
    /// # Errors
    ///
    /// Returns [`DialectError`].
    fn engine_order_request(
        &self,
        order: &EngineOrder,
    ) -> Result<Request<Full<Bytes>>, DialectError>;

    /// Decodes the outcome of an order to an engine.
    fn engine_order_outcome(&self, status: StatusCode) -> EngineOrderOutcome;

    /// Builds the request that reports how many requests of each team started in a window.
    ///
    /// # Errors
    ///
    /// Returns [`DialectError`].
    fn usage_report_request(
        &self,
        report: &UsageReport<'_>,
    ) -> Result<Request<Full<Bytes>>, DialectError>;

    /// Decodes the outcome of a report.
    fn usage_report_outcome(&self, status: StatusCode) -> UsageReportOutcome;

    /// Builds the request that orders a number of upstreams.
    ///
    /// # Errors
    ///
    /// Returns [`DialectError`].
    fn capacity_order_request(
        &self,
        order: &CapacityOrder<'_>,
    ) -> Result<Request<Full<Bytes>>, DialectError>;

    /// Decodes the outcome of an order for upstreams.
    fn capacity_order_outcome(&self, status: StatusCode) -> CapacityOrderOutcome;
}
