//! Placement of borrowed work in free cells, and reservations for blocked gangs.

use crate::journal::state::FoldState;
use crate::systems::policy::PolicySettings;
use crate::systems::queue_order::{expected_end_ms, expected_run_ms};
use crate::tables::cell::CellSpan;
use crate::tables::job::{AttemptPhase, JobRow, JobSpec};
use crate::tables::name::ObjectName;
use crate::tables::rack::{CellCandidate, RackRow, push_candidates};

/// Reservations for gangs that have been blocked for a long time.
#[derive(Clone, Debug, Default)]
pub struct ReservationTable {
    /// In the order in which they were made.
    pub rows: Vec<ReservationRow>,
}

/// Cells reserved for one gang.
#[derive(Clone, Debug)]
pub struct ReservationRow {
    pub cells: Vec<CellSpan>,
    /// When the cells are expected to be free, in log ms. Work that ends by then may
    /// backfill them.
    pub free_ms: u64,
}

impl ReservationTable {
    /// Returns a rack's accelerators that are reserved against work ending at `end_ms`.
    fn reserved_mask(&self, rack: u32, end_ms: u64) -> u128 {
        let blocking = self.rows.iter().filter(|row| end_ms > row.free_ms);
        let cells = blocking.flat_map(|row| &row.cells);
        let matching = cells.filter(|cell| cell.rack == rack);
        matching.fold(0, |mask, cell| mask | cell.mask())
    }
}

/// Returns the failure domains in which a job may run.
pub fn domains_for(state: &FoldState, spec: &JobSpec) -> Vec<ObjectName> {
    match &spec.domain {
        Some(domain) => vec![domain.clone()],
        None => state.racks.domains(),
    }
}

/// Chooses free cells for a whole gang, in the failure domain with the lowest
/// fragmentation cost.
pub fn choose_borrowed(
    state: &FoldState,
    job: &JobRow,
    reserved: &ReservationTable,
    policy: &PolicySettings,
) -> Option<Vec<CellSpan>> {
    let end_ms = state.now_ms + expected_run_ms(state, job);
    let mut best: Option<(u64, Vec<CellSpan>)> = None;
    for domain in domains_for(state, &job.spec) {
        let Some((cost, cells)) = choose_in_domain(state, job, &domain, reserved, end_ms) else {
            continue;
        };
        let weighted = cost * u64::from(policy.fragmentation_weight);
        if best.as_ref().is_none_or(|(least, _)| weighted < *least) {
            best = Some((weighted, cells));
        }
    }
    best.map(|(_, cells)| cells)
}

fn choose_in_domain(
    state: &FoldState,
    job: &JobRow,
    domain: &ObjectName,
    reserved: &ReservationTable,
    end_ms: u64,
) -> Option<(u64, Vec<CellSpan>)> {
    let shape = job.spec.shape;
    let mut candidates = Vec::new();
    for (rack, row) in state.racks.rows.iter().enumerate() {
        if row.domain == *domain {
            let free = row.free() & !reserved.reserved_mask(rack as u32, end_ms);
            push_candidates(rack as u32, free, shape, &mut candidates);
        }
    }
    let count = job.spec.count as usize;
    if candidates.len() < count {
        return None;
    }
    candidates.sort_by_key(|candidate| (candidate.enclosing_level, candidate.span));
    candidates.truncate(count);
    Some((fragmentation_cost(&candidates), spans_of(&candidates)))
}

/// Returns one plus the number of cell levels that the candidates split off larger free cells.
fn fragmentation_cost(candidates: &[CellCandidate]) -> u64 {
    let levels = |candidate: &CellCandidate| {
        (candidate.enclosing_level - candidate.span.shape.level()) as u64
    };
    1 + candidates.iter().map(levels).sum::<u64>()
}

fn spans_of(candidates: &[CellCandidate]) -> Vec<CellSpan> {
    candidates.iter().map(|candidate| candidate.span).collect()
}

/// Reserves the cells that a blocked gang can have soonest, in the failure domain where
/// they are free first.
pub fn reserve_cells(state: &FoldState, job: &JobRow) -> Option<ReservationRow> {
    let domains = domains_for(state, &job.spec);
    let rows = domains
        .iter()
        .filter_map(|domain| reserve_in_domain(state, job, domain));
    rows.min_by_key(|row| row.free_ms)
}

fn reserve_in_domain(
    state: &FoldState,
    job: &JobRow,
    domain: &ObjectName,
) -> Option<ReservationRow> {
    let available = |row: &RackRow| row.usable & !row.hard;
    let candidates = state
        .racks
        .candidate_cells(domain, job.spec.shape, available);
    if candidates.len() < job.spec.count as usize {
        return None;
    }
    let ends = expected_releases(state, domain);
    let mut by_release: Vec<(u64, CellSpan)> = candidates
        .iter()
        .map(|candidate| {
            (
                free_at(&ends, &candidate.span, state.now_ms),
                candidate.span,
            )
        })
        .collect();
    by_release.sort();
    by_release.truncate(job.spec.count as usize);
    let free_ms = by_release.last().map_or(state.now_ms, |(at_ms, _)| *at_ms);
    Some(ReservationRow {
        cells: by_release.into_iter().map(|(_, span)| span).collect(),
        free_ms,
    })
}

/// A held cell and when it is expected to be released.
struct ReleaseRow {
    span: CellSpan,
    end_ms: u64,
}

fn expected_releases(state: &FoldState, domain: &ObjectName) -> Vec<ReleaseRow> {
    let mut ends = Vec::new();
    for (job, attempt) in state.jobs.active() {
        let end_ms = match attempt.phase {
            AttemptPhase::Stopping(_) => state.now_ms,
            _ => expected_end_ms(state, job),
        };
        let matching = attempt.cells.iter().filter(|span| {
            let row = state.racks.row(span.rack);
            row.is_some_and(|row| row.domain == *domain)
        });
        ends.extend(matching.map(|span| ReleaseRow {
            span: *span,
            end_ms,
        }));
    }
    ends.sort_by_key(|held| held.span.rack);
    ends
}

fn free_at(ends: &[ReleaseRow], span: &CellSpan, now_ms: u64) -> u64 {
    let first = ends.partition_point(|held| held.span.rack < span.rack);
    let on_rack = ends[first..]
        .iter()
        .take_while(|held| held.span.rack == span.rack);
    let overlapping = on_rack.filter(|held| held.span.mask() & span.mask() != 0);
    overlapping.map(|held| held.end_ms).max().unwrap_or(now_ms)
}
