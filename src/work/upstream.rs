//! Upstreams as they report themselves, and the orders they take.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::tables::name::ObjectName;
use crate::work::amount::ResourceAmount;
use crate::work::task_ref::TaskRef;

/// An upstream's own report in the list of upstreams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamReport {
    /// Its name.
    pub name: ObjectName,
    /// The pool that it serves.
    pub pool: ObjectName,
    /// Where it takes orders.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: ObjectName,
    /// Its rack, if it names one.
    pub rack: Option<ObjectName>,
    /// All its labels.
    pub labels: Vec<ObjectName>,
    /// What it has.
    pub capacity: ResourceAmount,
    /// Whether it is leaving.
    pub draining: bool,
    /// Shortest time that is left when it drains, in ms.
    pub remaining_ms: Option<u64>,
    /// Its clock when it reported, in ms.
    pub clock_ms: u64,
    /// When its present life began, Unix ms; 0 if it does not say.
    pub incarnation: u64,
}

/// Where and to which life of an upstream an order goes, and by whose authority.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderTarget {
    /// The upstream.
    pub upstream: ObjectName,
    /// Its address.
    pub address: SocketAddr,
    /// Fencing token; an upstream obeys none lower than it has seen.
    pub fencing_token: u64,
}

/// Starts a run of a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartOrder {
    /// Where.
    pub target: OrderTarget,
    /// The task.
    pub task: TaskRef,
    /// Number of the run.
    pub run: u32,
    /// Text handed to the task.
    pub payload: Arc<str>,
    /// Checkpoint to go on from; empty for none.
    pub checkpoint: Arc<str>,
    /// End of the lease, on the upstream's clock, in ms.
    pub lease_until_ms: u64,
}

/// Stops a run of a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StopOrder {
    /// Where.
    pub target: OrderTarget,
    /// The task.
    pub task: TaskRef,
    /// Number of the run.
    pub run: u32,
}

/// Renews the lease and asks what runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RenewOrder {
    /// Where.
    pub target: OrderTarget,
    /// New end of the lease, on the upstream's clock; none to look only.
    pub lease_until_ms: Option<u64>,
    /// Ends up to this number are recorded and may be forgotten.
    pub recorded_up_to: u64,
    /// How long the answer may wait for an end, in ms.
    pub wait_ms: u64,
}

/// Why an upstream did not start a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartRefusal {
    /// It has seen a higher token.
    Fenced,
    /// It has stopped or ended this run or a later one.
    Old {
        /// The upstream's clock, in ms.
        clock_ms: u64,
    },
    /// The lease in the order was over when it arrived.
    Late,
    /// It lacks room.
    Room,
    /// It is unwell and did nothing.
    Unwell,
    /// It is not the life that was meant, or takes no such order.
    Rejected,
}

/// What became of an order to start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartOutcome {
    /// The run is there; the upstream's clock, in ms.
    Started {
        /// The upstream's clock, in ms.
        clock_ms: u64,
    },
    /// It was refused and did not start.
    Refused(StartRefusal),
    /// No answer: it may start, also later.
    Unknown,
}

/// What became of an order to stop or to renew that was not carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderFailure {
    /// The upstream has seen a higher token.
    Fenced,
    /// Nobody listens at its address.
    Refused,
    /// It refused for another reason.
    Rejected,
    /// No answer in time.
    Silent,
}

/// A run on an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunningTask {
    /// The task.
    pub task: TaskRef,
    /// Number of the run.
    pub run: u32,
    /// Its newest checkpoint; empty for none.
    pub checkpoint: Arc<str>,
    /// Progress in hundredths.
    pub percent: u32,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndKind {
    /// The task is done.
    Done,
    /// The task or the upstream failed.
    Failed,
    /// Stopped by an order.
    Stopped,
    /// The lease was over.
    Lapsed,
    /// Another member of the gang ended.
    Broken,
    /// The gang's other members did not come.
    Alone,
}

/// An ended run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedTask {
    /// Number of the end in the upstream's life.
    pub number: u64,
    /// The task.
    pub task: TaskRef,
    /// Number of the run.
    pub run: u32,
    /// How it ended.
    pub kind: EndKind,
    /// Its last checkpoint; empty for none.
    pub checkpoint: Arc<str>,
}

/// An upstream's answer to a renewal.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RenewReply {
    /// The upstream's life; 0 if it does not say.
    pub incarnation: u64,
    /// Its clock, in ms.
    pub clock_ms: u64,
    /// What runs.
    pub running: Vec<RunningTask>,
    /// What ended and is not yet recorded.
    pub ended: Vec<EndedTask>,
}
