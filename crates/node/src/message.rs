//! Requests between instances and their replies.

use std::sync::Arc;

use batch::Owner;
use kernel::Millis;
use place::SlotReport;
use plat::Answer;
use plat::Call;
use plat::Item;
use plat::PlatError;
use serde::Deserialize;
use serde::Serialize;
use spread::SyncState;
use spread::Update;
use usage::Snapshot;
use usage::WindowCounts;

use crate::steps::accept::AcceptOutcome;
use crate::steps::accept::Submission;

/// Largest request or reply in bytes.
pub(crate) const MAX_MESSAGE_BYTES: usize = 16 << 20;

/// Time limit of a platform call made for another instance that has waited already, in milliseconds. That instance
/// has to know within a second of its request that the platform does not answer.
pub(crate) const RELAYED_READ_TIMEOUT: Millis = 450;

/// A request to another instance.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) enum PeerRequest {
    /// The results of a step that the receiver runs, from a position on.
    Page {
        step: Arc<str>,
        from: usize,
        wait: Millis,
    },
    /// A step to accept.
    Submit(Submission),
    /// The body of a sample of a step that the receiver runs.
    Body { step: Arc<str>, sample: Arc<str> },
    /// Which instance runs a step.
    Owner(Arc<str>),
    /// Records the owner of a step at the keeper of its hint.
    #[serde(rename = "Own")]
    SetOwner { step: Arc<str>, owner: Arc<str> },
    /// Waits for a read of the platform that is newer than the sender's replica.
    #[serde(rename = "News")]
    Poll {
        #[serde(rename = "have")]
        state: SyncState,
        wait: Millis,
    },
    /// A platform call to make for the sender.
    Relay(Call),
    /// A platform call to make even if the platform has just refused the receiver's own calls.
    #[serde(rename = "Try")]
    RelayDirect(Call),
    /// The request counts of an entry instance, for its keeper.
    #[serde(rename = "Tally")]
    Counts {
        owner: Owner,
        #[serde(rename = "tally")]
        snapshot: Snapshot,
    },
    /// The known request counts of a window.
    #[serde(rename = "Shares")]
    WindowCounts(u64),
    /// Whether the receiver can connect to the address that takes usage reports.
    #[serde(rename = "Reaches")]
    ReachesReportAddress,
    /// Reports that a step whose head had this revision has ended.
    Ended { step: Arc<str>, rev: i64 },
    /// Reports that another instance has taken over a step whose head had this revision.
    #[serde(rename = "Taken")]
    TakenOver { step: Arc<str>, rev: i64 },
    /// Reports that engines have begun to load a version of a model, which takes this many milliseconds more.
    LoadStarted {
        model: Arc<str>,
        version: u64,
        engines: Vec<Arc<str>>,
        duration: Millis,
    },
    /// The receiver's configuration if that was confirmed more recently than the sender's: one that was confirmed at
    /// most `wanted_age` milliseconds ago as soon as there is one within `wait`, else any.
    Config {
        rev: i64,
        age: Option<Millis>,
        wanted_age: Millis,
        wait: Millis,
    },
    /// Reports the samples and runs of the sender; the receiver replies with its own if `wants_reply` is set.
    SlotReport {
        report: SlotReport,
        wants_reply: bool,
    },
}

/// A reply.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub(crate) enum PeerReply {
    /// [`None`] when the receiver declines the step.
    Submit(Option<AcceptOutcome>),
    /// [`None`] when the receiver does not run the step; [`None`] inside when the step has no such sample.
    Body(Option<Option<Vec<u8>>>),
    Owner(Option<Arc<str>>),
    #[serde(rename = "Noted")]
    Acknowledged,
    #[serde(rename = "News")]
    Update(Option<Update>),
    /// There is no newer read because the platform does not answer.
    #[serde(rename = "Blind")]
    PlatformUnreachable,
    Relay(Result<Answer, PlatError>),
    #[serde(rename = "Shares")]
    WindowCounts(Vec<WindowCounts>),
    #[serde(rename = "Reaches")]
    ReachesReportAddress(bool),
    /// [`None`] when there is nothing to report.
    SlotReport(Option<SlotReport>),
    /// [`None`] when the receiver knows nothing newer.
    Config(Option<ConfirmedConfig>),
    /// There is no room for the request now, which was not read.
    Refused,
}

/// A configuration as another instance has it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct ConfirmedConfig {
    /// The configuration, if it is newer than the requester's.
    pub(crate) configuration: Option<Item>,
    /// Time since it was last known to be the newest, in milliseconds, when the reply was sent.
    pub(crate) age: Millis,
    /// Time for which the request was held, in milliseconds.
    pub(crate) held: Millis,
}
