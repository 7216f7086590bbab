//! Serves calls from gateways and peers.

use crate::daemons::context::SharedContext;
use crate::journal::record::{CancelRecord, IntentRecord, OutcomeRecord, RecordBody};
use crate::journal::tail::TailStatus;
use crate::journal::writer::AppendOutcome;
use crate::reports::explain::explain;
use crate::reports::row::ReportView;
use crate::routing::verdict::CallFailure;
use crate::tables::job::JobSpec;
use crate::tables::key::KeyOutcome;
use crate::tables::name::ObjectName;
use crate::tables::rack::{RackRow, WorkerSlot};
use crate::tables::ticket::TicketSpec;
use crate::tables::worker::{WorkerRow, WorkerState};
use crate::wire::api::{ChangeView, HostsView, JobView, PeerView, TicketView, WorkerView};
use crate::wire::peer::{IntentReply, PeerCall, PeerReply, RoutingView, TeamLimit};

/// Retry time told to callers while the log cannot be written, in ms.
const LOG_RETRY_AFTER_MS: u64 = 2_000;

/// Serves one call.
///
/// # Errors
///
/// Each failure says whether the call may have run.
pub async fn serve_call(context: &SharedContext, call: PeerCall) -> Result<PeerReply, CallFailure> {
    if let PeerCall::Heartbeat(heartbeat) = call {
        context.peers.record(heartbeat);
        return Ok(PeerReply::Heartbeat(context.heartbeat()));
    }
    if let PeerCall::Routing = call {
        return Ok(PeerReply::Routing(routing_view(context)));
    }
    let _running = context.calls.enter();
    check_ready(context)?;
    match call {
        PeerCall::Submit(job) => submit(context, job).await,
        PeerCall::Cancel(jobs) => append(context, RecordBody::Cancel(CancelRecord { jobs })).await,
        PeerCall::Ticket(ticket) => apply_ticket(context, ticket).await,
        PeerCall::Intent(intent) => record_intent(context, intent).await,
        PeerCall::Outcome(outcome) => append(context, RecordBody::Outcome(outcome)).await,
        other => read(context, other),
    }
}

fn check_ready(context: &SharedContext) -> Result<(), CallFailure> {
    if context.is_draining() {
        // Its state no longer follows the log; another host's does.
        return Err(CallFailure::not_run(503, "the scheduler is shutting down"));
    }
    match context.view.status() {
        TailStatus::Current => Ok(()),
        TailStatus::Starting => {
            Err(CallFailure::not_run(503, "the scheduler is starting")
                .retry_after(LOG_RETRY_AFTER_MS))
        }
        TailStatus::Gap(reason) => Err(CallFailure::not_run(503, reason)),
    }
}

fn read(context: &SharedContext, call: PeerCall) -> Result<PeerReply, CallFailure> {
    let state = context.view.state();
    let missing = || CallFailure::not_run(404, "not known");
    match call {
        PeerCall::Job(id) => {
            let job = state.jobs.find(&id).ok_or_else(missing)?;
            Ok(PeerReply::Job(JobView::from(job)))
        }
        PeerCall::Explain(id) => Ok(PeerReply::Explain(
            explain(&state, &id).ok_or_else(missing)?,
        )),
        PeerCall::Report => Ok(PeerReply::Report(ReportView::from(&*state))),
        PeerCall::Audit(filter) => Ok(PeerReply::Audit(filter.select(&state))),
        PeerCall::ShowTicket(number) => {
            drop(state);
            ticket_view(context, number).map(PeerReply::Ticket)
        }
        PeerCall::Hosts => {
            drop(state);
            Ok(PeerReply::Hosts(hosts_view(context)))
        }
        _ => Err(CallFailure::not_run(400, "not a call that reads")),
    }
}

async fn submit(context: &SharedContext, job: JobSpec) -> Result<PeerReply, CallFailure> {
    {
        let state = context.view.state();
        if state.jobs.find(&job.id).is_none() {
            // The fold checks again; this spares the log what cannot pass.
            state
                .check_submit(&job)
                .map_err(|reason| CallFailure::not_run(422, reason))?;
        }
    }
    append(context, RecordBody::Submit(job)).await
}

async fn apply_ticket(
    context: &SharedContext,
    ticket: TicketSpec,
) -> Result<PeerReply, CallFailure> {
    let checked = context.view.state().check_ticket(&ticket);
    checked.map_err(|reason| CallFailure::not_run(409, reason))?;
    append(context, RecordBody::Ticket(ticket)).await
}

/// Appends a change and says what became of it.
async fn append(context: &SharedContext, record: RecordBody) -> Result<PeerReply, CallFailure> {
    let settle = context.settings.timing.settle_timeout;
    let outcome = context.writer.append(record, settle).await;
    accepted_offset(outcome).map(|offset| PeerReply::Change(ChangeView { offset }))
}

fn accepted_offset(outcome: AppendOutcome) -> Result<u64, CallFailure> {
    match outcome {
        AppendOutcome::Accepted(offset) => Ok(offset),
        AppendOutcome::Refused(reason) => Err(CallFailure::not_run(409, reason)),
        AppendOutcome::NotAppended(reason) => {
            Err(CallFailure::not_run(503, reason).retry_after(LOG_RETRY_AFTER_MS))
        }
        AppendOutcome::Unknown => Err(CallFailure::may_have_run(
            504,
            "the log has not confirmed it; ask again with the same id",
        )),
    }
}

async fn record_intent(
    context: &SharedContext,
    intent: IntentRecord,
) -> Result<PeerReply, CallFailure> {
    if let Some(known) = known_outcome(context, &intent)? {
        return Ok(PeerReply::Intent(IntentReply::Known(known)));
    }
    let record = RecordBody::Intent(intent.clone());
    let mut receiver = context
        .writer
        .enqueue(record)
        .map_err(|reason| CallFailure::not_run(503, reason).retry_after(LOG_RETRY_AFTER_MS))?;
    let limit = context.settings.timing.settle_timeout;
    let outcome = match tokio::time::timeout(limit, &mut receiver).await {
        Ok(settled) => settled.unwrap_or(AppendOutcome::Unknown),
        Err(_) => {
            withdraw_later(context.clone(), intent, receiver);
            let reason = "the log has not confirmed the intent; nothing was sent";
            return Err(CallFailure::not_run(503, reason).retry_after(LOG_RETRY_AFTER_MS));
        }
    };
    match outcome {
        AppendOutcome::Accepted(offset) => Ok(PeerReply::Intent(IntentReply::Granted(offset))),
        AppendOutcome::Refused(reason) => match known_outcome(context, &intent)? {
            Some(known) => Ok(PeerReply::Intent(IntentReply::Known(known))),
            None => Err(CallFailure::not_run(409, reason)),
        },
        other => accepted_offset(other)
            .map(|_| PeerReply::Intent(IntentReply::Known(KeyOutcome::NotRun))),
    }
}

/// If the intent stands after all, records that nothing was sent, which frees the key.
fn withdraw_later(
    context: SharedContext,
    intent: IntentRecord,
    receiver: tokio::sync::oneshot::Receiver<AppendOutcome>,
) {
    tokio::spawn(async move {
        if let Ok(AppendOutcome::Accepted(offset)) = receiver.await {
            let outcome = OutcomeRecord {
                team: intent.team,
                key: intent.key,
                intent: offset,
                outcome: KeyOutcome::NotRun,
            };
            let settle = context.settings.timing.settle_timeout;
            context
                .writer
                .append(RecordBody::Outcome(outcome), settle)
                .await;
        }
    });
}

/// Returns what is known of a key in use; none if it may be used.
fn known_outcome(
    context: &SharedContext,
    intent: &IntentRecord,
) -> Result<Option<KeyOutcome>, CallFailure> {
    let state = context.view.state();
    state
        .check_issue_time(intent.issued_ms)
        .map_err(|reason| CallFailure::may_have_run(409, reason))?;
    if state.teams.find(&intent.team).is_none() {
        let reason = format!("team {} is not known", intent.team);
        return Err(CallFailure::not_run(404, reason));
    }
    let Some(row) = state.keys.find(&intent.team, &intent.key) else {
        return Ok(None);
    };
    if row.digest != intent.digest {
        return Err(CallFailure::not_run(
            422,
            "the key belongs to another request",
        ));
    }
    match &row.outcome {
        KeyOutcome::NotRun => Ok(None),
        known => Ok(Some(known.clone())),
    }
}

fn routing_view(context: &SharedContext) -> RoutingView {
    let roster = context.hosts.roster().unwrap_or_default();
    let state = context.view.state();
    let teams = state.teams.rows.iter().map(|row| TeamLimit {
        team: row.spec.team.clone(),
        max_in_flight: row.spec.max_requests_in_flight,
    });
    RoutingView {
        ready: context.is_ready(),
        ticket: state.tickets.highest,
        runners: roster.runners,
        teams: teams.collect(),
        hosts: context.live_hosts().len(),
    }
}

fn ticket_view(context: &SharedContext, number: u64) -> Result<TicketView, CallFailure> {
    let hosts = entry_views(context);
    let state = context.view.state();
    let row = state.tickets.find(number);
    let row =
        row.ok_or_else(|| CallFailure::not_run(404, format!("ticket {number} is not known")))?;
    let has_applied = |host: &&PeerView| host.folded > row.offset;
    let names = |wanted: bool| -> Vec<ObjectName> {
        let some = hosts.iter().filter(|host| has_applied(host) == wanted);
        some.map(|host| host.host.clone()).collect()
    };
    Ok(TicketView {
        number,
        author: row.author.clone(),
        teams: row.teams.clone(),
        accepted_ms: row.at_ms,
        offset: row.offset,
        in_force: names(true),
        missing: names(false),
    })
}

fn entry_views(context: &SharedContext) -> Vec<PeerView> {
    let listed = context
        .hosts
        .roster()
        .map_or(Vec::new(), |roster| roster.entry);
    let peer_timeout = context.settings.timing.peer_dead;
    let own = context.heartbeat();
    let views = listed.into_iter().map(|entry| {
        let heartbeat = match entry.name == own.host {
            true => Some(own.clone()),
            false => context.peers.find(&entry.name).map(|row| row.heartbeat),
        };
        let live = entry.name == own.host || context.peers.is_live(&entry.name, peer_timeout);
        PeerView {
            host: entry.name,
            live,
            folded: heartbeat.as_ref().map_or(0, |beat| beat.folded),
            ticket: heartbeat.map_or(0, |beat| beat.ticket),
        }
    });
    views.collect()
}

fn hosts_view(context: &SharedContext) -> HostsView {
    let entry = entry_views(context);
    let state = context.view.state();
    let workers = state.racks.workers().filter_map(|(slot, worker)| {
        let rack = state.racks.row(slot.rack)?;
        Some(worker_view(rack, slot, worker))
    });
    HostsView {
        entry,
        workers: workers.collect(),
    }
}

fn worker_view(rack: &RackRow, slot: WorkerSlot, worker: &WorkerRow) -> WorkerView {
    let state = match (worker.quarantined, worker.state) {
        (_, WorkerState::Gone) => "gone",
        (_, WorkerState::Down) => "down",
        (true, _) => "quarantined",
        (_, WorkerState::Leaving) => "leaving",
        (_, WorkerState::Live) => "live",
    };
    WorkerView {
        worker: worker.name.clone(),
        domain: rack.domain.clone(),
        rack: rack.name.clone(),
        state: state.to_owned(),
        accelerators: u32::from(worker.accelerators),
        held: (rack.used & slot.mask()).count_ones(),
    }
}
