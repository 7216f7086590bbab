//! Reports of upstreams, the orders sent to them, and their replies.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::tables::name::ObjectName;
use crate::work::model::amount::ResourceAmount;
use crate::work::model::task_ref::TaskRef;

/// The report that an upstream publishes about itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamReport {
    pub name: ObjectName,
    /// Pool that the upstream belongs to.
    pub pool: ObjectName,
    /// Address to which orders are sent.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: ObjectName,
    /// Rack, if the upstream reports one.
    pub rack: Option<ObjectName>,
    pub labels: Vec<ObjectName>,
    /// Total resources.
    pub capacity: ResourceAmount,
    /// Whether the upstream is about to leave.
    pub draining: bool,
    /// Minimum time left before a draining upstream leaves, in ms.
    pub remaining_ms: Option<u64>,
    /// The upstream's clock at the time of the report, in ms.
    pub clock_ms: u64,
    /// Incarnation of the upstream: its start time in Unix ms, or 0 if not reported.
    pub incarnation: u64,
}

/// Destination of an order, with the fencing token that authorizes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderTarget {
    pub upstream: ObjectName,
    pub address: SocketAddr,
    /// Fencing token, specific to one incarnation of the upstream. An upstream rejects tokens
    /// lower than the highest it has seen.
    pub fencing_token: u64,
}

/// Order to start a run of a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartOrder {
    pub target: OrderTarget,
    pub task: TaskRef,
    /// Number of the run.
    pub run: u32,
    /// Text that is passed to the task.
    pub payload: Arc<str>,
    /// Checkpoint from which to resume; empty for none.
    pub checkpoint: Arc<str>,
    /// End of the lease on the upstream's clock, in ms.
    pub lease_until_ms: u64,
}

/// Order to stop a run of a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StopOrder {
    pub target: OrderTarget,
    pub task: TaskRef,
    /// Number of the run.
    pub run: u32,
}

/// Order to renew an upstream's lease and report what runs and what has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RenewOrder {
    pub target: OrderTarget,
    /// New end of the lease on the upstream's clock, in ms; none for a query without renewal.
    pub lease_until_ms: Option<u64>,
    /// Acknowledges ended runs up to this number: they are recorded, and the upstream may drop
    /// them.
    pub recorded_up_to: u64,
    /// Time for which the upstream may hold the reply until a run ends, in ms.
    pub wait_ms: u64,
}

/// Why an upstream refused to start a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartRefusal {
    /// The upstream has seen a higher fencing token.
    Fenced,
    /// This run or a later one of the task was stopped or has ended already.
    Old {
        /// The upstream's clock, in ms.
        clock_ms: u64,
    },
    /// The lease in the order had expired on arrival.
    Late,
    /// The upstream lacks free resources.
    Room,
    /// The upstream is unhealthy and did nothing.
    Unwell,
    /// The order was meant for another incarnation, or the upstream does not accept such orders.
    Rejected,
}

/// Outcome of an order to start a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartOutcome {
    /// The upstream has the run.
    Started {
        /// The upstream's clock, in ms.
        clock_ms: u64,
    },
    /// The order was refused and the run did not start.
    Refused(StartRefusal),
    /// No reply; the run may have started or may still start.
    Unknown,
}

/// Why an order to stop or to renew failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderFailure {
    /// The upstream has seen a higher fencing token.
    Fenced,
    /// The connection was refused. The upstream may be cut off and run on.
    Refused,
    /// Another process than the upstream answered at its address. The upstream may be cut off and run
    /// on.
    OtherLife,
    /// The upstream refused the order for another reason.
    Rejected,
    /// No reply within the timeout.
    Silent,
}

/// An active run on an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunningTask {
    pub task: TaskRef,
    /// Number of the run.
    pub run: u32,
    /// Newest checkpoint; empty for none.
    pub checkpoint: Arc<str>,
    /// Progress in percent.
    pub percent: u32,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndKind {
    /// The task succeeded.
    Done,
    /// The task or the upstream failed.
    Failed,
    /// The run was stopped by an order.
    Stopped,
    /// The lease expired.
    Lapsed,
    /// Another member of the gang ended.
    Broken,
    /// The other members of the gang did not start.
    Alone,
}

/// An ended run on an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedTask {
    /// Number of this end, counted within the upstream's incarnation.
    pub number: u64,
    pub task: TaskRef,
    /// Number of the run.
    pub run: u32,
    pub kind: EndKind,
    /// Last checkpoint; empty for none.
    pub checkpoint: Arc<str>,
}

/// An upstream's reply to a renewal.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RenewReply {
    /// Incarnation of the upstream; 0 if not reported.
    pub incarnation: u64,
    /// The upstream's clock, in ms.
    pub clock_ms: u64,
    /// Active runs.
    pub running: Vec<RunningTask>,
    /// Ended runs that have not been acknowledged, or the first of them.
    pub ended: Vec<EndedTask>,
    /// Whether `ended` may lack some: a run in neither list may have ended.
    pub ended_is_partial: bool,
}
