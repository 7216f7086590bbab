//! Runs on upstreams that leave: which are saved or moved in time.

use crate::work::load::departure::{DepartingUnit, DepartureLimits, DepartureStep, departure_step};
use crate::work::owner::PoolOwner;
use crate::work::owner::placement_pool::PlacementPool;
use crate::work::owner::unit_state::{MemberPhase, UnitPhase, UnitState};
use crate::work::owner::upstream_state::UpstreamState;
use crate::work::placing::placement::{CapacityClaim, UnitDemand, claim_rank, place_unit};
use crate::work::placing::remaining::remaining_ms;
use crate::work::placing::slowdown::UpstreamSlowdown;

/// Time between two looks at the upstreams that leave, in ms.
const DEPARTURE_INTERVAL_MS: u64 = 200;

/// A unit with members on upstreams that leave.
struct LeavingUnit {
    job: usize,
    unit: usize,
    /// Time for which all its upstreams stay for certain, in ms.
    stays_ms: u64,
}

impl PoolOwner {
    /// Stops the units that would be lost with their upstreams, as far as that serves them.
    pub(super) fn leave_departing(&mut self) {
        let now_ms = self.now.steady_ms;
        if now_ms < self.next_departure_ms {
            return;
        }
        self.next_departure_ms = now_ms + DEPARTURE_INTERVAL_MS;
        let limits = DepartureLimits {
            stop_ms: self.timing.stop_ms,
            silence_ms: self.timing.lease_ms,
        };
        let mut pools = Vec::new();
        for leaving in self.leaving_units() {
            let departing = self.departing_unit(&leaving);
            let step = departure_step(&departing, &limits, || {
                self.takes_room_elsewhere(leaving.job, leaving.unit, &mut pools)
            });
            if step != DepartureStep::Stay {
                self.leave(&leaving, &departing, step);
            }
        }
    }

    fn leave(&mut self, leaving: &LeavingUnit, departing: &DepartingUnit, step: DepartureStep) {
        let state = &self.jobs[leaving.job];
        let label = step.label();
        log::info!(
            job = state.id.as_str(), unit = leaving.unit, run = state.units[leaving.unit].run,
            step = label, stays_ms = departing.stays_ms, needs_ms = departing.needs_ms,
            worked_ms = departing.worked_ms;
            "owner: a unit leaves before its upstream does."
        );
        metrics::counter!("hemlockramp_departures_total", "step" => label).increment(1);
        self.stop_unit(leaving.job, leaving.unit);
    }

    /// Returns the units at work on upstreams that leave, sorted by job and unit. A unit is left out
    /// until all its members are known to be at work, and one that lasts has no end to wait for.
    fn leaving_units(&self) -> Vec<LeavingUnit> {
        let now_ms = self.now.steady_ms;
        let mut found: Vec<LeavingUnit> = Vec::new();
        for upstream in &self.upstreams {
            let Some(stays_ms) = upstream.stays_ms(now_ms) else {
                continue;
            };
            for held in &upstream.held {
                if let Some(job) = self.job_index(&held.job) {
                    let unit = held.unit;
                    found.push(LeavingUnit {
                        job,
                        unit,
                        stays_ms,
                    });
                }
            }
        }
        found.sort_by_key(|leaving| (leaving.job, leaving.unit, leaving.stays_ms));
        found.dedup_by_key(|leaving| (leaving.job, leaving.unit));
        found.retain(|leaving| {
            let state = &self.jobs[leaving.job];
            let unit = &state.units[leaving.unit];
            let mut members = unit.members.iter();
            unit.phase == UnitPhase::Active
                && !state.step(leaving.unit).lasting
                && members.all(|member| member.phase == MemberPhase::Running)
        });
        found
    }

    fn departing_unit(&self, leaving: &LeavingUnit) -> DepartingUnit {
        let now_ms = self.now.steady_ms;
        let state = &self.jobs[leaving.job];
        let unit = &state.units[leaving.unit];
        let step = state.step(leaving.unit);
        let slowdown = self.slowest(unit);
        let expected_ms = slowdown.expected(step.estimate_ms);
        let percent = unit.members.iter().map(|member| member.percent).max();
        let percent = u64::from(percent.unwrap_or(0).min(100));
        let reported_ms = unit.members.iter().map(|member| member.reported_ms).max();
        let since_report_ms = now_ms.saturating_sub(reported_ms.unwrap_or(now_ms));
        let (needs_ms, worked_ms) = match unit.progress() {
            Some(progress) => (
                remaining_ms(Some(progress), step.estimate_ms, slowdown),
                progress.elapsed_ms,
            ),
            // Its start is not known, or it was resumed.
            None => (
                expected_ms * (100 - percent) / 100,
                expected_ms * percent / 100,
            ),
        };
        DepartingUnit {
            stays_ms: leaving.stays_ms,
            needs_ms: needs_ms.saturating_sub(since_report_ms),
            worked_ms: worked_ms + since_report_ms,
            checkpoints: step.checkpoints,
        }
    }

    /// Returns the slowdown of the slowest of a unit's upstreams.
    fn slowest(&self, unit: &UnitState) -> UpstreamSlowdown {
        let names = unit.members.iter().filter_map(|one| one.upstream.as_ref());
        let slowdowns = names.map(|name| self.speeds.slowdown(name));
        let slowest = slowdowns.max_by(|left, right| left.log_mean().total_cmp(&right.log_mean()));
        slowest.unwrap_or_default()
    }

    /// Returns whether a unit fits on upstreams that stay, and takes that room in `pools`.
    fn takes_room_elsewhere(
        &self,
        job: usize,
        unit: usize,
        pools: &mut Vec<PlacementPool>,
    ) -> bool {
        let name = &self.rule(job).pool;
        let index = match pools.iter().position(|pool| pool.name == *name) {
            Some(index) => index,
            None => {
                pools.push(self.placement_pool(name));
                pools.len() - 1
            }
        };
        let pool = &mut pools[index];
        let waiting = self.waiting_unit(job, unit, &self.team_usage());
        let demand = UnitDemand {
            siblings: self.siblings(job, unit),
            ..self.demand(job, unit, &waiting, pool)
        };
        let claim = CapacityClaim {
            job: self.jobs[job].id.clone(),
            unit,
            rank: claim_rank(waiting.priority, waiting.guaranteed),
        };
        if !pool.leaves_headroom(waiting.priority, &demand) {
            return false;
        }
        let Some(chosen) = place_unit(&demand, &claim, &pool.candidates) else {
            return false;
        };
        for index in chosen {
            let free = pool.candidates[index].free.minus(&demand.need);
            pool.set_free(index, free);
        }
        true
    }
}

impl UpstreamState {
    /// Returns the time for which it stays for certain, in ms; `None` if it does not leave, does not
    /// answer, or has not said.
    fn stays_ms(&self, now_ms: u64) -> Option<u64> {
        let report = self.report.as_ref().filter(|report| report.draining)?;
        let remaining_ms = report.remaining_ms.filter(|_| self.missed_renewals == 0)?;
        let clock_ms = self.clock?.lower_bound_ms(now_ms);
        Some(remaining_ms.saturating_sub(clock_ms.saturating_sub(report.clock_ms)))
    }
}
