//! State of a unit and of its tasks as the owner tracks them.

use std::sync::Arc;

use crate::tables::name::ObjectName;
use crate::work::owner::crash_history::CrashHistory;
use crate::work::placing::slowdown::TaskProgress;

/// Tasks that are placed together: a single task, or all tasks of a gang.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnitShape {
    /// Round of a repeating job.
    pub round: u32,
    /// Index of the step.
    pub step: u32,
    /// Index of the unit's first task within the step.
    pub first: u32,
    /// Number of tasks.
    pub count: u32,
}

/// Phase of a unit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum UnitPhase {
    /// Not placed.
    #[default]
    Waiting,
    /// Placed; its members are starting or running.
    Active,
    /// Its members are being stopped; the unit waits again afterwards.
    Stopping,
    /// Completed.
    Done,
}

/// Phase of a unit's member.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum MemberPhase {
    /// On no upstream.
    #[default]
    Unplaced,
    /// Placed; the start order waits until its record is stored.
    Planned,
    /// The start order was sent and is not yet confirmed.
    Sent,
    /// The upstream has confirmed the run.
    Running,
}

/// Progress of a stop order to a member's run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StopProgress {
    /// None was sent.
    #[default]
    Unsent,
    /// Sent and not answered; it may have been carried out.
    Sent,
    /// Answered. The run ends within the longest time that a stop takes.
    Answered {
        /// When the first answer arrived, steady ms.
        at_ms: u64,
    },
}

/// Placement and progress of one task.
#[derive(Clone, Debug, Default)]
pub struct MemberState {
    /// Phase of the member.
    pub phase: MemberPhase,
    /// The member's upstream; `None` if unplaced.
    pub upstream: Option<ObjectName>,
    /// Incarnation of the upstream when the member was placed or last listed as running.
    pub incarnation: u64,
    /// Whether the run began under an earlier owner, whose orders to it are not all known.
    pub restored: bool,
    /// The upstream's clock when it last confirmed the run or took its stop, in ms; 0 for never.
    pub confirmed_ms: u64,
    /// Number of renewals that had been sent to the upstream by then; `None` for never. Only the answer
    /// to a later one can show that the run is not there.
    pub confirmed_at_renewal: Option<u64>,
    /// Number of renewals that had been sent to the upstream when an answer last listed the run as
    /// running; `None` for never.
    pub listed_at_renewal: Option<u64>,
    /// Whether the run has been told to stop.
    pub stop: StopProgress,
    /// When an answer lacked the run for the first time since it was last confirmed, steady ms.
    pub unlisted_since_ms: Option<u64>,
    /// When the last order was sent, steady ms.
    pub last_order_ms: u64,
    /// When the last stop order was sent, steady ms; 0 for none.
    pub stop_sent_ms: u64,
    /// Whether an order is in flight.
    pub in_flight: bool,
    /// Whether an unanswered start order may still take effect.
    pub start_unconfirmed: bool,
    /// Last reported progress, in percent.
    pub percent: u32,
    /// When the run was first confirmed to this owner, steady ms; 0 if unknown.
    pub began_ms: u64,
    /// When progress was last reported, steady ms.
    pub reported_ms: u64,
}

/// State of a unit.
#[derive(Clone, Debug, Default)]
pub struct UnitState {
    /// Phase of the unit.
    pub phase: UnitPhase,
    /// Number of the last run.
    pub run: u32,
    /// Number of failed runs.
    pub failed: u32,
    /// Number of the run that was counted last as failed; 0 for none.
    pub failed_run: u32,
    /// Newest checkpoint; empty for none.
    pub checkpoint: Arc<str>,
    /// Checkpoint from which the current run was started; empty for none.
    pub resumed: Arc<str>,
    /// State of each task.
    pub members: Vec<MemberState>,
    /// When the unit became placeable or its current run was placed, steady ms.
    pub since_ms: u64,
    /// Upstreams where its runs failed, newest last.
    pub failed_on: Vec<ObjectName>,
    /// Its runs that were lost with their upstreams.
    pub crashes: CrashHistory,
    /// How often the unit was preempted.
    pub preempted: u32,
    /// Number of the run whose time was counted last for the speed of its upstreams; 0 for none.
    pub timed_run: u32,
    /// Whether the reason for the current wait has been logged.
    pub wait_logged: bool,
}

impl UnitState {
    /// Returns whether no member is on an upstream.
    pub fn is_clear(&self) -> bool {
        let unplaced = |member: &MemberState| member.phase == MemberPhase::Unplaced;
        self.members.iter().all(unplaced)
    }

    /// Counts the current run as failed, once however many members fail and whichever ends are
    /// read first.
    pub fn count_failed_run(&mut self) {
        if self.failed_run != self.run {
            self.failed_run = self.run;
            self.failed += 1;
        }
    }

    /// Returns the progress of the run, for a gang that of the member which reported last; `None` if
    /// not all tasks are running, it began under an earlier owner or was resumed from a checkpoint.
    /// A gang works from the moment when all its members are present.
    pub fn progress(&self) -> Option<TaskProgress> {
        let began_ms = self.began_ms()?;
        let latest = self
            .members
            .iter()
            .max_by_key(|member| member.reported_ms)?;
        Some(TaskProgress {
            percent: latest.percent,
            elapsed_ms: latest.reported_ms.saturating_sub(began_ms),
        })
    }

    /// Returns when the run began to work, steady ms; `None` as for its progress.
    pub fn began_ms(&self) -> Option<u64> {
        let is_usable =
            |member: &MemberState| member.phase == MemberPhase::Running && member.began_ms != 0;
        let known = self.resumed.is_empty() && self.members.iter().all(is_usable);
        let began = self.members.iter().map(|member| member.began_ms);
        began.max().filter(|_| known)
    }
}
