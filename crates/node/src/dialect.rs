//! What a protocol of callers, upstreams and records has to translate.
//!
//! A dialect keeps no state, makes no decision and repeats nothing: each function turns one
//! message into another.

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
use place::Load;
use table::Config;
use table::Upstream;
use team::Credential;
use team::Principal;
use usage::Report;

/// A message cannot be understood.
#[derive(Clone, Debug)]
#[derive(thiserror::Error)]
#[error("{message} cannot be understood: {reason}")]
pub struct DialectError {
    /// The message.
    pub message: &'static str,
    /// What is wrong with it.
    pub reason: Box<str>,
}

impl DialectError {
    /// Says what is wrong with a message.
    pub fn new(what: &'static str, why: impl std::fmt::Display) -> Self {
        let why = why.to_string().into();
        Self {
            message: what,
            reason: why,
        }
    }
}

/// Where the platform's store keeps what others write.
#[derive(Clone, Copy, Debug)]
pub struct StoreKeys {
    /// The key of the configuration.
    pub configuration: &'static str,
    /// What the keys of listed upstreams begin with.
    pub upstreams: &'static str,
    /// What the keys of announced weights begin with.
    pub weights: &'static str,
    /// What the keys of instances that are to be emptied begin with.
    pub drain_requests: &'static str,
}

/// What a request from outside asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Operation {
    /// The results of a step from a position on.
    ReadResults {
        /// The step.
        step: Arc<str>,
        /// The position, counted from 0.
        from: usize,
        /// Longest time to wait for a result, in milliseconds.
        wait: Millis,
    },
    /// The body of a sample's request.
    ReadBody {
        /// The step.
        step: Arc<str>,
        /// The sample.
        sample: Arc<str>,
    },
    /// The end of a step.
    EndStep {
        /// The step.
        step: Arc<str>,
    },
    /// Whatever the route says.
    Route,
    /// The request lacks something that it has to have.
    Invalid(&'static str),
}

impl Operation {
    /// Tells whether it concerns a step that was submitted before.
    pub fn concerns_step(&self) -> bool {
        matches!(
            self,
            Self::ReadResults { .. } | Self::ReadBody { .. } | Self::EndStep { .. }
        )
    }
}

/// The parts of a caller's request that decisions need.
#[derive(Clone, Debug)]
pub struct Caller {
    /// The caller's name for this attempt.
    pub id: Arc<str>,
    /// The host.
    pub host: Arc<str>,
    /// Time that the caller will wait, in milliseconds, if it says so.
    pub timeout: Option<Millis>,
    /// The last event that it has of a stream that broke, if it says so.
    pub last_event: Option<Arc<str>>,
    /// What it asks for.
    pub operation: Operation,
    /// What it brings to say who sends it.
    pub credential: Credential,
}

/// A step as it is submitted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StepRequest {
    /// The model.
    pub model: Arc<str>,
    /// The oldest version that may generate its tokens.
    pub min_version: u64,
    /// Groups that the trainer waits for.
    pub required_groups: u32,
    /// The samples.
    pub samples: Vec<Sample>,
}

/// The head of an upstream's answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AnswerHead {
    /// The attempt that it answers, if it says so.
    pub attempt_id: Option<Box<str>>,
    /// Whether it has not run the request and never will.
    pub not_executed: bool,
    /// Whether it is not the upstream that was meant, or not the version of weights.
    pub misdirected: bool,
    /// The signature of an upstream's application, if it bears one.
    pub signature: Option<Arc<str>>,
    /// Its load.
    pub load: Option<Load>,
    /// The version of the weights that generate the answer.
    pub version: Option<u64>,
}

/// One event of a stream of tokens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Its number, counted from 1 without gaps.
    pub number: u64,
    /// The version of the weights from this event on, when it changes here.
    pub version: Option<u64>,
    /// Its data.
    pub data: Box<str>,
}

/// What an engine states of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReportedState {
    /// Its models with their versions.
    pub models: Vec<(Arc<str>, u64)>,
    /// Whether it is carrying out an order.
    pub busy: bool,
    /// Orders that it has accepted since it started.
    pub accepted_orders: u64,
    /// Requests that it works on.
    pub running: u32,
    /// When it started, in milliseconds since 1970 on its own clock, if it says so.
    pub started_at: Option<Millis>,
}

/// How running requests pass a change of weights.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SwapMode {
    /// They end before it.
    Drain,
    /// They go on with the new weights.
    Keep,
}

/// An order to load a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineOrder {
    /// The engine's name, so that another one at its address does not take the order.
    pub name: Arc<str>,
    /// Its address.
    pub addr: SocketAddr,
    /// The model.
    pub model: Arc<str>,
    /// The version.
    pub version: u64,
    /// How running requests pass.
    pub swap_mode: SwapMode,
    /// Who orders.
    pub holder: Arc<str>,
    /// The fencing number of whoever orders.
    pub fencing_token: i64,
    /// Orders that the engine must have accepted before, so that an order that is carried out late
    /// does nothing.
    pub prior_orders: u64,
}

/// What came of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineOrderOutcome {
    /// It is being carried out, or it held already.
    Accepted,
    /// The engine is carrying out another one, or has accepted others meanwhile.
    Conflict,
    /// Somebody with a higher fencing number has ordered before.
    Fenced,
    /// The engine refuses it.
    Refused,
}

/// The report of the requests of one window.
#[derive(Clone, Copy, Debug)]
pub struct UsageReport<'a> {
    /// The address that takes it.
    pub addr: SocketAddr,
    /// The figures.
    pub report: &'a Report,
    /// Who holds the duty.
    pub holder: &'a str,
    /// The fencing number of whoever holds it.
    pub fencing_token: i64,
}

/// What came of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UsageReportOutcome {
    /// It was taken, now or before.
    Accepted,
    /// Too many calls were made at once; it may be sent again.
    Busy,
    /// Somebody with a higher fencing number has reported before.
    Fenced,
    /// It is refused.
    Refused,
}

/// An order for a number of upstreams.
#[derive(Clone, Copy, Debug)]
pub struct CapacityOrder<'a> {
    /// The address that takes it.
    pub addr: SocketAddr,
    /// The order.
    pub order: &'a capacity::Order,
    /// Who holds the duty.
    pub holder: &'a str,
    /// The fencing number of whoever holds it.
    pub fencing_token: i64,
}

/// What came of an order for upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CapacityOrderOutcome {
    /// It is being carried out.
    Accepted,
    /// There are none to be had at the moment.
    Unavailable,
    /// Too many calls were made at once; it may be given again.
    Busy,
    /// Somebody with a higher fencing number has ordered before.
    Fenced,
    /// It is refused.
    Refused,
}

/// Translates between a platform's messages and the product's types.
pub trait Dialect: Send + Sync + 'static {
    /// Where the store keeps what others write.
    fn store_keys(&self) -> StoreKeys;

    /// Reads the configuration.
    ///
    /// # Errors
    ///
    /// Returns [`DialectError`].
    fn decode_config(&self, value: &[u8]) -> Result<Config, DialectError>;

    /// Reads the entry of a listed upstream.
    ///
    /// # Errors
    ///
    /// Returns [`DialectError`].
    fn decode_upstream(&self, key: &str, value: &[u8]) -> Result<Upstream, DialectError>;

    /// Reads an announced version: the model and the version.
    ///
    /// # Errors
    ///
    /// Returns [`DialectError`].
    fn decode_announcement(&self, value: &[u8]) -> Result<(Arc<str>, u64), DialectError>;

    /// The record that says that an instance is empty: its key and its value.
    fn drained_record(&self, instance: &str) -> (String, Vec<u8>);

    /// Reads the head of a caller's request.
    fn decode_caller(&self, head: &Parts) -> Caller;

    /// Reads the body of a request that submits a step.
    ///
    /// # Errors
    ///
    /// Returns [`DialectError`].
    fn decode_step(&self, body: &[u8]) -> Result<StepRequest, DialectError>;

    /// Writes results from a position on, as many as one answer may hold.
    fn encode_page(&self, total: u32, from: usize, entries: &[Entry]) -> Vec<u8>;

    /// The headers with which a caller's request goes on to an upstream on somebody's behalf; the upstream
    /// may work on it for `left` milliseconds.
    fn forward_headers(
        &self,
        head: &HeaderMap,
        upstream: &str,
        left: Option<Millis>,
        principal: &Principal,
    ) -> HeaderMap;

    /// The headers with which an upstream's answer goes back to the caller.
    fn reply_headers(&self, head: &HeaderMap) -> HeaderMap;

    /// The request for a sample's tokens behind event `last`, which is 0 for the first, on somebody's behalf.
    ///
    /// # Errors
    ///
    /// Returns [`DialectError`] when the sample's own parts make no request.
    fn sample_request(
        &self,
        sample: &Sample,
        host: &str,
        upstream: &Upstream,
        last: u64,
        principal: &Principal,
    ) -> Result<Request<Full<Bytes>>, DialectError>;

    /// The head of the request for a sample's score.
    ///
    /// # Errors
    ///
    /// Returns [`DialectError`] when the sample's own parts make no request.
    fn scoring_request_head(&self, scoring: &Scoring) -> Result<Parts, DialectError>;

    /// Reads the head of an upstream's answer.
    fn decode_answer_head(&self, status: StatusCode, head: &HeaderMap) -> AnswerHead;

    /// Reads one event: the lines between two empty ones.
    fn decode_event(&self, block: &str) -> Option<Event>;

    /// The request for what an engine states of itself.
    fn state_request(&self) -> (Method, &'static str);

    /// Reads what an engine states of itself.
    ///
    /// # Errors
    ///
    /// Returns [`DialectError`].
    fn decode_state(&self, body: &[u8]) -> Result<ReportedState, DialectError>;

    /// The request that orders a load.
    ///
    /// # Errors
    ///
    /// Returns [`DialectError`].
    fn engine_order_request(
        &self,
        order: &EngineOrder,
    ) -> Result<Request<Full<Bytes>>, DialectError>;

    /// Reads what came of an order.
    fn engine_order_outcome(&self, status: StatusCode) -> EngineOrderOutcome;

    /// The request that reports how many requests of each team began to run in a window.
    ///
    /// # Errors
    ///
    /// Returns [`DialectError`].
    fn usage_report_request(
        &self,
        account: &UsageReport<'_>,
    ) -> Result<Request<Full<Bytes>>, DialectError>;

    /// Reads what came of a report.
    fn usage_report_outcome(&self, status: StatusCode) -> UsageReportOutcome;

    /// The request that orders a number of upstreams.
    ///
    /// # Errors
    ///
    /// Returns [`DialectError`].
    fn capacity_order_request(
        &self,
        supply: &CapacityOrder<'_>,
    ) -> Result<Request<Full<Bytes>>, DialectError>;

    /// Reads what came of an order for upstreams.
    fn capacity_order_outcome(&self, status: StatusCode) -> CapacityOrderOutcome;
}
