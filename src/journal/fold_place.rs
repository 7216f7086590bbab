//! Folds placements: checks that they are still valid, then takes the cells.

use crate::journal::record::{AttemptRef, EvictRecord, PlaceRecord};
use crate::journal::state::FoldState;
use crate::tables::cell::{CellSpan, WORKER_STRIDE};
use crate::tables::job::{
    AttemptPhase, AttemptRow, JobRow, JobSpec, JobState, StopCause, TaskRow, TaskState,
};
use crate::tables::name::ObjectName;
use crate::tables::rack::{RackRow, WorkerSlot};
use crate::tables::team::BindingRow;

impl FoldState {
    pub(crate) fn apply_place(&mut self, offset: u64, place: &PlaceRecord) -> Result<(), String> {
        let spec = self.check_admission(place)?;
        self.check_cells(place, &spec)?;
        let victims = self.attempts_on_cells(&place.cells);
        if place.guaranteed {
            self.check_victims(place, &victims)?;
            self.bind_cells(place, &spec.team)?;
        }
        self.create_attempt(offset, place);
        for victim in victims {
            self.evict(offset, &victim, &place.job);
        }
        self.prepare_unblocked_attempts(offset);
        Ok(())
    }

    fn check_admission(&self, place: &PlaceRecord) -> Result<JobSpec, String> {
        let job = self.jobs.find(&place.job);
        let job = job.filter(|job| job.state == JobState::Waiting);
        let job = job.ok_or_else(|| "the job does not wait".to_owned())?;
        if place.attempt != job.attempts + 1 {
            return Err(format!("attempt {} is not the next one", place.attempt));
        }
        let team = self.teams.find(&job.spec.team);
        let team = team.ok_or_else(|| "its team is gone".to_owned())?;
        let in_use = self.team_accelerators(&job.spec.team);
        if in_use + job.spec.accelerators() > team.spec.quota_accelerators {
            return Err("its team's quota is used up".to_owned());
        }
        if !place.guaranteed && !team.spec.may_borrow {
            return Err("its team may not borrow".to_owned());
        }
        Ok(job.spec.clone())
    }

    fn check_cells(&self, place: &PlaceRecord, spec: &JobSpec) -> Result<(), String> {
        let shape_fits = place.cells.iter().all(|span| span.shape == spec.shape);
        if place.cells.len() != spec.count as usize || !shape_fits {
            return Err("the cells are not the gang's shape".to_owned());
        }
        let mut sorted = place.cells.clone();
        sorted.sort();
        if sorted.windows(2).any(|pair| pair[0] == pair[1]) {
            return Err("a cell stands twice".to_owned());
        }
        let domain = self.domain_of(&sorted[0])?;
        if spec.domain.as_ref().is_some_and(|wanted| wanted != domain) {
            return Err("the job asked for another failure domain".to_owned());
        }
        sorted
            .iter()
            .try_for_each(|span| self.check_cell_free(span, domain, place.guaranteed))
    }

    fn domain_of(&self, span: &CellSpan) -> Result<&ObjectName, String> {
        let rack = self.racks.row(span.rack);
        Ok(&rack.ok_or_else(|| "no such rack".to_owned())?.domain)
    }

    fn check_cell_free(
        &self,
        span: &CellSpan,
        domain: &ObjectName,
        guaranteed: bool,
    ) -> Result<(), String> {
        if !span.is_aligned() || self.domain_of(span)? != domain {
            return Err("a cell is not aligned or in another failure domain".to_owned());
        }
        let row = self.racks.row(span.rack);
        let free = match guaranteed {
            true => row.map_or(0, |row| row.usable & !row.hard),
            false => row.map_or(0, RackRow::free),
        };
        match free & span.mask() == span.mask() {
            true => Ok(()),
            false => Err("a cell is no longer free".to_owned()),
        }
    }

    /// Lists the attempts that hold accelerators of these cells, sorted.
    pub(crate) fn attempts_on_cells(&self, cells: &[CellSpan]) -> Vec<AttemptRef> {
        let used = |span: &CellSpan| {
            let row = self.racks.row(span.rack);
            row.is_some_and(|row| row.used & span.mask() != 0)
        };
        if !cells.iter().any(used) {
            return Vec::new();
        }
        let holders = self
            .jobs
            .active()
            .filter(|(_, attempt)| attempt.holds && overlaps(&attempt.cells, cells));
        let names = holders.map(|(job, attempt)| AttemptRef {
            job: job.spec.id.clone(),
            attempt: attempt.number,
        });
        names.collect()
    }

    fn check_victims(&self, place: &PlaceRecord, found: &[AttemptRef]) -> Result<(), String> {
        let mut named = place.victims.clone();
        named.sort();
        match named == found {
            true => Ok(()),
            false => Err("other attempts hold the cells by now".to_owned()),
        }
    }

    /// Binds guaranteed cells and marks the gang's cells as held in its team's bindings.
    fn bind_cells(&mut self, place: &PlaceRecord, team: &ObjectName) -> Result<(), String> {
        let domain = self.domain_of(&place.cells[0])?.clone();
        let before = self.shortage(&domain);
        let saved_bindings = self.teams.bindings.clone();
        let saved_bound: Vec<u128> = self.racks.rows.iter().map(|row| row.bound).collect();
        let result = self.try_bind(place, team, &domain, before);
        if result.is_err() {
            self.teams.bindings = saved_bindings;
            for (row, bound) in self.racks.rows.iter_mut().zip(saved_bound) {
                row.bound = bound;
            }
        }
        result
    }

    fn try_bind(
        &mut self,
        place: &PlaceRecord,
        team: &ObjectName,
        domain: &ObjectName,
        before: i64,
    ) -> Result<(), String> {
        for span in &place.bind {
            self.bind_cell(span, team, domain)?;
        }
        if self.shortage(domain) > before {
            return Err("another team's guarantee would not fit".to_owned());
        }
        for span in &place.cells {
            let enclosing = self.teams.enclosing_binding(span);
            let binding = enclosing.map(|index| &mut self.teams.bindings[index]);
            let binding = binding.filter(|binding| binding.team == *team);
            let binding = binding.ok_or_else(|| "a cell is outside the guarantee".to_owned())?;
            binding.held |= span.mask();
        }
        let idle = |row: &BindingRow| row.held == 0;
        match self.teams.bindings.iter().any(idle) {
            true => Err("a cell was bound and not used".to_owned()),
            false => Ok(()),
        }
    }

    fn bind_cell(
        &mut self,
        span: &CellSpan,
        team: &ObjectName,
        domain: &ObjectName,
    ) -> Result<(), String> {
        let guarantees = self.teams.find(team).map(|row| &row.spec.guarantees);
        let matches = |guarantee: &&crate::tables::team::TeamGuarantee| {
            guarantee.domain == *domain && guarantee.shape == span.shape
        };
        let count =
            guarantees.and_then(|rows| rows.iter().find(matches).map(|guarantee| guarantee.count));
        if self.count_bound(team, domain, span.shape) >= count.unwrap_or(0) {
            return Err("the team's guarantee is used up".to_owned());
        }
        let row = self.racks.row_mut(span.rack);
        let row = row.filter(|row| row.domain == *domain && span.is_aligned());
        let row = row.ok_or_else(|| "no such cell to bind".to_owned())?;
        if row.reclaimable() & span.mask() != span.mask() {
            return Err("a cell to bind is taken".to_owned());
        }
        row.bound |= span.mask();
        self.teams.bind(BindingRow {
            team: team.clone(),
            span: *span,
            held: 0,
        });
        Ok(())
    }

    fn create_attempt(&mut self, offset: u64, place: &PlaceRecord) {
        if place.guaranteed {
            self.mark_cells(&place.cells, |row, mask| row.hard |= mask);
        }
        let tasks = self.tasks_of(&place.cells);
        let now_ms = self.now_ms;
        let attempt = AttemptRow {
            number: place.attempt,
            token: offset,
            cells: place.cells.clone(),
            guaranteed: place.guaranteed,
            phase: AttemptPhase::Reclaiming,
            holds: false,
            launched: false,
            tasks,
            placed_ms: now_ms,
            started_ms: None,
        };
        if let Some(job) = self.jobs.find_mut(&place.job) {
            job.attempts = place.attempt;
            job.record_event(now_ms, offset, placement_text(place));
            job.state = JobState::Active(attempt);
        }
    }

    pub(crate) fn mark_cells(&mut self, cells: &[CellSpan], mark: impl Fn(&mut RackRow, u128)) {
        for span in cells {
            if let Some(row) = self.racks.row_mut(span.rack) {
                mark(row, span.mask());
            }
        }
    }

    /// Lists the tasks of a gang: one for each worker of each cell.
    fn tasks_of(&self, cells: &[CellSpan]) -> Vec<TaskRow> {
        let mut tasks = Vec::new();
        for span in cells {
            let mask = span.mask();
            let first = u32::from(span.first) / WORKER_STRIDE;
            let last = (u32::from(span.first) + span.shape.accelerators() - 1) / WORKER_STRIDE;
            for position in first..=last {
                let worker_mask = (mask >> (position * WORKER_STRIDE)) & 0xff;
                tasks.push(TaskRow {
                    slot: WorkerSlot {
                        rack: span.rack,
                        position: position as u8,
                    },
                    accelerators: worker_mask as u8,
                    state: TaskState::Pending,
                });
            }
        }
        tasks
    }

    pub(crate) fn apply_evict(&mut self, offset: u64, evict: &EvictRecord) -> Result<(), String> {
        let job = self.jobs.find(&evict.job);
        let urgent = job.is_some_and(|job| job.state == JobState::Waiting && job.spec.urgent);
        if !urgent {
            return Err("no urgent job waits".to_owned());
        }
        if evict.victims.is_empty() || !evict.victims.iter().all(|victim| self.may_evict(victim)) {
            return Err("a victim has ended, is urgent or is inside its guarantee".to_owned());
        }
        for victim in &evict.victims {
            self.evict(offset, victim, &evict.job);
        }
        Ok(())
    }

    fn may_evict(&self, victim: &AttemptRef) -> bool {
        let job = self.jobs.find(&victim.job).filter(|job| !job.spec.urgent);
        let attempt = job.and_then(JobRow::attempt);
        attempt.is_some_and(|attempt| {
            let stopping = matches!(attempt.phase, AttemptPhase::Stopping(_));
            attempt.number == victim.attempt && !attempt.guaranteed && !stopping
        })
    }

    fn evict(&mut self, offset: u64, victim: &AttemptRef, for_job: &ObjectName) {
        let now_ms = self.now_ms;
        if let Some(job) = self.jobs.find_mut(&victim.job) {
            let text = format!("told to checkpoint and stop: job {for_job} takes its cells");
            job.record_event(now_ms, offset, text);
            let first_stop = !matches!(
                job.attempt().map(|attempt| attempt.phase),
                Some(AttemptPhase::Stopping(_))
            );
            job.evictions += u32::from(first_stop);
        }
        self.stop_attempt(offset, &victim.job, StopCause::Reclaimed);
    }

    /// Lets reclaiming attempts take their cells once nobody else holds them.
    pub(crate) fn prepare_unblocked_attempts(&mut self, offset: u64) {
        let reclaiming = self
            .jobs
            .active()
            .filter(|(_, attempt)| attempt.phase == AttemptPhase::Reclaiming);
        let unblocked: Vec<(ObjectName, Vec<CellSpan>)> = reclaiming
            .filter(|(_, attempt)| self.are_unused(&attempt.cells))
            .map(|(job, attempt)| (job.spec.id.clone(), attempt.cells.clone()))
            .collect();
        for (id, cells) in unblocked {
            self.mark_cells(&cells, |row, mask| row.used |= mask);
            let now_ms = self.now_ms;
            let Some(job) = self.jobs.find_mut(&id) else {
                continue;
            };
            job.record_event(
                now_ms,
                offset,
                "its cells are free; tasks are being prepared",
            );
            if let Some(attempt) = job.attempt_mut() {
                attempt.phase = AttemptPhase::Preparing;
                attempt.holds = true;
            }
        }
    }

    fn are_unused(&self, cells: &[CellSpan]) -> bool {
        cells.iter().all(|span| {
            let row = self.racks.row(span.rack);
            row.is_some_and(|row| row.used & span.mask() == 0)
        })
    }

    /// Gives up an attempt's cells; the job waits again or has ended.
    pub(crate) fn release_cells(&mut self, job: &JobRow, attempt: &AttemptRow) {
        if attempt.holds {
            self.mark_cells(&attempt.cells, |row, mask| row.used &= !mask);
        }
        if attempt.guaranteed {
            self.release_bindings(&job.spec.team, &attempt.cells);
        }
    }

    /// Takes cells out of their bindings; a binding that holds nothing more is undone.
    pub(crate) fn release_bindings(&mut self, team: &ObjectName, cells: &[CellSpan]) {
        self.mark_cells(cells, |row, mask| row.hard &= !mask);
        for span in cells {
            let Some(index) = self.teams.enclosing_binding(span) else {
                continue;
            };
            let binding = &mut self.teams.bindings[index];
            if binding.team == *team {
                binding.held &= !span.mask();
            }
            if binding.held == 0 {
                let bound = self.teams.bindings.remove(index).span;
                self.mark_cells(&[bound], |row, mask| row.bound &= !mask);
            }
        }
    }
}

fn overlaps(cells: &[CellSpan], others: &[CellSpan]) -> bool {
    cells.iter().any(|cell| {
        let in_same_rack = |other: &&CellSpan| other.rack == cell.rack;
        let mut others = others.iter().filter(in_same_rack);
        others.any(|other| cell.mask() & other.mask() != 0)
    })
}

fn placement_text(place: &PlaceRecord) -> String {
    let claim = match place.guaranteed {
        true => "inside its team's guarantee",
        false => "on borrowed capacity",
    };
    let first = &place.cells[0];
    let mut text = format!(
        "attempt {} placed {claim}: {} cells, first in rack {} at accelerator {}",
        place.attempt,
        place.cells.len(),
        first.rack,
        first.first
    );
    if !place.victims.is_empty() {
        let jobs: Vec<&str> = place
            .victims
            .iter()
            .map(|victim| victim.job.as_str())
            .collect();
        text.push_str(&format!("; displaces {}", jobs.join(", ")));
    }
    text
}
