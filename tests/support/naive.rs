//! Reference model of the journal fold: plain lists, individual accelerators and exhaustive
//! packing.

use hemlockramp::journal::record::{PlaceRecord, RecordBody};
use hemlockramp::tables::cell::CellSpan;
use hemlockramp::tables::job::JobSpec;
use hemlockramp::tables::name::ObjectName;
use hemlockramp::tables::team::TeamSpec;

use super::fold::shape;

/// A job that waits or holds accelerators.
#[derive(Clone)]
pub struct ReferenceJob {
    pub spec: JobSpec,
    pub attempts: u32,
    pub cells: Vec<CellSpan>,
    pub holds: bool,
    pub guaranteed: bool,
}

/// State of one healthy failure domain whose racks have 32 accelerators each.
#[derive(Clone, Default)]
pub struct ReferenceFold {
    pub racks: u32,
    pub teams: Vec<TeamSpec>,
    pub jobs: Vec<ReferenceJob>,
    pub bindings: Vec<(ObjectName, CellSpan)>,
}

/// Returns each accelerator of a cell as (rack, position).
fn accelerators(span: &CellSpan) -> Vec<(u32, u32)> {
    let first = u32::from(span.first);
    let size = span.shape.accelerators();
    (first..first + size)
        .map(|place| (span.rack, place))
        .collect()
}

fn overlaps(one: &CellSpan, other: &CellSpan) -> bool {
    let places = accelerators(other);
    accelerators(one).iter().any(|place| places.contains(place))
}

fn contains(outer: &CellSpan, inner: &CellSpan) -> bool {
    let places = accelerators(outer);
    accelerators(inner)
        .iter()
        .all(|place| places.contains(place))
}

impl ReferenceFold {
    /// Applies a submission or a placement; returns whether it is accepted.
    pub fn apply(&mut self, body: &RecordBody) -> bool {
        match body {
            RecordBody::Submit(spec) => {
                self.jobs.push(ReferenceJob {
                    spec: spec.clone(),
                    attempts: 0,
                    cells: Vec::new(),
                    holds: false,
                    guaranteed: false,
                });
                true
            }
            RecordBody::Place(place) => self.place(place),
            _ => false,
        }
    }

    fn place(&mut self, place: &PlaceRecord) -> bool {
        let Some(index) = self.jobs.iter().position(|job| job.spec.id == place.job) else {
            return false;
        };
        let job = self.jobs[index].clone();
        let waits = job.cells.is_empty();
        if !waits || place.attempt != job.attempts + 1 || !self.fits_shape(place, &job.spec) {
            return false;
        }
        let spec = self.teams.iter().find(|team| team.team == job.spec.team);
        let Some(spec) = spec.cloned() else {
            return false;
        };
        let own = self
            .jobs
            .iter()
            .filter(|other| other.spec.team == job.spec.team);
        let held: u32 = own
            .filter(|other| !other.cells.is_empty())
            .map(|other| other.spec.accelerators())
            .sum();
        if held + job.spec.accelerators() > spec.quota_accelerators {
            return false;
        }
        let allowed = match place.guaranteed {
            true => self.claim(place, &spec),
            false => spec.may_borrow && place.cells.iter().all(|span| self.is_free(span)),
        };
        if allowed {
            let holds = !place.cells.iter().any(|span| self.overlaps_holder(span));
            self.jobs[index].cells = place.cells.clone();
            self.jobs[index].attempts += 1;
            self.jobs[index].holds = holds;
            self.jobs[index].guaranteed = place.guaranteed;
        }
        allowed
    }

    fn fits_shape(&self, place: &PlaceRecord, spec: &JobSpec) -> bool {
        let good = |span: &CellSpan| {
            span.shape == spec.shape
                && span.rack < self.racks
                && u32::from(span.first).is_multiple_of(span.shape.accelerators())
                && u32::from(span.first) + span.shape.accelerators() <= 32
        };
        let apart = (0..place.cells.len())
            .all(|one| (0..one).all(|other| !overlaps(&place.cells[one], &place.cells[other])));
        place.cells.len() == spec.count as usize && place.cells.iter().all(good) && apart
    }

    fn overlaps_claim(&self, span: &CellSpan) -> bool {
        let hard = self.jobs.iter().filter(|job| job.guaranteed);
        hard.flat_map(|job| &job.cells)
            .any(|cell| overlaps(cell, span))
    }

    fn overlaps_holder(&self, span: &CellSpan) -> bool {
        let held = self.jobs.iter().filter(|job| job.holds);
        held.flat_map(|job| &job.cells)
            .any(|cell| overlaps(cell, span))
    }

    fn is_free(&self, span: &CellSpan) -> bool {
        !self.overlaps_claim(span) && !self.overlaps_holder(span)
    }

    fn claim(&mut self, place: &PlaceRecord, spec: &TeamSpec) -> bool {
        if place.cells.iter().any(|span| self.overlaps_claim(span)) {
            return false;
        }
        let holders = self.jobs.iter().filter(|job| job.holds);
        let victims = holders.filter(|job| {
            job.cells
                .iter()
                .any(|cell| place.cells.iter().any(|span| overlaps(cell, span)))
        });
        let mut found: Vec<_> = victims
            .map(|job| (job.spec.id.clone(), job.attempts))
            .collect();
        found.sort();
        let mut named: Vec<_> = place
            .victims
            .iter()
            .map(|victim| (victim.job.clone(), victim.attempt))
            .collect();
        named.sort();
        if found != named {
            return false;
        }
        let previous_bindings = self.bindings.clone();
        let good = self.bind(place, spec) && self.can_pack();
        let inside = place.cells.iter().all(|span| {
            let enclosing = self
                .bindings
                .iter()
                .find(|(_, bound)| contains(bound, span));
            enclosing.is_some_and(|(team, _)| *team == spec.team)
        });
        let used = place
            .bind
            .iter()
            .all(|bound| place.cells.iter().any(|span| contains(bound, span)));
        if !(good && inside && used) {
            self.bindings = previous_bindings;
        }
        good && inside && used
    }

    fn bind(&mut self, place: &PlaceRecord, spec: &TeamSpec) -> bool {
        for span in &place.bind {
            let held = spec.guarantees.iter().find(|held| held.shape == span.shape);
            let mine = self
                .bindings
                .iter()
                .filter(|(team, bound)| *team == spec.team && bound.shape == span.shape);
            let left = held.is_some_and(|held| (mine.count() as u32) < held.count);
            let aligned = u32::from(span.first).is_multiple_of(span.shape.accelerators())
                && u32::from(span.first) + span.shape.accelerators() <= 32
                && span.rack < self.racks;
            let apart = !self.bindings.iter().any(|(_, bound)| overlaps(bound, span));
            if !left || !aligned || !apart || self.overlaps_claim(span) {
                return false;
            }
            self.bindings.push((spec.team.clone(), *span));
        }
        true
    }

    /// Returns whether all unbound guarantees fit together, by exhaustive search.
    pub fn can_pack(&self) -> bool {
        let mut wanted = Vec::new();
        for team in &self.teams {
            for held in &team.guarantees {
                let mine = self
                    .bindings
                    .iter()
                    .filter(|(name, bound)| *name == team.team && bound.shape == held.shape);
                for _ in mine.count()..held.count as usize {
                    wanted.push(held.shape.accelerators());
                }
            }
        }
        wanted.sort_unstable_by(|one, other| other.cmp(one));
        self.can_pack_rest(&mut Vec::new(), &wanted)
    }

    fn can_pack_rest(&self, taken: &mut Vec<CellSpan>, wanted: &[u32]) -> bool {
        let Some((size, rest)) = wanted.split_first() else {
            return true;
        };
        for rack in 0..self.racks {
            for first in (0..32).step_by(*size as usize) {
                let span = CellSpan {
                    rack,
                    first,
                    shape: shape(*size),
                };
                let blocked = self.overlaps_claim(&span)
                    || self
                        .bindings
                        .iter()
                        .any(|(_, bound)| overlaps(bound, &span))
                    || taken.iter().any(|other| overlaps(other, &span));
                if blocked {
                    continue;
                }
                taken.push(span);
                if self.can_pack_rest(taken, rest) {
                    return true;
                }
                taken.pop();
            }
        }
        false
    }
}
