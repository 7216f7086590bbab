//! Explains the state of a job: its events, its tasks and the reason why it waits.

use crate::journal::state::FoldState;
use crate::tables::job::{AttemptPhase, AttemptRow, JobRow, JobState, TaskState};
use crate::tables::name::ObjectName;
use crate::wire::api::{ExplainStep, ExplainView, JobView, TaskView};

/// Returns the events of the job `id`, its tasks and what it waits for, or `None` if the job is
/// unknown.
pub fn explain(state: &FoldState, id: &ObjectName) -> Option<ExplainView> {
    let job = state.jobs.find(id)?;
    let steps = job.events.iter().map(|event| ExplainStep {
        at_ms: event.at_ms,
        offset: event.offset,
        text: event.text.clone(),
    });
    let tasks = job
        .attempt()
        .map_or(Vec::new(), |row| task_views(state, row));
    Some(ExplainView {
        job: JobView::from(job),
        steps: steps.collect(),
        tasks,
        waits_for: waits_for(state, job),
    })
}

fn task_views(state: &FoldState, attempt: &AttemptRow) -> Vec<TaskView> {
    let view = |task: &crate::tables::job::TaskRow| TaskView {
        worker: worker_name(state, task.slot),
        accelerators: task.accelerators,
        state: format!("{:?}", task.state).to_lowercase(),
    };
    attempt.tasks.iter().map(view).collect()
}

fn worker_name(state: &FoldState, slot: crate::tables::rack::WorkerSlot) -> String {
    let worker = state.racks.worker(slot);
    worker.map_or("?".to_owned(), |worker| worker.name.to_string())
}

fn waits_for(state: &FoldState, job: &JobRow) -> Option<String> {
    match &job.state {
        JobState::Waiting => Some(waiting_reason(state, job)),
        JobState::Active(attempt) => active_reason(state, attempt),
        JobState::Ended(_) => None,
    }
}

fn waiting_reason(state: &FoldState, job: &JobRow) -> String {
    let Some(team) = state.teams.find(&job.spec.team) else {
        return "its team is gone".to_owned();
    };
    let held = state.team_accelerators(&job.spec.team);
    let quota = team.spec.quota_accelerators;
    let wanted = job.spec.accelerators();
    if held + wanted > quota {
        return format!("its team holds {held} of its quota of {quota} accelerators");
    }
    let shape = job.spec.shape.accelerators();
    let domains = crate::systems::borrow::domains_for(state, &job.spec);
    let most = domains.iter().map(|domain| {
        let free = state
            .racks
            .candidate_cells(domain, job.spec.shape, |row| row.free());
        free.len()
    });
    let most = most.max().unwrap_or(0);
    let claim = match team.spec.may_borrow {
        true => "its team's guarantee is used up or too small, and",
        false => "its team may not borrow, its guarantee is used up or too small, and",
    };
    format!(
        "{claim} no failure domain has more than {most} of the {} free shapes of {shape} it needs",
        job.spec.count
    )
}

fn active_reason(state: &FoldState, attempt: &AttemptRow) -> Option<String> {
    if attempt.phase == AttemptPhase::Reclaiming {
        let holders = state.attempts_on_cells(&attempt.cells);
        let jobs: Vec<&str> = holders.iter().map(|held| held.job.as_str()).collect();
        return Some(format!(
            "borrowed work to leave its cells: {}",
            jobs.join(", ")
        ));
    }
    let open: Vec<String> = attempt
        .tasks
        .iter()
        .filter(|task| match attempt.phase {
            AttemptPhase::Preparing => task.state == TaskState::Pending,
            AttemptPhase::Stopping(_) => !task.state.is_over(),
            _ => false,
        })
        .map(|task| worker_name(state, task.slot))
        .collect();
    match (open.is_empty(), attempt.phase) {
        (true, _) => None,
        (_, AttemptPhase::Preparing) => Some(format!("workers to prepare: {}", open.join(", "))),
        _ => Some(format!("workers to confirm the stop: {}", open.join(", "))),
    }
}
