//! Lease renewal, lease expiry and order delivery.
//!
//! Upstreams can be partitioned or freeze, and keep running their tasks. A silent upstream's leases
//! are not renewed, and its tasks run elsewhere only once the leases are over on the upstream's
//! own, possibly slower clock.

use crate::work::model::upstream::{RenewOrder, StartOrder, StopOrder};
use crate::work::owner::loss_proof::LossProof;
use crate::work::owner::start_gate::{
    StartConditions, StartObstacle, StartStage, StartVerdict, start_verdict,
};
use crate::work::owner::unit_state::{MemberPhase, StopProgress, UnitPhase};
use crate::work::owner::work_counts::WorkKind;
use crate::work::owner::{PendingStart, PoolOwner, UpstreamOrder};

/// How long an upstream may hold a renewal open until a run ends, in ms.
const RENEW_WAIT_MS: u64 = 1_500;
/// Pause before a renewal that got no answer is repeated, in ms.
const RENEW_RETRY_MS: u64 = 150;
/// Same for an upstream that holds nothing, so that no lease depends on it, in ms.
const IDLE_RENEW_RETRY_MS: u64 = 600;
/// Pause between renewals while reported ends wait to be recorded, in ms.
pub(super) const UNRECORDED_RENEW_PAUSE_MS: u64 = 500;
/// Time between two scans of all members for unanswered orders, in ms.
const ORDER_SCAN_INTERVAL_MS: u64 = 150;
/// Pause before an order that got no answer is sent again, in ms.
const ORDER_RESEND_MS: u64 = 700;

impl PoolOwner {
    /// Adds the upstreams for which something may be due to a sorted list.
    pub(super) fn take_due(&mut self, due: &mut Vec<usize>) {
        let count = self.upstreams.len();
        self.due.take_into(due, self.now.steady_ms, count);
    }

    /// Gives up the tasks of silent upstreams whose leases are over.
    pub(super) fn expire_silent_leases(&mut self, due: &[usize]) {
        self.counts.add(WorkKind::ScanStep, due.len());
        let now_ms = self.now.steady_ms;
        for &index in due {
            let upstream = &self.upstreams[index];
            if upstream.expiry_ms().is_none_or(|at_ms| at_ms > now_ms) {
                continue;
            }
            let name = upstream.name.clone();
            let since_ms = now_ms - upstream.leases_expire_ms;
            log::warn!(
                upstream = name.as_str(), tasks = upstream.held.len(), lapsed_for_ms = since_ms,
                answer_age_ms = now_ms.saturating_sub(upstream.answered_ms), term = self.term,
                missed = upstream.missed_renewals, born = upstream.incarnation;
                "owner: leases of a silent upstream are over."
            );
            for task in upstream.held.clone() {
                if let Some(job) = self.job_index(&task.job) {
                    let proof = LossProof::LeaseOver { since_ms };
                    self.member_lost(job, task.unit, task.member, proof);
                }
            }
            // What is left belongs to jobs that no longer exist.
            self.upstreams[index].held.clear();
            self.upstreams[index].gave_up_runs = true;
            self.upstreams[index].used = Default::default();
        }
    }

    /// Sends the renewals that are due, and notes when to look at these upstreams again.
    pub(super) fn renew_upstreams(&mut self, due: &[usize]) {
        self.counts.add(WorkKind::ScanStep, due.len());
        let now_ms = self.now.steady_ms;
        for &index in due {
            let renewal_ms = self.upstreams[index].renewal_ms();
            if renewal_ms.is_some_and(|at_ms| at_ms <= now_ms) {
                self.renew(index);
            }
            if let Some(at_ms) = self.upstreams[index].next_due_ms() {
                self.due.arm(index, at_ms);
            }
        }
    }

    fn renew(&mut self, index: usize) {
        let now_ms = self.now.steady_ms;
        let upstream = &mut self.upstreams[index];
        let Some(target) = upstream.target(self.term) else {
            return;
        };
        let acked_end = upstream.end_to_ack(now_ms);
        let ack_is_delayed = acked_end == 0 && upstream.recorded_end > upstream.acked_end;
        // Ends that are not yet recorded would be listed again at once, so they end the long
        // poll. A delayed acknowledgement follows the answer.
        let may_long_poll = upstream.reconciled
            && upstream.missed_renewals == 0
            && upstream.end_batch.is_none()
            && !ack_is_delayed;
        let until_recheck_ms = upstream
            .recheck_ms
            .map_or(RENEW_WAIT_MS, |at_ms| at_ms.saturating_sub(now_ms));
        let wait_ms = match may_long_poll && !upstream.held.is_empty() {
            true => RENEW_WAIT_MS.min(until_recheck_ms),
            false => 0,
        };
        // The leases of a silent upstream must expire; it is only probed.
        let lease_until_ms = match upstream.missed_renewals {
            0 => upstream.grant_lease(now_ms, &self.timing),
            _ => None,
        };
        upstream.renewing = true;
        upstream.renewals += 1;
        upstream.renewal_sent_ms = now_ms;
        upstream.acked_end = upstream.acked_end.max(acked_end);
        self.ready.push(UpstreamOrder::Renew(RenewOrder {
            target,
            lease_until_ms,
            recorded_up_to: acked_end,
            wait_ms,
        }));
    }

    /// Schedules the next renewal of an upstream that gave no answer.
    pub(super) fn renew_later(&mut self, upstream: usize) {
        let upstream = &mut self.upstreams[upstream];
        let pause_ms = match upstream.held.is_empty() {
            true => IDLE_RENEW_RETRY_MS,
            false => RENEW_RETRY_MS,
        };
        upstream.next_renewal_ms = self.now.steady_ms + pause_ms;
    }

    /// Sends orders to members that should start or stop.
    pub(super) fn send_due_orders(&mut self) {
        let all = self.now.steady_ms >= self.next_order_scan_ms;
        if all {
            self.next_order_scan_ms = self.now.steady_ms + ORDER_SCAN_INTERVAL_MS;
        }
        for job in 0..self.jobs.len() {
            if !std::mem::take(&mut self.jobs[job].orders_due) && !all {
                continue;
            }
            self.counts
                .add(WorkKind::ScanStep, self.jobs[job].units.len());
            for unit in 0..self.jobs[job].units.len() {
                let phase = self.jobs[job].units[unit].phase;
                if matches!(phase, UnitPhase::Waiting | UnitPhase::Done) {
                    continue;
                }
                for member in 0..self.jobs[job].units[unit].members.len() {
                    self.send_due_order(job, unit, member);
                }
            }
        }
    }

    fn send_due_order(&mut self, job: usize, unit: usize, member: usize) {
        let now_ms = self.now.steady_ms;
        let state = &self.jobs[job].units[unit].members[member];
        if state.in_flight || state.phase == MemberPhase::Unplaced {
            return;
        }
        let phase = self.jobs[job].units[unit].phase;
        let resend_due = now_ms.saturating_sub(state.last_order_ms) >= ORDER_RESEND_MS;
        // The first stop order does not wait, however new the run is.
        let stop_due = now_ms.saturating_sub(state.stop_sent_ms) >= ORDER_RESEND_MS;
        match (phase, state.phase) {
            (UnitPhase::Active, MemberPhase::Planned) => self.send_start(job, unit, member, true),
            (UnitPhase::Active, MemberPhase::Sent) if resend_due => {
                self.send_start(job, unit, member, false);
            }
            (UnitPhase::Stopping, MemberPhase::Planned) => {
                self.drop_unsent_start(job, unit, member);
                self.requeue_unit(job, unit);
            }
            (UnitPhase::Stopping, _) if stop_due => {
                self.send_stop(job, unit, member);
            }
            _ => {}
        }
    }

    fn send_start(&mut self, job: usize, unit: usize, member: usize, awaits_record: bool) {
        let now_ms = self.now.steady_ms;
        let Some(index) = self.jobs[job].units[unit].members[member]
            .upstream
            .as_ref()
            .and_then(|name| self.upstream_index(name))
        else {
            return;
        };
        if !awaits_record && !self.passes_repeat(job, unit, member, index) {
            return;
        }
        let state = &self.jobs[job].units[unit];
        let upstream = &mut self.upstreams[index];
        let Some(target) = upstream.target(self.term) else {
            return;
        };
        let Some(lease_until_ms) = upstream.grant_lease(now_ms, &self.timing) else {
            return;
        };
        let order = StartOrder {
            target,
            task: self.jobs[job].task(unit, member),
            run: state.run,
            payload: self.jobs[job].record.spec.payload.clone(),
            checkpoint: state.resumed.clone(),
            lease_until_ms,
        };
        let state = &mut self.jobs[job].units[unit].members[member];
        state.phase = MemberPhase::Sent;
        state.in_flight = true;
        state.last_order_ms = now_ms;
        if awaits_record {
            let batch = self.batch;
            self.pending_starts.push_back(PendingStart { batch, order });
        } else {
            self.ready.push(UpstreamOrder::Start(order));
        }
    }

    /// Returns whether a start that may have been sent goes out again. The run of one that must not is
    /// stopped: an earlier copy of the order may have arrived, or may still arrive.
    fn passes_repeat(&mut self, job: usize, unit: usize, member: usize, index: usize) -> bool {
        let state = &self.jobs[job].units[unit].members[member];
        let upstream = &self.upstreams[index];
        let conditions = StartConditions {
            other_life: state.incarnation != 0 && state.incarnation != upstream.incarnation,
            ..upstream.start_conditions(self.now.steady_ms, &self.evacuated)
        };
        match start_verdict(StartStage::Repeat, &conditions) {
            StartVerdict::Pass => true,
            StartVerdict::Wait(_) => false,
            StartVerdict::Withhold(obstacle) => {
                self.log_withheld(job, unit, member, obstacle);
                self.stop_unit(job, unit);
                false
            }
        }
    }

    /// Sends a start whose record is in the store, unless the gate withholds it by now.
    pub(super) fn release_start(&mut self, mut order: StartOrder) {
        let Some((job, unit, member)) = self.find_member(order.task_key()) else {
            return;
        };
        let index = self.upstream_index(&order.target.upstream);
        let now_ms = self.now.steady_ms;
        let upstream = index.map(|index| &self.upstreams[index]);
        let conditions = StartConditions {
            unwanted: self.jobs[job].units[unit].phase != UnitPhase::Active,
            other_life: !self.has_newest_token(&order.target),
            ..upstream.map_or_else(StartConditions::default, |upstream| {
                upstream.start_conditions(now_ms, &self.evacuated)
            })
        };
        let verdict = start_verdict(StartStage::Recorded, &conditions);
        if let StartVerdict::Wait(obstacle) | StartVerdict::Withhold(obstacle) = verdict {
            self.log_withheld(job, unit, member, obstacle);
            self.clear_member(job, unit, member);
            self.stop_unit(job, unit);
            return;
        }
        let timing = self.timing;
        let lease = index.and_then(|index| self.upstreams[index].grant_lease(now_ms, &timing));
        // Recording may have taken long, so the lease starts now.
        order.lease_until_ms = lease.unwrap_or(order.lease_until_ms);
        self.jobs[job].units[unit].members[member].last_order_ms = now_ms;
        self.ready.push(UpstreamOrder::Start(order));
    }

    /// Logs and counts a start that the gate withholds.
    fn log_withheld(&self, job: usize, unit: usize, member: usize, obstacle: StartObstacle) {
        let task = self.jobs[job].task(unit, member);
        let state = &self.jobs[job].units[unit];
        let upstream = state.members[member].upstream.as_ref();
        let reason = obstacle.label();
        log::info!(
            job = task.job.as_str(), task:% = task, run = state.run, reason,
            upstream = upstream.map_or("", |name| name.as_str()), phase:? = state.phase;
            "owner: a start is withheld."
        );
        metrics::counter!("hemlockramp_starts_withheld_total", "reason" => reason).increment(1);
    }

    /// Takes a member whose start order has not been sent off its upstream.
    fn drop_unsent_start(&mut self, job: usize, unit: usize, member: usize) {
        let task = self.jobs[job].task(unit, member);
        let state = &self.jobs[job].units[unit];
        let upstream = state.members[member].upstream.as_ref();
        log::info!(
            job = task.job.as_str(), task:% = task, run = state.run,
            upstream = upstream.map_or("", |name| name.as_str()), phase:? = state.phase;
            "owner: a start is dropped before it is sent."
        );
        self.clear_member(job, unit, member);
    }

    fn send_stop(&mut self, job: usize, unit: usize, member: usize) {
        let now_ms = self.now.steady_ms;
        let state = &self.jobs[job].units[unit];
        let target = state.members[member]
            .upstream
            .as_ref()
            .and_then(|name| self.upstream_index(name))
            .and_then(|index| self.upstreams[index].target(self.term));
        let Some(target) = target else { return };
        let order = StopOrder {
            target,
            task: self.jobs[job].task(unit, member),
            run: state.run,
        };
        let state = &mut self.jobs[job].units[unit].members[member];
        state.in_flight = true;
        state.last_order_ms = now_ms;
        if state.stop == StopProgress::Unsent {
            state.stop = StopProgress::Sent;
        }
        state.stop_sent_ms = now_ms;
        self.ready.push(UpstreamOrder::Stop(order));
    }
}
