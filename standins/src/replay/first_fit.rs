//! Baseline planner: first come, first fit, without reclaiming capacity.

use hemlockramp::journal::record::{PlaceRecord, RecordBody};
use hemlockramp::journal::state::FoldState;
use hemlockramp::tables::cell::CellSpan;
use hemlockramp::tables::job::{JobRow, JobSpec};
use hemlockramp::tables::name::ObjectName;
use hemlockramp::tables::rack::{RackRow, push_candidates};

/// Places waiting jobs in order of submission, each on the first free cells that fit.
pub fn plan_first_fit(state: &FoldState) -> Vec<RecordBody> {
    let mut waiting: Vec<&JobRow> = state.jobs.waiting().collect();
    waiting.sort_by_key(|job| (job.submitted_ms, &job.spec.id));
    let mut free: Vec<u128> = state.racks.rows.iter().map(RackRow::free).collect();
    let mut records = Vec::new();
    // Level and count of jobs that did not fit: a job with at least the same level and count
    // does not fit either.
    let mut infeasible: Vec<(usize, u32)> = Vec::new();
    for job in waiting {
        let size = (job.spec.shape.level(), job.spec.count);
        if infeasible
            .iter()
            .any(|old| old.0 <= size.0 && old.1 <= size.1)
        {
            continue;
        }
        match first_fit(state, &free, &job.spec) {
            Some(cells) => {
                cells
                    .iter()
                    .for_each(|cell| free[cell.rack as usize] &= !cell.mask());
                records.push(place_record(job, cells));
            }
            None => infeasible.push(size),
        }
    }
    records
}

fn first_fit(state: &FoldState, free: &[u128], spec: &JobSpec) -> Option<Vec<CellSpan>> {
    let domains = state.racks.domains();
    domains
        .iter()
        .find_map(|domain| first_fit_in(state, free, spec, domain))
}

fn first_fit_in(
    state: &FoldState,
    free: &[u128],
    spec: &JobSpec,
    domain: &ObjectName,
) -> Option<Vec<CellSpan>> {
    let mut choices = Vec::new();
    for (rack, row) in state.racks.rows.iter().enumerate() {
        if row.domain == *domain {
            push_candidates(rack as u32, free[rack], spec.shape, &mut choices);
        }
        if choices.len() >= spec.count as usize {
            break;
        }
    }
    choices.truncate(spec.count as usize);
    let whole = choices.len() == spec.count as usize;
    whole.then(|| choices.iter().map(|choice| choice.span).collect())
}

fn place_record(job: &JobRow, cells: Vec<CellSpan>) -> RecordBody {
    RecordBody::Place(PlaceRecord {
        job: job.spec.id.clone(),
        attempt: job.attempts + 1,
        cells,
        guaranteed: false,
        bind: Vec::new(),
        victims: Vec::new(),
    })
}
