//! The questions of instances to one another, and the answers.

use std::sync::Arc;

use batch::Owner;
use kernel::Millis;
use plat::Answer;
use plat::Call;
use plat::PlatError;
use serde::Deserialize;
use serde::Serialize;
use spread::SyncState;
use spread::Update;
use usage::Snapshot;
use usage::WindowCounts;

use crate::steps::accept::AcceptOutcome;
use crate::steps::accept::Submission;

/// Most bytes of a question or an answer.
pub(crate) const MAX_MESSAGE_BYTES: usize = 16 << 20;

/// Time that the platform has to answer a call that is made for another instance which has waited already: that it does
/// not is to be heard there within a second of the question.
pub(crate) const RELAYED_READ_TIMEOUT: Millis = 450;

/// A question.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) enum PeerRequest {
    /// Results of a step that the other one runs.
    Page {
        step: Arc<str>,
        from: usize,
        wait: Millis,
    },
    /// A step to accept.
    Submit(Submission),
    /// The body of a sample of a step that the other one runs.
    Body { step: Arc<str>, sample: Arc<str> },
    /// Who runs a step.
    Owner(Arc<str>),
    /// That an instance runs a step.
    #[serde(rename = "Own")]
    SetOwner { step: Arc<str>, owner: Arc<str> },
    /// A read of the platform that is newer than what the follower has.
    #[serde(rename = "News")]
    Poll { have: SyncState, wait: Millis },
    /// A call of the platform.
    Relay(Call),
    /// A call that is to be made though the platform did not serve the other one a moment ago.
    #[serde(rename = "Try")]
    RelayDirect(Call),
    /// What an entry instance has counted, for its keeper.
    #[serde(rename = "Tally")]
    Counts { owner: Owner, tally: Snapshot },
    /// What is known of the requests of a window.
    #[serde(rename = "Shares")]
    WindowCounts(u64),
    /// Whether the address that takes reports can be reached.
    #[serde(rename = "Reaches")]
    ReachesReportAddress,
    /// That a step has ended, whose head had this revision.
    Ended { step: Arc<str>, rev: i64 },
    /// That somebody else runs a step, whose head had this revision.
    #[serde(rename = "Taken")]
    TakenOver { step: Arc<str>, rev: i64 },
}

/// An answer.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub(crate) enum PeerReply {
    /// Nothing when the asking one had better take the step.
    Submit(Option<AcceptOutcome>),
    /// Nothing when the step is not run here; inside, nothing when it has no such sample.
    Body(Option<Option<Vec<u8>>>),
    Owner(Option<Arc<str>>),
    #[serde(rename = "Noted")]
    Acknowledged,
    #[serde(rename = "News")]
    Update(Option<Update>),
    /// There is no newer read, since the platform does not answer.
    #[serde(rename = "Blind")]
    PlatformUnreachable,
    Relay(Result<Answer, PlatError>),
    #[serde(rename = "Shares")]
    WindowCounts(Vec<WindowCounts>),
    #[serde(rename = "Reaches")]
    ReachesReportAddress(bool),
}
