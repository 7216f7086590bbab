//! Runs that are expected to end by themselves, and the room that they leave.

use crate::work::load::room_choice::wait_horizons;
use crate::work::owner::PoolOwner;
use crate::work::owner::placement_pool::PlacementPool;
use crate::work::owner::preemption::BlockedUnit;
use crate::work::owner::unit_state::{MemberState, UnitPhase};
use crate::work::placing::remaining::remaining_ms;
use crate::work::placing::slowdown::{TaskProgress, UpstreamSlowdown};

/// Part of the time at work that a run needs at least, as a divisor: one that should have ended is
/// not expected any moment for ever.
const OVERDUE_DIVISOR: u64 = 10;

/// Room that runs leave when they end by themselves.
pub(super) struct EndingRoom {
    /// Time until it is free, in ms.
    pub(super) after_ms: u64,
    /// Candidates for the unit's tasks.
    pub(super) chosen: Vec<usize>,
}

impl PoolOwner {
    /// Returns the room that runs leave for the unit when they end by themselves, if they do so in
    /// time. The work of the pool must be known.
    pub(super) fn next_ends(
        &self,
        blocked: &BlockedUnit,
        pool: &mut PlacementPool,
    ) -> Option<EndingRoom> {
        if blocked.waiting.guaranteed {
            return None;
        }
        let mut horizons = wait_horizons(blocked.waiting.slack_ms, self.timing.stop_ms);
        horizons.find_map(|after_ms| {
            let mut free = self.free_without(pool, |job, unit| {
                let phase = self.jobs[job].units[unit].phase;
                let row = pool.work.as_ref().and_then(|work| work.unit(job, unit));
                phase == UnitPhase::Stopping
                    || phase == UnitPhase::Active && row.is_some_and(|row| row.left_ms <= after_ms)
            });
            let chosen = self.find_room(blocked, pool, &mut free)?;
            Some(EndingRoom { after_ms, chosen })
        })
    }

    /// Returns how long a unit's run has been at work, in ms.
    pub(super) fn worked_ms(&self, job: usize, unit: usize) -> u64 {
        let run = &self.jobs[job].units[unit];
        let began = run.members.iter().map(|member| member.began_ms).min();
        let began_ms = began.filter(|began| *began > 0).unwrap_or(run.since_ms);
        self.now.steady_ms.saturating_sub(began_ms)
    }

    /// Returns the time that a unit's run is expected to need, in ms; of a gang's members, the
    /// slowest counts.
    pub(super) fn run_left_ms(&self, job: usize, unit: usize) -> u64 {
        let run = &self.jobs[job].units[unit];
        let members = run.members.iter();
        let left = members.map(|member| self.member_left_ms(job, unit, member));
        let least_ms = self.worked_ms(job, unit) / OVERDUE_DIVISOR;
        left.max().unwrap_or(0).max(least_ms)
    }

    fn member_left_ms(&self, job: usize, unit: usize, member: &MemberState) -> u64 {
        let upstream = member.upstream.as_ref();
        let slowdown =
            upstream.map_or_else(UpstreamSlowdown::default, |name| self.speeds.slowdown(name));
        let resumed = !self.jobs[job].units[unit].resumed.is_empty();
        let progress = (member.began_ms > 0).then(|| TaskProgress {
            percent: member.percent,
            elapsed_ms: member.reported_ms.saturating_sub(member.began_ms),
        });
        let estimate_ms = self.jobs[job].step(unit).estimate_ms;
        let left_ms = match progress {
            // The progress includes that of earlier runs, the time at work does not.
            Some(progress) if resumed => {
                let left_percent = u64::from(100 - progress.percent.min(100));
                slowdown.expected(estimate_ms) * left_percent / 100
            }
            progress => remaining_ms(progress, estimate_ms, slowdown),
        };
        let since_ms = match progress {
            Some(_) => member.reported_ms,
            None => self.jobs[job].units[unit].since_ms,
        };
        left_ms.saturating_sub(self.now.steady_ms.saturating_sub(since_ms))
    }
}
