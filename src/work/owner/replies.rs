//! Handling of upstreams' answers to start, stop and renewal orders.

use crate::tables::name::ObjectName;
use crate::work::clock::ClockReading;
use crate::work::model::record::JobPhase;
use crate::work::model::task_ref::TaskRef;
use crate::work::model::upstream::{
    OrderFailure, RenewOrder, RenewReply, RunningTask, StartOrder, StartOutcome, StartRefusal,
    StopOrder,
};
use crate::work::owner::unit_state::{MemberPhase, StopProgress};
use crate::work::owner::work_counts::WorkKind;
use crate::work::owner::{PoolOwner, UpstreamOrder};

/// How long an upstream that refused a start gets no new work, in ms.
const REFUSAL_QUARANTINE_MS: u64 = 2_000;

impl PoolOwner {
    /// Handles the answer to a start order.
    pub fn on_started(&mut self, order: &StartOrder, outcome: StartOutcome) {
        let now_ms = self.now.steady_ms;
        let Some((job, unit, member)) = self.find_member(order.task_key()) else {
            return;
        };
        let task = &order.task;
        let upstream = order.target.upstream.as_str();
        let state = &mut self.jobs[job].units[unit].members[member];
        state.in_flight = false;
        match outcome {
            StartOutcome::Started { clock_ms } => {
                log::info!(
                    job = task.job.as_str(), task:% = task, run = order.run, upstream,
                    took_ms = now_ms.saturating_sub(state.last_order_ms), clock_ms;
                    "owner: a run has started."
                );
                state.phase = MemberPhase::Running;
                state.began_ms = self.arrived_ms;
                self.confirm_member(job, unit, member, clock_ms);
                if !self.jobs[job].phase.is_over() {
                    self.set_phase(job, JobPhase::Running);
                }
            }
            StartOutcome::Refused(refusal) => {
                log::info!(
                    job = task.job.as_str(), task:% = task, run = order.run, upstream,
                    refusal:? = refusal, unanswered_before = state.start_unconfirmed;
                    "owner: a start was refused."
                );
                self.on_refused(order, job, unit, member, refusal);
            }
            StartOutcome::Unknown => {
                log::info!(
                    job = task.job.as_str(), task:% = task, run = order.run, upstream;
                    "owner: a start order got no answer; the upstream is asked for its runs."
                );
                state.start_unconfirmed = true;
                let name = order.target.upstream.clone();
                self.renew_soon(&name);
            }
        }
    }

    fn on_refused(
        &mut self,
        order: &StartOrder,
        job: usize,
        unit: usize,
        member: usize,
        refusal: StartRefusal,
    ) {
        let now_ms = self.now.steady_ms;
        let state = &self.jobs[job].units[unit].members[member];
        let Some(name) = state.upstream.clone() else {
            return;
        };
        let unsure = state.start_unconfirmed;
        match refusal {
            StartRefusal::Fenced => self.on_start_fenced(order, job, unit, member),
            // An earlier copy of the order may have started the run, or may still do so.
            StartRefusal::Late | StartRefusal::Rejected if unsure => self.stop_unit(job, unit),
            StartRefusal::Room | StartRefusal::Unwell if unsure => self.stop_unit(job, unit),
            StartRefusal::Late => self.jobs[job].units[unit].members[member].last_order_ms = 0,
            StartRefusal::Old { clock_ms } => {
                // An earlier copy of the order ran. A renewal answered after this time tells how it
                // ended.
                self.jobs[job].units[unit].members[member].phase = MemberPhase::Running;
                self.confirm_member(job, unit, member, clock_ms);
                self.renew_soon(&name);
            }
            StartRefusal::Room | StartRefusal::Unwell | StartRefusal::Rejected => {
                self.clear_member(job, unit, member);
                self.stop_unit(job, unit);
                if let Some(index) = self.upstream_index(&name) {
                    let upstream = &mut self.upstreams[index];
                    upstream.quarantined_until_ms = now_ms + REFUSAL_QUARANTINE_MS;
                }
            }
        }
    }

    /// Handles the answer to a stop order.
    pub fn on_stopped(&mut self, order: &StopOrder, result: Result<u64, OrderFailure>) {
        let key = (&order.task, order.run, &order.target.upstream);
        let Some((job, unit, member)) = self.find_member(key) else {
            return;
        };
        let now_ms = self.now.steady_ms;
        let state = &mut self.jobs[job].units[unit].members[member];
        state.in_flight = false;
        match result {
            Ok(clock_ms) => {
                // The run is listed as ended once its stop is complete, or was never started. Answers to
                // repeated orders say nothing new.
                if !matches!(state.stop, StopProgress::Answered { .. }) {
                    state.stop = StopProgress::Answered { at_ms: now_ms };
                    self.confirm_member(job, unit, member, clock_ms);
                }
                let name = order.target.upstream.clone();
                self.renew_soon(&name);
            }
            Err(OrderFailure::Fenced) => self.on_fence(&order.target),
            Err(_) => {}
        }
    }

    /// Notes that a member's upstream has confirmed its run, or its stop, at a time on its clock.
    pub(super) fn confirm_member(&mut self, job: usize, unit: usize, member: usize, clock_ms: u64) {
        let state = &self.jobs[job].units[unit].members[member];
        let index = state
            .upstream
            .as_ref()
            .and_then(|name| self.upstream_index(name));
        let renewals = index.map(|index| self.upstreams[index].renewals);
        let state = &mut self.jobs[job].units[unit].members[member];
        state.start_unconfirmed = false;
        state.confirmed_ms = clock_ms;
        state.confirmed_at_renewal = renewals;
        state.unlisted_since_ms = None;
    }

    /// Returns the job, unit and member indexes of a run, if it is the task's current run on that
    /// upstream.
    pub(super) fn find_member(
        &self,
        (task, run, upstream): (&TaskRef, u32, &ObjectName),
    ) -> Option<(usize, usize, usize)> {
        let job = self.job_index(&task.job)?;
        let (unit, member) = self.jobs[job].locate(task)?;
        let state = &self.jobs[job].units[unit];
        let here = state.members[member].upstream.as_ref() == Some(upstream);
        (here && state.run == run).then_some((job, unit, member))
    }

    fn renew_soon(&mut self, name: &ObjectName) {
        if let Some(index) = self.upstream_index(name) {
            self.upstreams[index].next_renewal_ms = 0;
            self.due.touch(index);
        }
    }

    /// Handles the answer to a renewal.
    pub fn on_renewed(&mut self, order: &RenewOrder, result: Result<RenewReply, OrderFailure>) {
        let Some(index) = self.upstream_index(&order.target.upstream) else {
            return;
        };
        self.upstreams[index].renewing = false;
        self.due.touch(index);
        let token = self.upstreams[index]
            .target(self.term)
            .map(|own| own.fencing_token);
        match result {
            // The renewal was sent before the current incarnation was known, so orders meant for
            // the previous one may still arrive after it.
            Ok(_) if token != Some(order.target.fencing_token) => {}
            Ok(reply) => self.reconcile(index, reply),
            Err(OrderFailure::Fenced) => self.on_fence(&order.target),
            Err(failure) => self.on_missed_renewal(index, failure),
        }
    }

    fn on_missed_renewal(&mut self, index: usize, failure: OrderFailure) {
        let now_ms = self.now.steady_ms;
        let upstream = &mut self.upstreams[index];
        // No failure shows that the upstream is over, so its leases must run out. One that is cut off may
        // refuse connections, lose its entry, and have its address used by another process.
        if upstream.missed_renewals == 0 {
            log::warn!(
                upstream = upstream.name.as_str(), failure:? = failure,
                lease_over_in_ms = upstream.leases_expire_ms.saturating_sub(now_ms);
                "owner: an upstream is lost."
            );
        }
        upstream.missed_renewals += 1;
        metrics::counter!("hemlockramp_renewals_unanswered_total").increment(1);
        // The last acknowledgement of recorded ends may have been lost.
        upstream.acked_end = 0;
        if upstream.held.is_empty() && !upstream.listed {
            upstream.acked_end = upstream.recorded_end;
        }
        self.renew_later(index);
    }

    fn reconcile(&mut self, index: usize, reply: RenewReply) {
        self.counts.add(WorkKind::Renewal, 1);
        let now_ms = self.now.steady_ms;
        let name = self.upstreams[index].name.clone();
        let arrived_ms = self.arrived_ms;
        let reading = ClockReading {
            shown_ms: reply.clock_ms,
            arrived_ms,
        };
        let incarnation = self.upstreams[index].incarnation;
        let born_earlier = reply.incarnation != 0 && reply.incarnation < incarnation;
        if born_earlier && !self.upstreams[index].started_later(reading) {
            self.renew_later(index);
            return;
        }
        if born_earlier || reply.incarnation > incarnation {
            self.on_restart(&name, reply.incarnation, reading);
            if incarnation != 0 {
                // This renewal still carried the old fencing token.
                return;
            }
        }
        let lease_max_ms = self.timing.lease_max_ms;
        let upstream = &mut self.upstreams[index];
        if !upstream.reconciled && upstream.restarts > 0 {
            upstream.allow_for_misdirected_leases(now_ms, lease_max_ms);
        }
        let answers_again = upstream.missed_renewals > 0;
        if answers_again {
            log::info!(upstream = name.as_str(); "owner: an upstream answers again; its leases are renewed.");
            self.placement_due = true;
        }
        self.placement_due |= !upstream.reconciled;
        upstream.reconciled = true;
        upstream.gave_up_runs = false;
        upstream.answered_ms = arrived_ms;
        upstream.missed_renewals = 0;
        upstream.clock = Some(upstream.clock.map_or(reading, |old| old.later(reading)));
        upstream.next_renewal_ms = now_ms;
        let incarnation = upstream.incarnation;
        if answers_again {
            self.refute_losses(&name, incarnation);
        }
        self.reconcile_running(&name, &reply);
        let pending = self.upstreams[index].end_batch;
        self.reconcile_ended(index, &reply.ended);
        if self.upstreams[index].end_batch != pending {
            self.await_record(index);
        }
        self.reconcile_missing(&name, &reply);
    }

    /// Returns the number of a task's newest run and the upstream that it is on, for the logs; 0 and
    /// "" if there is none.
    fn current_run(&self, task: &TaskRef) -> (u32, &str) {
        let job = self.job_index(&task.job).map(|index| &self.jobs[index]);
        let Some((job, (unit, member))) = job.and_then(|job| Some((job, job.locate(task)?))) else {
            return (0, "");
        };
        let state = &job.units[unit];
        let upstream = state.members[member].upstream.as_ref();
        (state.run, upstream.map_or("", ObjectName::as_str))
    }

    /// Stops a run that is not the current one of its task, such as one that started late.
    pub(super) fn stop_orphaned_run(&mut self, name: &ObjectName, running: &RunningTask) {
        let target = self
            .upstream_index(name)
            .and_then(|index| self.upstreams[index].target(self.term));
        if let Some(target) = target {
            let (current_run, current_upstream) = self.current_run(&running.task);
            log::info!(
                job = running.task.job.as_str(), task:% = running.task, run = running.run,
                upstream = name.as_str(), current_run, current_upstream;
                "owner: an orphaned run is stopped."
            );
            self.ready.push(UpstreamOrder::Stop(StopOrder {
                target,
                task: running.task.clone(),
                run: running.run,
            }));
        }
    }
}

impl StartOrder {
    pub(super) fn task_key(&self) -> (&TaskRef, u32, &ObjectName) {
        (&self.task, self.run, &self.target.upstream)
    }
}
