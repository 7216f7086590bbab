//! Messages between the processes of this system: CBOR frames over a WebSocket, with calls
//! and replies matched by id.

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
use crate::work::model::stream::{KeyedValue, StoreCall, StoreFailure, StoreReply};
use crate::work::model::term_report::TermReport;

/// One frame.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PeerFrame {
    /// The call's number on this connection; its reply carries the same.
    pub id: u64,
    pub body: PeerBody,
}

/// Content of a frame.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerBody {
    Call(PeerCall),
    /// The reply to the call with the same id.
    Reply(Box<Result<PeerReply, CallFailure>>),
}

/// What a host reports of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatMessage {
    pub host: ObjectName,
    /// Offset of the next record that it folds; it acts on all earlier ones.
    pub folded: u64,
    /// Highest ticket in force.
    pub ticket: u64,
    /// Whether it takes no new work because it is shutting down.
    pub draining: bool,
    /// Attempts with a task on a worker that does not answer this host, sorted. While the
    /// log cannot be read, all hosts stop them on the strength of this report alone.
    #[serde(default)]
    pub lost: Vec<AttemptRef>,
}

/// A call to a scheduler.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerCall {
    Heartbeat(HeartbeatMessage),
    Submit(JobSpec),
    Cancel(Vec<ObjectName>),
    /// Apply a ticket.
    Ticket(TicketSpec),
    /// Show a job.
    Job(ObjectName),
    Explain(ObjectName),
    ShowTicket(u64),
    /// Show the report by team.
    Report,
    /// Show rows of the audit trail.
    Audit(AuditFilter),
    /// Show the hosts.
    Hosts,
    /// Get the state that a gateway needs for routing.
    Routing,
    /// Record a keyed request before it is sent.
    Intent(IntentRecord),
    /// Record the outcome of a keyed request.
    Outcome(OutcomeRecord),
    /// Call the platform's store on behalf of a host that cannot use it directly.
    Store(StoreCall),
    /// Store a record with the owner's next append.
    Record(KeyedValue),
    /// Tell under which term this host owns the pool.
    Term,
}

/// A scheduler's reply.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerReply {
    /// The heartbeat of the host called.
    Heartbeat(HeartbeatMessage),
    /// The change is committed.
    Change(ChangeView),
    Job(JobView),
    Explain(ExplainView),
    Ticket(TicketView),
    Report(ReportView),
    Audit(Vec<AuditRow>),
    Hosts(HostsView),
    Routing(RoutingView),
    /// Whether the request may be sent.
    Intent(IntentReply),
    /// Reply of the platform's store.
    Store(Result<StoreReply, StoreFailure>),
    /// Outcome of the owner's append.
    Recorded(Result<(), StoreFailure>),
    /// The host's term; none if it does not own the pool.
    Term(Option<TermReport>),
}

/// Reply to an intent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum IntentReply {
    /// The intent is committed at this log offset; the request may be sent once.
    Granted(u64),
    /// The key was used before, with this outcome.
    Known(KeyOutcome),
}

/// State that a gateway needs for routing.
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

/// A runner on the host list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunnerView {
    pub name: ObjectName,
    pub address: std::net::SocketAddr,
    pub state: HostState,
}

/// A team's limit of requests on one host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamLimit {
    pub team: ObjectName,
    pub max_in_flight: u32,
}
