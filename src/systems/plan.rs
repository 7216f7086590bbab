//! Plans placements, evictions, rejections and reservations for the waiting jobs.

use crate::journal::fold::JournalEntry;
use crate::journal::record::{JournalRecord, PlaceRecord, RecordBody, RecordId, RejectRecord};
use crate::journal::state::FoldState;
use crate::systems::borrow::{ReservationTable, choose_borrowed, reserve_cells};
use crate::systems::capacity::CapacityTable;
use crate::systems::policy::PolicySettings;
use crate::systems::preemption::{choose_evictions, choose_guaranteed};
use crate::systems::queue_order::order_waiting;
use crate::tables::audit::AuditTable;
use crate::tables::job::{JobRow, JobSpec};
use crate::tables::key::KeyTable;
use crate::tables::name::ObjectName;

/// Most reservations in one plan.
const RESERVATIONS_MAX: usize = 4;

/// A plan, and how many searches it took.
#[derive(Clone, Debug, Default)]
pub struct PlanResult {
    /// Records to append to the journal.
    pub records: Vec<RecordBody>,
    /// Waiting jobs for which cells were searched.
    pub searched: usize,
}

/// A search that found no cells; gangs at least as large need no search.
struct FailedSearch {
    team: ObjectName,
    domain: Option<ObjectName>,
    level: usize,
    count: u32,
    guaranteed: bool,
}

/// Returns the records that place or reject waiting jobs, evict work for them, and put
/// workers whose quarantine is over on probation.
///
/// `now_ms` is the current log time, which advances even when no record is appended.
pub fn plan(state: &FoldState, now_ms: u64, policy: &PolicySettings) -> PlanResult {
    let mut result = PlanResult {
        records: probation_records(state, now_ms),
        searched: 0,
    };
    if state.jobs.waiting().next().is_some() {
        Planner::new(state, now_ms, policy).run(&mut result);
    }
    result
}

fn probation_records(state: &FoldState, now_ms: u64) -> Vec<RecordBody> {
    let quarantined = state
        .racks
        .workers()
        .filter(|(_, worker)| worker.quarantined);
    let expired = quarantined.filter(|(_, worker)| worker.quarantine_until_ms <= now_ms);
    expired
        .map(|(slot, _)| RecordBody::Probation(slot))
        .collect()
}

struct Planner<'a> {
    /// Copy of the state into which the planned records are folded.
    scratch: FoldState,
    policy: &'a PolicySettings,
    capacity: CapacityTable,
    reserved: ReservationTable,
    failed: Vec<FailedSearch>,
    planned: usize,
    seq: u64,
}

impl<'a> Planner<'a> {
    fn new(state: &FoldState, now_ms: u64, policy: &'a PolicySettings) -> Self {
        let scratch = FoldState {
            audit: AuditTable::default(),
            keys: KeyTable::default(),
            now_ms: now_ms.max(state.now_ms),
            ..state.clone()
        };
        Self {
            capacity: CapacityTable::new(state),
            scratch,
            policy,
            reserved: ReservationTable::default(),
            failed: Vec::new(),
            planned: 0,
            seq: 0,
        }
    }

    fn run(mut self, result: &mut PlanResult) {
        for id in order_waiting(&self.scratch, self.policy) {
            if self.planned >= self.policy.placements_per_tick {
                break;
            }
            let Some(job) = self.scratch.jobs.find(&id).cloned() else {
                continue;
            };
            self.try_job(&job, result);
        }
    }

    fn try_job(&mut self, job: &JobRow, result: &mut PlanResult) {
        if self.is_over_quota(&job.spec) {
            return;
        }
        if let Some(reason) = self.infeasible_reason(job) {
            let job = job.spec.id.clone();
            self.accept(RecordBody::Reject(RejectRecord { job, reason }), result);
            return;
        }
        // Urgent jobs are searched for all the same, since they may evict other work.
        let known_to_fail = !job.spec.urgent
            && self.has_failed(&job.spec, true)
            && self.has_failed(&job.spec, false);
        if known_to_fail {
            self.reserve(job);
            return;
        }
        result.searched += 1;
        if let Some(place) = self.search(job) {
            self.accept(RecordBody::Place(place), result);
        } else {
            self.evict_for(job, result);
            self.reserve(job);
        }
    }

    /// Evicts borrowed work that is not urgent for an urgent job beyond its team's guarantee.
    fn evict_for(&mut self, job: &JobRow, result: &mut PlanResult) {
        let team = self.scratch.teams.find(&job.spec.team);
        let may_borrow = team.is_some_and(|row| row.spec.may_borrow);
        if !job.spec.urgent || !may_borrow {
            return;
        }
        if let Some(evict) = choose_evictions(&self.scratch, job) {
            self.accept(RecordBody::Evict(evict), result);
        }
    }

    /// Tries free cells first, as borrowed work, and then the guarantee, which may evict
    /// borrowed work. Urgent jobs try their guarantee first.
    fn search(&mut self, job: &JobRow) -> Option<PlaceRecord> {
        if job.spec.urgent
            && let Some(claim) = self.search_guaranteed(job)
        {
            return Some(claim);
        }
        self.search_borrowed(job)
            .or_else(|| self.search_guaranteed(job))
    }

    fn search_guaranteed(&mut self, job: &JobRow) -> Option<PlaceRecord> {
        if self.has_failed(&job.spec, true) {
            return None;
        }
        let place = choose_guaranteed(&self.scratch, job);
        if place.is_none() {
            self.record_failed(&job.spec, true);
        }
        place
    }

    fn search_borrowed(&mut self, job: &JobRow) -> Option<PlaceRecord> {
        let team = self.scratch.teams.find(&job.spec.team)?;
        if !team.spec.may_borrow || self.has_failed(&job.spec, false) {
            return None;
        }
        let cells = choose_borrowed(&self.scratch, job, &self.reserved, self.policy);
        if cells.is_none() {
            self.record_failed(&job.spec, false);
        }
        Some(PlaceRecord {
            job: job.spec.id.clone(),
            attempt: job.attempts + 1,
            cells: cells?,
            guaranteed: false,
            bind: Vec::new(),
            victims: Vec::new(),
        })
    }

    /// Folds a record into the copy and adds it to the plan, unless the fold refuses it.
    fn accept(&mut self, body: RecordBody, result: &mut PlanResult) {
        self.seq += 1;
        let entry = JournalEntry {
            offset: self.scratch.next_offset,
            at_ms: self.scratch.now_ms,
            record: Some(JournalRecord {
                id: RecordId {
                    boot: u64::MAX,
                    seq: self.seq,
                },
                host: planner_name(),
                body: body.clone(),
            }),
        };
        let folded = self.scratch.apply(&entry);
        if folded.verdict == crate::journal::fold::FoldVerdict::Accepted {
            self.planned += 1;
            result.records.push(body);
        } else {
            log::warn!(
                "plan: the fold refused a planned record, which is left out: {:?}.",
                folded.verdict
            );
        }
    }

    fn is_over_quota(&self, spec: &JobSpec) -> bool {
        let team = self.scratch.teams.find(&spec.team);
        let quota = team.map_or(0, |row| row.spec.quota_accelerators);
        self.scratch.team_accelerators(&spec.team) + spec.accelerators() > quota
    }

    fn has_failed(&self, spec: &JobSpec, guaranteed: bool) -> bool {
        self.failed.iter().any(|failed| {
            failed.guaranteed == guaranteed
                && (!guaranteed || failed.team == spec.team)
                && (failed.domain.is_none() || failed.domain == spec.domain)
                && failed.level <= spec.shape.level()
                && failed.count <= spec.count
        })
    }

    fn record_failed(&mut self, spec: &JobSpec, guaranteed: bool) {
        self.failed.push(FailedSearch {
            team: spec.team.clone(),
            domain: spec.domain.clone(),
            level: spec.shape.level(),
            count: spec.count,
            guaranteed,
        });
    }

    fn reserve(&mut self, job: &JobRow) {
        let waited_ms = self.scratch.now_ms.saturating_sub(job.submitted_ms);
        let due = job.spec.urgent || waited_ms >= self.policy.reservation_ms;
        let may_borrow = self
            .scratch
            .teams
            .find(&job.spec.team)
            .is_some_and(|row| row.spec.may_borrow);
        if due && may_borrow && self.reserved.rows.len() < RESERVATIONS_MAX {
            self.reserved.rows.extend(reserve_cells(&self.scratch, job));
        }
    }

    /// Returns why a gang can never run; `None` until it has waited `reject_after_ms`, so
    /// that the topology has had time to become known.
    fn infeasible_reason(&self, job: &JobRow) -> Option<String> {
        let waited_ms = self.scratch.now_ms.saturating_sub(job.submitted_ms);
        if waited_ms < self.policy.reject_after_ms {
            return None;
        }
        self.capacity.infeasible_reason(&self.scratch, &job.spec)
    }
}

fn planner_name() -> ObjectName {
    ObjectName::try_from("planner").expect("a constant name is valid")
}
