//! Messages between our own processes: CBOR frames on a websocket, matched by id.

use serde::{Deserialize, Serialize};

use crate::journal::record::{AttemptRef, IntentRecord, OutcomeRecord};
use crate::reports::row::ReportView;
use crate::routing::verdict::CallFailure;
use crate::tables::audit::AuditRow;
use crate::tables::job::JobSpec;
use crate::tables::key::KeyOutcome;
use crate::tables::name::ObjectName;
use crate::tables::ticket::TicketSpec;
use crate::wire::api::{AuditFilter, ChangeView, ExplainView, HostsView, JobView, TicketView};
use crate::wire::log::HostState;
use crate::work::stream::{KeyedValue, StoreCall, StoreFailure, StoreReply};

/// One frame.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PeerFrame {
    /// The call's number on this connection; its reply carries the same.
    pub id: u64,
    /// Call or reply.
    pub body: PeerBody,
}

/// What a frame carries.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerBody {
    /// A call.
    Call(PeerCall),
    /// Its reply.
    Reply(Box<Result<PeerReply, CallFailure>>),
}

/// A host's own account of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatMessage {
    /// The host.
    pub host: ObjectName,
    /// Offset of the next record it folds; it acts on all before it.
    pub folded: u64,
    /// Highest ticket in force.
    pub ticket: u64,
    /// Whether it takes no new work because it is shutting down.
    pub draining: bool,
    /// Attempts with a task on a worker that gives this host no answer, sorted. While the
    /// log is silent they stop everywhere by this word alone.
    #[serde(default)]
    pub lost: Vec<AttemptRef>,
}

/// A call to a scheduler.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerCall {
    /// Exchange of heartbeats.
    Heartbeat(HeartbeatMessage),
    /// Submit a job.
    Submit(JobSpec),
    /// Cancel jobs.
    Cancel(Vec<ObjectName>),
    /// Apply a ticket.
    Ticket(TicketSpec),
    /// Show a job.
    Job(ObjectName),
    /// Explain a job.
    Explain(ObjectName),
    /// Show a ticket.
    ShowTicket(u64),
    /// Report by team.
    Report,
    /// Audit trail.
    Audit(AuditFilter),
    /// Hosts.
    Hosts,
    /// What a gateway needs for routing.
    Routing,
    /// Record a keyed request before it is sent.
    Intent(IntentRecord),
    /// Record what became of it.
    Outcome(OutcomeRecord),
    /// Call the platform's store for a host that it turns away.
    Store(StoreCall),
    /// Store a fact with the owner's next append.
    Record(KeyedValue),
}

/// A scheduler's reply.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerReply {
    /// The other's heartbeat.
    Heartbeat(HeartbeatMessage),
    /// The change stands.
    Change(ChangeView),
    /// A job.
    Job(JobView),
    /// A job's history.
    Explain(ExplainView),
    /// A ticket.
    Ticket(TicketView),
    /// The report.
    Report(ReportView),
    /// Audit rows.
    Audit(Vec<AuditRow>),
    /// Hosts.
    Hosts(HostsView),
    /// Routing state.
    Routing(RoutingView),
    /// Whether the request may be sent.
    Intent(IntentReply),
    /// What the platform's store answered.
    Store(Result<StoreReply, StoreFailure>),
    /// How the owner's append ended.
    Recorded(Result<(), StoreFailure>),
}

/// Answer to an intent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum IntentReply {
    /// It stands at this offset; the request may be sent, once.
    Granted(u64),
    /// The key was used before; this is what became of it.
    Known(KeyOutcome),
}

/// What a gateway needs for routing.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoutingView {
    /// Whether the scheduler has folded the log.
    pub ready: bool,
    /// Highest ticket in force.
    pub ticket: u64,
    /// Runners on the host list.
    pub runners: Vec<RunnerView>,
    /// Limits of each team, sorted by name.
    pub teams: Vec<TeamLimit>,
    /// Number of live entry hosts.
    pub hosts: usize,
}

/// One runner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunnerView {
    /// Its name.
    pub name: ObjectName,
    /// Where it listens.
    pub address: std::net::SocketAddr,
    /// Its state on the host list.
    pub state: HostState,
}

/// One team's limit of requests on one host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamLimit {
    /// The team.
    pub team: ObjectName,
    /// Most requests in flight.
    pub max_in_flight: u32,
}
