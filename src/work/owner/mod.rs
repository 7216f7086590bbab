//! State machine of the pool's owner: places tasks, tracks upstreams and issues orders. It does no
//! I/O: it takes events and returns orders.
//!
//! No run is started, and no end acknowledged, before its record is in the store. Rows are collected
//! into batches, and both wait until their batch is durable.

pub mod cancel;
pub mod crash_history;
mod crashes;
mod departures;
mod due_upstreams;
mod ends;
pub mod failure_ledger;
pub mod failure_standing;
mod fencing;
pub mod job_state;
mod loss_proof;
mod placed_speed;
mod placement_pass;
mod placement_pool;
mod placement_round;
pub mod planning;
mod preemption;
mod put_off;
mod reconcile;
mod recording;
pub mod renewals;
pub mod replies;
mod reports;
mod restore;
mod row_records;
mod run_ends;
mod running_work;
mod speeds;
pub mod start_gate;
pub mod step_bias;
pub mod step_failures;
mod step_search;
pub mod task_rows;
mod team_usage;
mod timing;
pub mod unit_state;
pub mod upstream_failures;
pub mod upstream_state;
mod waiting;
pub mod work_counts;

pub use recording::RowBatch;
pub use timing::OwnerTiming;

use std::collections::VecDeque;
use std::rc::Rc;

use crate::tables::name::ObjectName;
use crate::work::clock::{HostTime, drift_safe_wait_ms};
use crate::work::model::config::WorkConfig;
use crate::work::model::evacuation::EvacuatedDomains;
use crate::work::model::record::JobPhase;
use crate::work::model::stream::KeyedValue;
use crate::work::model::upstream::{RenewOrder, StartOrder, StopOrder};
use crate::work::owner::due_upstreams::DueUpstreams;
use crate::work::owner::failure_ledger::FailureLedger;
use crate::work::owner::job_state::JobState;
use crate::work::owner::loss_proof::LossProof;
use crate::work::owner::placement_pass::PlacementPass;
use crate::work::owner::unit_state::{MemberPhase, UnitPhase};
use crate::work::owner::upstream_state::{LEASE_EXPIRY_MARGIN_MS, UpstreamState};
use crate::work::owner::work_counts::WorkCounts;
use crate::work::placing::speed::table::SpeedTable;

/// Longest time between two placement rounds, in ms.
const PLACEMENT_INTERVAL_MAX_MS: u64 = 250;
/// Shortest time between two placement rounds, in ms; batches bursts of events.
const PLACEMENT_INTERVAL_MIN_MS: u64 = 8;

/// An order to an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UpstreamOrder {
    /// Starts a run.
    Start(StartOrder),
    /// Stops a run.
    Stop(StopOrder),
    /// Renews the lease and asks which runs the upstream has.
    Renew(RenewOrder),
}

struct PendingStart {
    batch: u64,
    order: StartOrder,
}

/// An upstream with handled ends, and the batch that records them.
struct PendingEnds {
    batch: u64,
    upstream: ObjectName,
}

/// State of the host that owns the pool.
pub struct PoolOwner {
    term: u64,
    timing: OwnerTiming,
    config: Rc<WorkConfig>,
    evacuated: EvacuatedDomains,
    jobs: Vec<JobState>,
    upstreams: Vec<UpstreamState>,
    failures: FailureLedger,
    due: DueUpstreams,
    /// Number of upstreams that have completed a run in this term.
    proven_upstreams: usize,
    pending_starts: VecDeque<PendingStart>,
    /// Sorted by batch.
    pending_ends: VecDeque<PendingEnds>,
    ready: Vec<UpstreamOrder>,
    batch: u64,
    phases: Vec<(ObjectName, JobPhase)>,
    /// Keys of the stored rows of finished jobs.
    finished: Vec<String>,
    /// Jobs that ended in this term and are still in the stream of jobs, sorted by id.
    ended: Vec<ObjectName>,
    /// Those of them that are not yet in a batch.
    newly_ended: Vec<ObjectName>,
    final_rows: Vec<KeyedValue>,
    rows_to_drop: Vec<String>,
    now: HostTime,
    /// When the answer or report in hand arrived, steady ms; earlier than `now` if it had to wait.
    arrived_ms: u64,
    placement_due: bool,
    placement_pass: PlacementPass,
    /// Time of the last placement round, steady ms.
    last_placement_ms: u64,
    /// Time of the next scan of all members for unanswered orders, steady ms.
    next_order_scan_ms: u64,
    /// Time of the next look at the upstreams that leave, steady ms.
    next_departure_ms: u64,
    superseded: bool,
    speeds: SpeedTable,
    /// Earliest time of the next stored speeds, steady ms.
    next_speed_rows_ms: u64,
    /// Latest time until which leases granted by earlier owners may last, steady ms.
    prior_leases_expire_ms: u64,
    counts: WorkCounts,
}

impl PoolOwner {
    /// Creates the owner for a term.
    pub fn new(term: u64, timing: OwnerTiming, config: Rc<WorkConfig>, now: HostTime) -> Self {
        let prior_leases_ms = timing.ownership_timeout_ms
            + drift_safe_wait_ms(timing.lease_max_ms)
            + LEASE_EXPIRY_MARGIN_MS;
        Self {
            term,
            timing,
            config,
            evacuated: EvacuatedDomains::default(),
            jobs: Vec::new(),
            upstreams: Vec::new(),
            failures: FailureLedger::default(),
            due: DueUpstreams::default(),
            proven_upstreams: 0,
            pending_starts: VecDeque::new(),
            pending_ends: VecDeque::new(),
            ready: Vec::new(),
            batch: 1,
            phases: Vec::new(),
            finished: Vec::new(),
            ended: Vec::new(),
            newly_ended: Vec::new(),
            final_rows: Vec::new(),
            rows_to_drop: Vec::new(),
            now,
            arrived_ms: now.steady_ms,
            placement_due: true,
            placement_pass: PlacementPass::default(),
            last_placement_ms: 0,
            next_order_scan_ms: 0,
            next_departure_ms: 0,
            superseded: false,
            speeds: SpeedTable::default(),
            next_speed_rows_ms: 0,
            prior_leases_expire_ms: now.steady_ms + prior_leases_ms,
            counts: WorkCounts::default(),
        }
    }

    /// Returns the owner's term.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Returns whether an upstream has accepted the fencing token of a later owner.
    pub fn is_superseded(&self) -> bool {
        self.superseded
    }

    /// Returns the unfinished jobs, and finished ones that still hold upstreams.
    pub fn jobs(&self) -> &[JobState] {
        &self.jobs
    }

    /// Returns the upstreams, sorted by name.
    pub fn upstreams(&self) -> &[UpstreamState] {
        &self.upstreams
    }

    /// Returns the work done in this term.
    pub fn counts(&self) -> &WorkCounts {
        &self.counts
    }

    /// Returns how many upstreams that may hold tasks have not answered this owner yet.
    pub fn unreconciled(&self) -> usize {
        let open = |upstream: &&UpstreamState| !upstream.reconciled && !upstream.held.is_empty();
        self.upstreams.iter().filter(open).count()
    }

    /// Sets the time at which the following events happen.
    pub fn set_time(&mut self, now: HostTime) {
        self.now = now;
        self.arrived_ms = now.steady_ms;
    }

    /// Sets the time at which the following answer is handled, and when it arrived, steady ms. What
    /// the answer shows held no later than at its arrival.
    pub fn set_answer_time(&mut self, now: HostTime, arrived_ms: u64) {
        self.now = now;
        self.arrived_ms = arrived_ms.min(now.steady_ms);
    }

    /// Applies a new configuration.
    pub fn set_config(&mut self, config: Rc<WorkConfig>) {
        self.config = config;
        self.placement_due = true;
    }

    /// Sets the evacuated failure domains: no start goes there from now on, however old its decision.
    pub fn set_evacuated(&mut self, evacuated: EvacuatedDomains) {
        self.evacuated = evacuated;
        self.placement_due = true;
    }

    fn stop_job(&mut self, job: usize) {
        for unit in 0..self.jobs[job].units.len() {
            self.stop_unit(job, unit);
        }
    }

    fn job_index(&self, id: &ObjectName) -> Option<usize> {
        self.jobs.binary_search_by(|job| job.id.cmp(id)).ok()
    }

    fn upstream_index(&self, name: &ObjectName) -> Option<usize> {
        let found = self.upstreams.binary_search_by(|one| one.name.cmp(name));
        found.ok()
    }

    fn upstream_mut(&mut self, name: &ObjectName) -> &mut UpstreamState {
        let index = match self.upstreams.binary_search_by(|one| one.name.cmp(name)) {
            Ok(index) => index,
            Err(index) => {
                self.upstreams
                    .insert(index, UpstreamState::new(name.clone()));
                self.due.reset();
                index
            }
        };
        self.due.touch(index);
        &mut self.upstreams[index]
    }

    /// Releases a member from its upstream.
    fn clear_member(&mut self, job: usize, unit: usize, member: usize) {
        let id = self.jobs[job].id.clone();
        let state = &mut self.jobs[job].units[unit].members[member];
        let upstream = state.upstream.take();
        state.phase = MemberPhase::Unplaced;
        state.start_unconfirmed = false;
        state.in_flight = false;
        state.percent = 0;
        self.jobs[job].rows.mark_member(unit, member);
        self.placement_due = true;
        if let Some(name) = upstream
            && let Some(index) = self.upstream_index(&name)
        {
            self.upstreams[index].release(&id, unit, member);
        }
    }

    /// Handles a member that certainly no longer runs but reported no end.
    fn member_lost(&mut self, job: usize, unit: usize, member: usize, proof: LossProof) {
        let task = self.jobs[job].task(unit, member);
        let run = self.jobs[job].units[unit].run;
        let state = &self.jobs[job].units[unit].members[member];
        let upstream = state.upstream.as_ref().map_or("", ObjectName::as_str);
        log::info!(
            job = task.job.as_str(), task:% = task, run, reason = proof.reason(), proof:? = proof,
            upstream, born = state.incarnation, started = state.phase == MemberPhase::Running,
            order_age_ms = self.now.steady_ms.saturating_sub(state.last_order_ms);
            "owner: a run is lost."
        );
        metrics::counter!("hemlockramp_runs_lost_total").increment(1);
        self.note_lost_run(job, unit, member);
        self.clear_member(job, unit, member);
        self.stop_unit(job, unit);
        self.report_suspects(job);
    }

    /// Stops the remaining members of a unit's run; the unit waits again once none is placed.
    fn stop_unit(&mut self, job: usize, unit: usize) {
        if self.jobs[job].units[unit].phase == UnitPhase::Active {
            self.jobs[job].set_unit_phase(unit, UnitPhase::Stopping);
            self.jobs[job].rows.mark_unit(unit);
            self.jobs[job].orders_due = true;
        }
        self.requeue_unit(job, unit);
    }

    fn requeue_unit(&mut self, job: usize, unit: usize) {
        let now_ms = self.now.steady_ms;
        let state = &mut self.jobs[job].units[unit];
        if state.phase == UnitPhase::Stopping && state.is_clear() {
            state.since_ms = now_ms;
            self.jobs[job].set_unit_phase(unit, UnitPhase::Waiting);
            self.jobs[job].rows.mark_unit(unit);
            self.placement_due = true;
        }
    }

    /// Sets a job's phase unless the job is already over.
    fn set_phase(&mut self, job: usize, phase: JobPhase) {
        let state = &mut self.jobs[job];
        if state.phase == phase || state.phase.is_over() {
            return;
        }
        state.phase = phase;
        let waited_ms = self.now.wall_ms.saturating_sub(state.record.accepted_ms);
        log::info!(
            job = state.id.as_str(), phase:? = phase, after_ms = waited_ms,
            queue = state.record.queue.as_str();
            "owner: a job has reached a phase."
        );
        if phase.is_over() {
            self.learn_queue_bias(job);
            self.stop_job(job);
        }
    }

    /// Does everything that is due. Call after events and at least every 100 ms.
    pub fn tick(&mut self, now: HostTime) {
        self.set_time(now);
        let mut due = Vec::new();
        self.take_due(&mut due);
        self.expire_silent_leases(&due);
        self.leave_departing();
        self.apply_blame();
        let passed_ms = now.steady_ms.saturating_sub(self.last_placement_ms);
        self.keep_speeds();
        if passed_ms >= PLACEMENT_INTERVAL_MAX_MS
            || (self.placement_due && passed_ms >= PLACEMENT_INTERVAL_MIN_MS)
        {
            self.placement_due = false;
            self.last_placement_ms = now.steady_ms;
            self.place_waiting_units();
        }
        self.send_due_orders();
        self.take_due(&mut due);
        self.renew_upstreams(&due);
        self.collect_phase_changes();
    }

    /// Returns the orders that may be sent now.
    pub fn take_orders(&mut self) -> Vec<UpstreamOrder> {
        std::mem::take(&mut self.ready)
    }
}
