//! The order in which waiting jobs are tried.

use crate::journal::state::FoldState;
use crate::systems::policy::PolicySettings;
use crate::tables::job::JobRow;
use crate::tables::name::ObjectName;

/// Attained service below which jobs share the first queue, in accelerator-ms.
///
/// Least attained service first, in two queues, as in Tiresias (NSDI 2019).
const FIRST_QUEUE_ACCELERATOR_MS: u64 = 8 * 60 * 60 * 1_000;

/// Sort key of a waiting job; the smallest is tried first.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueueKey {
    /// 0 urgent, 1 starving, 2 the rest.
    class: u8,
    /// 0 little attained service, 1 much.
    queue: u8,
    /// Weighed expected run time; 0 in the first two lanes.
    score: u64,
    submitted_ms: u64,
    id: ObjectName,
}

/// Returns the ids of the waiting jobs in the order in which they are tried.
pub fn order_waiting(state: &FoldState, policy: &PolicySettings) -> Vec<ObjectName> {
    let mut keys: Vec<QueueKey> = state
        .jobs
        .waiting()
        .map(|job| queue_key(state, job, policy))
        .collect();
    keys.sort();
    keys.into_iter().map(|key| key.id).collect()
}

fn queue_key(state: &FoldState, job: &JobRow, policy: &PolicySettings) -> QueueKey {
    let waited_ms = state.now_ms.saturating_sub(job.submitted_ms);
    let class = match (job.spec.urgent, waited_ms >= policy.starvation_ms) {
        (true, _) => 0,
        (false, true) => 1,
        (false, false) => 2,
    };
    let normal = class == 2;
    QueueKey {
        class,
        queue: u8::from(normal && job.attained_ms >= FIRST_QUEUE_ACCELERATOR_MS),
        score: if normal {
            queue_score(state, job, waited_ms, policy)
        } else {
            0
        },
        submitted_ms: job.submitted_ms,
        id: job.spec.id.clone(),
    }
}

/// Weighs short run time against large shape; ageing lowers the score.
fn queue_score(state: &FoldState, job: &JobRow, waited_ms: u64, policy: &PolicySettings) -> u64 {
    let run_ms = expected_run_ms(state, job);
    let levels = job.spec.shape.level() as u64;
    // A larger shape counts as a shorter job: it finds a place less often.
    let shrink = 100 + levels * u64::from(policy.fragmentation_weight);
    let weighted = run_ms.saturating_mul(100) / shrink;
    let aged = weighted.saturating_mul(policy.ageing_ms) / (policy.ageing_ms + waited_ms);
    match policy.completion_weight {
        0 => 0,
        _ => aged,
    }
}

/// Returns how much work an eviction would lose, in accelerator-ms; a job evicted
/// before counts for more, so that it isn't evicted over and over.
pub fn eviction_loss(job: &JobRow, now_ms: u64) -> u64 {
    let started_ms = job.attempt().and_then(|attempt| attempt.started_ms);
    let ran_ms = started_ms.map_or(0, |started| now_ms.saturating_sub(started));
    let size = u64::from(job.spec.accelerators());
    let weight = u64::from(job.evictions) + 1;
    size.saturating_mul(ran_ms + 1_000).saturating_mul(weight)
}

/// Returns how long a job should run by what its team's jobs really took, in ms.
pub fn expected_run_ms(state: &FoldState, job: &JobRow) -> u64 {
    let declared_ms = job.spec.declared_ms;
    let team = state.teams.find(&job.spec.team);
    team.map_or(declared_ms, |row| row.estimate_run_ms(declared_ms))
}

/// Returns when a running job should end by its corrected run time, in log ms.
pub fn expected_end_ms(state: &FoldState, job: &JobRow) -> u64 {
    let run_ms = expected_run_ms(state, job);
    let attempt = job.attempt();
    let started_ms = attempt.map_or(state.now_ms, |row| row.started_ms.unwrap_or(state.now_ms));
    // A job that outlived its estimate is expected to run half as long again.
    let ran_ms = state.now_ms.saturating_sub(started_ms);
    started_ms + run_ms.max(ran_ms + ran_ms / 2)
}
