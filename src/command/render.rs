//! Formats gateway responses as text for the `hemlockramp` operator tool.

use std::fmt::Write;

use crate::tables::audit::AuditRow;
use crate::tables::name::ObjectName;
use crate::wire::api::{ExplainView, HostsView, JobView, TicketView};

/// Response body of the `audit` endpoint: a JSON array of audit rows.
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct AuditRows(pub Vec<AuditRow>);

/// Renders a job's state, reason and counters on one line.
pub fn render_job(job: &JobView) -> String {
    let reason = job
        .reason
        .as_ref()
        .map_or(String::new(), |reason| format!(": {reason}"));
    format!(
        "job {} of team {}: {}{reason} (attempts {}, evictions {})",
        job.id, job.team, job.state, job.attempts, job.evictions
    )
}

/// Renders a job's history, its tasks and the reason it waits.
///
/// Times are in ms since the job was submitted.
pub fn render_explain(view: &ExplainView) -> String {
    let mut text = format!("{}\n", render_job(&view.job));
    let start_ms = view.job.submitted_ms;
    for step in &view.steps {
        let after_ms = step.at_ms.saturating_sub(start_ms);
        let _ = writeln!(
            text,
            "  +{after_ms:>8} ms  offset {:>7}  {}",
            step.offset, step.text
        );
    }
    for task in &view.tasks {
        let bits = task.accelerators;
        let _ = writeln!(
            text,
            "  task on {} accelerators {bits:08b} {}",
            task.worker, task.state
        );
    }
    if let Some(reason) = &view.waits_for {
        let _ = writeln!(text, "  waits: {reason}");
    }
    text
}

/// Renders a change ticket, the hosts where it is in force and those where it is not known to be.
pub fn render_ticket(view: &TicketView) -> String {
    let names = |names: &[ObjectName]| -> String {
        let names: Vec<&str> = names.iter().map(ObjectName::as_str).collect();
        names.join(" ")
    };
    format!(
        "ticket {} by {}: teams {}\n  since {} ms, at log offset {}\n  in force on {} hosts: {}\n  \
         not known to be on {}: {}",
        view.number,
        view.author,
        names(&view.teams),
        view.accepted_ms,
        view.offset,
        view.in_force.len(),
        names(&view.in_force),
        view.missing.len(),
        names(&view.missing)
    )
}

/// Renders audit rows, one line each, with the reason of a refusal.
pub fn render_audit(rows: &AuditRows) -> String {
    let mut text = String::new();
    for row in &rows.0 {
        let verdict = match &row.refused {
            Some(reason) => format!("refused: {reason}"),
            None => "accepted".to_owned(),
        };
        let _ = writeln!(
            text,
            "{:>8} {:>13} {:<16} {:<10} {:<28} {verdict}",
            row.offset, row.at_ms, row.actor, row.kind, row.subject
        );
    }
    text
}

/// Renders a table of entry hosts and a table of workers.
pub fn render_hosts(view: &HostsView) -> String {
    let mut text = String::from("ENTRY HOST       LIVE  FOLDED   TICKET\n");
    for host in &view.entry {
        let live = if host.live { "yes" } else { "no" };
        let _ = writeln!(
            text,
            "{:<16} {live:<4} {:>7} {:>8}",
            host.host, host.folded, host.ticket
        );
    }
    text.push_str("WORKER           DOMAIN     RACK       STATE        HELD\n");
    for worker in &view.workers {
        let _ = writeln!(
            text,
            "{:<16} {:<10} {:<10} {:<11} {:>2}/{:<2}",
            worker.worker,
            worker.domain,
            worker.rack,
            worker.state,
            worker.held,
            worker.accelerators
        );
    }
    text
}
