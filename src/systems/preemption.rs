//! Chooses cells inside a team's guarantee and the borrowed work that must leave them.

use crate::journal::record::{EvictRecord, PlaceRecord};
use crate::journal::state::FoldState;
use crate::systems::borrow::domains_for;
use crate::systems::queue_order::eviction_loss;
use crate::tables::cell::{CellShape, CellSpan, LevelCounts};
use crate::tables::job::{AttemptPhase, AttemptRow, JobRow};
use crate::tables::name::ObjectName;
use crate::tables::rack::{RackRow, push_candidates};

/// A claim on guaranteed cells.
#[derive(Clone, Debug, Default)]
struct PlacementDraft {
    cells: Vec<CellSpan>,
    bind: Vec<CellSpan>,
    loss: u64,
}

/// Returns a placement of the whole gang inside its team's guarantee, if one is left.
///
/// Of the failure domains it takes the one where the evictions lose the least work.
pub fn choose_guaranteed(state: &FoldState, job: &JobRow) -> Option<PlaceRecord> {
    let domains = domains_for(state, &job.spec);
    let drafts = domains
        .iter()
        .filter_map(|domain| draft_placement(state, job, domain));
    let draft = drafts.min_by_key(|draft| draft.loss)?;
    Some(PlaceRecord {
        job: job.spec.id.clone(),
        attempt: job.attempts + 1,
        victims: state.attempts_on_cells(&draft.cells),
        cells: draft.cells,
        guaranteed: true,
        bind: draft.bind,
    })
}

/// Returns which borrowed work should make room for an urgent job beyond its guarantee:
/// least lost work first, never urgent work, and nothing while cells are being cleared.
pub fn choose_evictions(state: &FoldState, job: &JobRow) -> Option<EvictRecord> {
    let domains = domains_for(state, &job.spec);
    let candidates = domains
        .iter()
        .filter_map(|domain| cheapest_eviction(state, job, domain));
    let (_, cells) = candidates.min_by_key(|(loss, _)| *loss)?;
    let mut victims = state.attempts_on_cells(&cells);
    victims.retain(|victim| {
        let attempt = state.attempt_of(&victim.job);
        attempt.is_some_and(|attempt| !is_stopping(attempt))
    });
    (!victims.is_empty()).then(|| EvictRecord {
        job: job.spec.id.clone(),
        victims,
    })
}

fn is_stopping(attempt: &AttemptRow) -> bool {
    matches!(attempt.phase, AttemptPhase::Stopping(_))
}

/// Finds the cells of a failure domain whose clearing loses the least work.
fn cheapest_eviction(
    state: &FoldState,
    job: &JobRow,
    domain: &ObjectName,
) -> Option<(u64, Vec<CellSpan>)> {
    let available = |row: &RackRow| row.usable & !row.hard;
    let losses = LossTable::new(state, domain);
    let choices = state
        .racks
        .candidate_cells(domain, job.spec.shape, available);
    let mut candidates: Vec<(u64, CellSpan)> = choices
        .iter()
        .map(|choice| (losses.of(&choice.span), choice.span))
        .filter(|(loss, _)| *loss < UNEVICTABLE_LOSS)
        .collect();
    candidates.sort_unstable();
    candidates.truncate(job.spec.count as usize);
    let enough = candidates.len() == job.spec.count as usize;
    let loss = candidates
        .iter()
        .map(|(loss, _)| *loss)
        .fold(0, u64::saturating_add);
    enough.then(|| (loss, candidates.into_iter().map(|(_, span)| span).collect()))
}

fn draft_placement(state: &FoldState, job: &JobRow, domain: &ObjectName) -> Option<PlacementDraft> {
    let team = state.teams.find(&job.spec.team)?;
    let shape = job.spec.shape;
    let wide_enough =
        |row: &&crate::tables::team::TeamGuarantee| row.domain == *domain && row.shape >= shape;
    let mut guarantees: Vec<_> = team.spec.guarantees.iter().filter(wide_enough).collect();
    if guarantees.is_empty() {
        return None;
    }
    guarantees.sort_by_key(|guarantee| guarantee.shape);
    let losses = LossTable::new(state, domain);
    let count = job.spec.count as usize;
    let mut draft = PlacementDraft::default();
    take_in_bindings(state, job, domain, &losses, &mut draft);
    let mut trial = BindTrial::new(state, domain);
    for guarantee in guarantees {
        let bound = state.count_bound(&job.spec.team, domain, guarantee.shape);
        let unbound = guarantee.count.saturating_sub(bound);
        for _ in 0..unbound {
            if draft.cells.len() >= count {
                break;
            }
            let span = trial.bind(guarantee.shape, &losses)?;
            draft.bind.push(span);
            take_in_span(span, span.mask(), shape, &losses, count, &mut draft);
        }
    }
    (draft.cells.len() >= count).then_some(draft)
}

/// Takes cells inside the bindings that the team has already.
fn take_in_bindings(
    state: &FoldState,
    job: &JobRow,
    domain: &ObjectName,
    losses: &LossTable,
    draft: &mut PlacementDraft,
) {
    let mut bindings: Vec<(u32, CellSpan, u128)> = Vec::new();
    for binding in &state.teams.bindings {
        let row = state.racks.row(binding.span.rack);
        let Some(row) = row.filter(|row| row.domain == *domain) else {
            continue;
        };
        if binding.team == job.spec.team {
            let available = row.usable & !row.hard & binding.span.mask();
            bindings.push((available.count_ones(), binding.span, available));
        }
    }
    // The fullest binding first, so that others can be given up.
    bindings.sort_by_key(|(available, span, _)| (*available, *span));
    for (_, span, available) in bindings {
        let count = job.spec.count as usize;
        take_in_span(span, available, job.spec.shape, losses, count, draft);
    }
}

/// Takes the cells of a mask that lose the least work, up to `count` in all.
fn take_in_span(
    span: CellSpan,
    available: u128,
    shape: CellShape,
    losses: &LossTable,
    count: usize,
    draft: &mut PlacementDraft,
) {
    let mut choices = Vec::new();
    push_candidates(span.rack, available, shape, &mut choices);
    choices.sort_by_key(|choice| {
        (
            losses.of(&choice.span),
            choice.enclosing_level,
            choice.span.first,
        )
    });
    let remaining = count.saturating_sub(draft.cells.len());
    for choice in choices.into_iter().take(remaining) {
        draft.loss = draft.loss.saturating_add(losses.of(&choice.span));
        draft.cells.push(choice.span);
    }
}

/// What evictions would lose, by held cell.
struct LossTable {
    /// Cells that borrowed attempts hold, sorted by rack.
    rows: Vec<LossRow>,
}

struct LossRow {
    span: CellSpan,
    loss: u64,
}

/// Loss of what no urgent job may evict: urgent work.
const UNEVICTABLE_LOSS: u64 = u64::MAX;
/// Weight of evicting work of a team that holds no more than its guarantees.
const WITHIN_GUARANTEE_WEIGHT: u64 = 8;

/// What one team holds.
struct UsageRow<'a> {
    team: &'a ObjectName,
    accelerators: u64,
}

/// Lists what each team holds, sorted by team.
fn usage_by_team(state: &FoldState) -> Vec<UsageRow<'_>> {
    let mut rows: Vec<UsageRow<'_>> = Vec::new();
    for (job, _) in state.jobs.active() {
        let team = &job.spec.team;
        let size = u64::from(job.spec.accelerators());
        match rows.binary_search_by(|row| row.team.cmp(team)) {
            Ok(index) => rows[index].accelerators += size,
            Err(index) => rows.insert(
                index,
                UsageRow {
                    team,
                    accelerators: size,
                },
            ),
        }
    }
    rows
}

fn guarantee_weight(state: &FoldState, holds: &[UsageRow<'_>], job: &JobRow) -> u64 {
    let team = &job.spec.team;
    let row = state.teams.find(team);
    let guaranteed = row.map_or(0, |row| row.spec.guaranteed_accelerators());
    let found = holds.binary_search_by(|row| row.team.cmp(team));
    let held = found.map_or(0, |index| holds[index].accelerators);
    match held <= guaranteed {
        true => WITHIN_GUARANTEE_WEIGHT,
        false => 1,
    }
}

impl LossTable {
    fn new(state: &FoldState, domain: &ObjectName) -> Self {
        let holds = usage_by_team(state);
        let mut rows = Vec::new();
        for (job, attempt) in state.jobs.active().filter(|(_, attempt)| attempt.holds) {
            let in_domain = attempt.cells.iter().filter(|span| {
                let row = state.racks.row(span.rack);
                row.is_some_and(|row| row.domain == *domain)
            });
            let loss = match (is_stopping(attempt), job.spec.urgent) {
                // It leaves already.
                (true, _) => 0,
                (false, true) => UNEVICTABLE_LOSS,
                _ => eviction_loss(job, state.now_ms)
                    .saturating_mul(guarantee_weight(state, &holds, job))
                    .min(UNEVICTABLE_LOSS - 1),
            };
            rows.extend(in_domain.map(|span| LossRow { span: *span, loss }));
        }
        rows.sort_by_key(|row| row.span.rack);
        Self { rows }
    }

    /// Returns the work lost by clearing a cell, in accelerator-ms.
    fn of(&self, span: &CellSpan) -> u64 {
        let first = self.rows.partition_point(|row| row.span.rack < span.rack);
        let on_rack = self.rows[first..]
            .iter()
            .take_while(|row| row.span.rack == span.rack);
        let overlapping = on_rack.filter(|row| row.span.mask() & span.mask() != 0);
        overlapping.map(|row| row.loss).fold(0, u64::saturating_add)
    }
}

/// Tries bindings on a copy of a failure domain's masks.
struct BindTrial<'a> {
    state: &'a FoldState,
    domain: &'a ObjectName,
    /// Cells bound so far in this trial.
    taken: Vec<CellSpan>,
    unbound: LevelCounts,
    limit: i64,
}

impl<'a> BindTrial<'a> {
    fn new(state: &'a FoldState, domain: &'a ObjectName) -> Self {
        Self {
            state,
            domain,
            taken: Vec::new(),
            unbound: state.unbound_cells(domain),
            limit: state.shortage(domain),
        }
    }

    /// Binds one more cell of a shape so that all other guarantees still fit.
    fn bind(&mut self, shape: CellShape, losses: &LossTable) -> Option<CellSpan> {
        let free = self.free_cells();
        let mut unbound = self.unbound;
        unbound.0[shape.level()] -= 1;
        let fits = |enclosing_level: usize| {
            let mut remaining = free;
            remaining.split(enclosing_level, shape.level());
            remaining.shortage(&unbound) <= self.limit
        };
        let mut choices = Vec::new();
        for (rack, row) in self.state.racks.rows.iter().enumerate() {
            if row.domain == *self.domain {
                push_candidates(
                    rack as u32,
                    self.available(rack as u32, row),
                    shape,
                    &mut choices,
                );
            }
        }
        let allowed = choices
            .into_iter()
            .filter(|choice| fits(choice.enclosing_level));
        let best = allowed
            .min_by_key(|choice| (losses.of(&choice.span), choice.enclosing_level, choice.span))?;
        self.unbound = unbound;
        self.taken.push(best.span);
        Some(best.span)
    }

    fn free_cells(&self) -> LevelCounts {
        let mut counts = LevelCounts::default();
        for (rack, row) in self.state.racks.rows.iter().enumerate() {
            if row.domain == *self.domain {
                counts.add(&LevelCounts::of_mask(self.available(rack as u32, row)));
            }
        }
        counts
    }

    fn available(&self, rack: u32, row: &RackRow) -> u128 {
        let on_rack = self.taken.iter().filter(|span| span.rack == rack);
        on_rack.fold(row.reclaimable(), |mask, span| mask & !span.mask())
    }
}
